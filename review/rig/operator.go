package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// raceGap is the time between the first sends of orders that are in progress at the same time.
const raceGap = 60 * time.Millisecond

// operator sends and reads configurations at the control machines.
type operator struct {
	c       *cluster
	client  *http.Client
	key     string
	host    string
	version uint64
	// acked is the newest version that was acknowledged.
	acked uint64
	next  int
}

func newOperator(c *cluster) *operator {
	return &operator{
		c: c, key: "i9n73hh2b9wu3fexd9dn", host: "ficu95.example",
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// document returns a configuration with one idempotent route, and further ones without traffic.
func (o *operator) document(version uint64, extra int) []byte {
	route := func(name, prefix string) map[string]any {
		return map[string]any{
			"name": name, "host": o.host, "path_prefix": prefix, "route_kind": "idempotent", "timeout_ms": 1200, "aim_ms": 150, "priority": 2,
			"service": "wuno96b", "max_attempts": 2, "public": false, "sticky": false, "resumable": false,
		}
	}
	routes := []map[string]any{route("r-read", "/lohu930/")}
	for i := range extra {
		routes = append(routes, route(fmt.Sprintf("r-extra%d", i), fmt.Sprintf("/extra%d/", i)))
	}
	raw, err := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": "wuno96b", "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false}},
		"limits":   map[string]int{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "hule930", "api_keys": []string{o.key}, "priority": 1, "rate_per_s": 100000, "burst": 100000}},
	})
	if err != nil {
		panic(err) // the document holds only plain values
	}
	return raw
}

// post sends one call to one control machine and returns its status, or 0 without a response.
func (o *operator) call(m *machine, method, path string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+o.c.addr(m, "control")+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := o.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, raw
}

// replace sends the next version until it is acknowledged, and returns the machine that acknowledged it, or nil at the end of limit.
func (o *operator) replace(machines []*machine, limit time.Duration) *machine {
	o.version += 3
	body := o.document(o.version, int(o.version))
	o.c.rec.event("operator: version %d sent", o.version)
	delay := 50 * time.Millisecond
	for end := time.Now().Add(limit); time.Now().Before(end); {
		m := machines[o.next%len(machines)]
		o.next++
		status, _ := o.call(m, http.MethodPost, "/v1/config/replace", body)
		if status == http.StatusOK {
			o.acked = o.version
			o.c.rec.event("operator: version %d acknowledged by %s", o.version, m.name)
			return m
		}
		o.c.rec.event("operator: version %d at %s: status %d", o.version, m.name, status)
		time.Sleep(delay)
		delay = min(delay*2, 500*time.Millisecond)
	}
	o.c.rec.event("operator: version %d not acknowledged within %v", o.version, limit)
	return nil
}

// race sends one version to each machine, shortly one after the other, so that several orders are in progress, and returns the machine that
// is the first to acknowledge its version, or nil at the end of limit.
func (o *operator) race(machines []*machine, limit time.Duration) *machine {
	type ack struct {
		m       *machine
		version uint64
	}
	acks := make(chan ack, len(machines))
	end := time.Now().Add(limit)
	for i, m := range machines {
		o.version += 3
		version := o.version
		go func() {
			time.Sleep(time.Duration(i) * raceGap)
			body := o.document(version, int(version))
			for time.Now().Before(end) {
				o.c.rec.event("operator: version %d sent to %s", version, m.name)
				if status, _ := o.call(m, http.MethodPost, "/v1/config/replace", body); status == http.StatusOK {
					acks <- ack{m, version}
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	select {
	case a := <-acks:
		o.acked = a.version
		o.c.rec.event("operator: version %d acknowledged by %s", a.version, a.m.name)
		return a.m
	case <-time.After(limit):
		return nil
	}
}

// read reads the configuration back until a machine answers with 200, and returns its version, or false at the end of limit.
func (o *operator) read(machines []*machine, limit time.Duration) (uint64, bool) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, m := range machines {
			status, raw := o.call(m, http.MethodGet, "/v1/config/read", nil)
			var d struct {
				Version uint64 `json:"version"`
			}
			if status == http.StatusOK && json.Unmarshal(raw, &d) == nil {
				o.c.rec.event("operator: read at %s: version %d", m.name, d.Version)
				return d.Version, true
			}
			o.c.rec.event("operator: read at %s: status %d", m.name, status)
		}
	}
	return 0, false
}
