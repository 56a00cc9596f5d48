package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// revokeTime is the bound of the rule on keys that were taken away.
const revokeTime = 5 * time.Second

// keyDocument returns a configuration with one plain service whose route is not public.
func keyDocument(version int, tenants []map[string]any) []byte {
	raw, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-order", "host": "desk.example", "path_prefix": "/order/", "route_kind": "non_idempotent", "timeout_ms": 2500, "aim_ms": 150,
			"priority": 2, "service": "desk", "max_attempts": 1, "public": false, "sticky": false, "resumable": false, "itl_target_ms": 0,
		}},
		"services": []map[string]any{{"name": "desk", "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  tenants,
	})
	if err != nil {
		panic(err)
	}
	return raw
}

// order sends one order with a key and returns its ID and the status of the answer; 0 if there is none.
func (w *world) order(client *http.Client, front *process, key string) (id string, status int) {
	id = fmt.Sprintf("%016x", rand.Uint64())
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/order/2f", front.ip, w.ports.callers), http.NoBody)
	if err != nil {
		return id, 0
	}
	req.Host = "desk.example"
	req.Header.Set("X-Dragonflycroft-Attempt-Id", id)
	req.Header.Set("X-Dragonflycroft-Deadline-Ms", "2500")
	req.Header.Set("Authorization", "Token "+key)
	resp, err := client.Do(req)
	if err != nil {
		return id, 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return id, resp.StatusCode
}

// lastKey is case 12: a version takes away the key of the only workspace, and leaves none.
func lastKey(w *world, trouble bool) int {
	var runners []*runner
	for range 3 {
		runners = append(runners, &runner{service: "desk", slots: 6, work: 30 * time.Millisecond})
	}
	shop := map[string]any{"name": "shop", "api_keys": []string{"key-of-shop-1"}, "priority": 1}
	list, err := w.startRunners(runners)
	if err != nil || !w.setUp(list, keyDocument(5, []map[string]any{shop})) {
		return exitNotRun
	}
	w.note("in force is version 5: one tenant, shop, with key-of-shop-1")
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 20}}
	served := 0
	for i := range 12 {
		id, status := w.order(client, w.fronts[i%len(w.fronts)], "key-of-shop-1")
		w.note("order %s with key-of-shop-1: %d", id, status)
		if status == http.StatusOK {
			served++
		}
	}
	next := []map[string]any{}
	if !trouble {
		next = append(next, map[string]any{"name": "other", "api_keys": []string{"key-of-other-1"}, "priority": 1})
	}
	status, answer := w.sendConfig(keyDocument(9, next), 4*time.Second)
	acked := time.Now()
	w.note("version 9 without shop, %d tenants: %d %s", len(next), status, answer)
	if status != http.StatusOK || served == 0 {
		return exitNotRun
	}
	time.Sleep(revokeTime + 500*time.Millisecond)
	var mu sync.Mutex
	var wg sync.WaitGroup
	keys := map[string]string{}
	for i := range 60 {
		key := "key-of-shop-1"
		if i%3 == 2 {
			key = "key-that-never-was"
		}
		time.Sleep(20 * time.Millisecond)
		wg.Go(func() {
			at := time.Since(acked)
			id, status := w.order(client, w.fronts[i%len(w.fronts)], key)
			w.note("order %s with %s, sent %.3f s after the ack: %d", id, key, at.Seconds(), status)
			mu.Lock()
			defer mu.Unlock()
			keys[id] = key
		})
	}
	wg.Wait()
	ran := map[string]int{}
	for _, r := range runners {
		r.mu.Lock()
		for _, x := range r.runs {
			if key, late := keys[x.id]; late {
				ran[key]++
				w.note("order %s with %s was run by %s, tenant %q", x.id, key, r.id, x.tenant)
			}
		}
		r.mu.Unlock()
	}
	w.note("run later than %v after the ack: %d orders with the key that was taken away, %d with a key that no configuration ever held", revokeTime, ran["key-of-shop-1"], ran["key-that-never-was"])
	fmt.Printf("run with the key that was taken away: %d, with a key that never was: %d\n", ran["key-of-shop-1"], ran["key-that-never-was"])
	if len(ran) > 0 {
		return exitBroken
	}
	return exitHeld
}
