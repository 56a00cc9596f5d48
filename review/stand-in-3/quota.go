package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Allotment of a workspace and the load of the case.
const (
	ratePerS, burstTokens     = 256497, 256497
	promptTokens, maxOutput   = 6610, 384
	quotaWindow               = 8 * time.Second
	quotaOvershoot, slack     = 0.1, 140000
	requestsPerS              = 120
	loadTime, changeAt        = 22 * time.Second, 12 * time.Second
	timeBetweenTheTwoVersions = 500 * time.Millisecond
)

// document returns a configuration. WithTenant is false if it lacks the workspace "large".
func document(version int, withTenant bool, timeoutMS int) []byte {
	tenants := []map[string]any{{
		"name": "small", "api_keys": []string{"key-of-small-1"}, "priority": 1, "unit": "tokens", "uncached_tokens": 200,
		"rate_per_s": ratePerS, "burst": burstTokens,
	}}
	if withTenant {
		tenants = append(tenants, map[string]any{
			"name": "large", "api_keys": []string{"key-of-large-1", "key-of-large-2"}, "priority": 1, "unit": "tokens", "uncached_tokens": 200,
			"rate_per_s": ratePerS, "burst": burstTokens,
		})
	}
	raw, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-chat", "host": "chat.example", "path_prefix": "/chat/", "route_kind": "streaming", "timeout_ms": timeoutMS, "aim_ms": 300,
			"priority": 1, "service": "model", "max_attempts": 1, "public": false, "sticky": true, "resumable": false, "itl_target_ms": 250,
		}},
		"services": []map[string]any{{
			"name": "model", "health_path": "/healthz", "max_conns": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 12, "kv_capacity": 494091, "kv_bytes": 163840, "link_mbps": 740000.0, "moves": true, "backups": true, "stride": 6, "most": 12,
				"pin_ms": 4000.0, "hold_ms": 2000.0, "handle_ttl_s": 5.0, "models": []map[string]any{{"name": "m"}},
			},
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": tenants,
	})
	if err != nil {
		panic(err)
	}
	return raw
}

// sent is a request of a caller.
type sent struct {
	at     time.Time
	status int
}

// quota is a case that was left out: a version without a workspace is followed by one that has it again.
func quota(w *world, trouble bool) int {
	var runners []*runner
	for range 12 {
		runners = append(runners, &runner{service: "model", slots: 12, work: 80 * time.Millisecond, engine: true})
	}
	list, err := w.startRunners(runners)
	if err != nil || !w.setUp(list, document(5, true, 12000)) {
		return exitNotRun
	}
	load := &load{w: w, all: map[string]*sent{}}
	done := make(chan struct{})
	go func() {
		load.run(loadTime)
		close(done)
	}()
	time.Sleep(changeAt)
	status, answer := w.sendConfig(document(9, !trouble, 11000), 4*time.Second)
	w.note("version 9 (workspace large in it: %t): %d %s", !trouble, status, answer)
	acked := status == http.StatusOK
	time.Sleep(timeBetweenTheTwoVersions)
	status, answer = w.sendConfig(document(14, true, 12000), 4*time.Second)
	w.note("version 14 (workspace large in it: true): %d %s", status, answer)
	if !acked || status != http.StatusOK {
		return exitNotRun
	}
	<-done
	return load.judge(runners)
}

// load sends the requests of the workspace large.
type load struct {
	w   *world
	mu  sync.Mutex
	all map[string]*sent
}

func (l *load) run(length time.Duration) {
	var wg sync.WaitGroup
	client := &http.Client{Timeout: 12 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 200}}
	tick := time.NewTicker(time.Second / requestsPerS)
	defer tick.Stop()
	for began, i := time.Now(), 0; time.Since(began) < length; i++ {
		<-tick.C
		wg.Go(func() { l.send(client, i) })
	}
	wg.Wait()
}

func (l *load) send(client *http.Client, i int) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	front := l.w.fronts[i%len(l.w.fronts)]
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/chat/2f", front.ip, l.w.ports.callers), nil)
	if err != nil {
		return
	}
	req.Host = "chat.example"
	req.Header.Set("X-Dragonflycroft-Attempt-Id", id)
	req.Header.Set("X-Dragonflycroft-Model", "m")
	req.Header.Set("X-Dragonflycroft-Token-Count", fmt.Sprintf("%d,%d", promptTokens, maxOutput))
	req.Header.Set("X-Dragonflycroft-Prompt-Prefix", fmt.Sprintf("5c1e07a2:60,%08x:%d", rand.Uint32(), promptTokens-60))
	req.Header.Set("X-Dragonflycroft-Deadline-Ms", "12000")
	req.Header.Set("Authorization", fmt.Sprintf("Token key-of-large-%d", 1+i%2))
	s := &sent{at: time.Now()}
	l.mu.Lock()
	l.all[id] = s
	l.mu.Unlock()
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	l.mu.Lock()
	s.status = resp.StatusCode
	l.mu.Unlock()
}

// judge applies the rule QUOTA: in each window, the tokens of the requests that are both sent and arrive at a runner that runs them.
func (l *load) judge(runners []*runner) int {
	type span struct {
		sent, ran time.Time
		tokens    int
	}
	var spans []span
	l.mu.Lock()
	defer l.mu.Unlock()
	perSecond := map[int][4]int{}
	for id, s := range l.all {
		n := perSecond[int(s.at.Sub(l.w.began).Seconds())]
		switch s.status {
		case http.StatusOK:
			n[0]++
		case http.StatusTooManyRequests:
			n[1]++
		case http.StatusUnauthorized:
			n[2]++
		default:
			n[3]++
		}
		perSecond[int(s.at.Sub(l.w.began).Seconds())] = n
		_ = id
	}
	for _, r := range runners {
		r.mu.Lock()
		for _, x := range r.runs {
			if s := l.all[x.id]; s != nil && x.tenant == "large" {
				spans = append(spans, span{sent: s.at, ran: x.at, tokens: x.tokens})
				l.w.note("request %s of large, sent at %.3f, %d tokens, run by %s at %.3f", x.id, s.at.Sub(l.w.began).Seconds(), x.tokens, r.id, x.at.Sub(l.w.began).Seconds())
			}
		}
		r.mu.Unlock()
	}
	for second := range 120 {
		if n, any := perSecond[second]; any {
			l.w.note("requests sent in second %d: %d answered 200, %d answered 429, %d answered 401, %d others", second, n[0], n[1], n[2], n[3])
		}
	}
	slices.SortFunc(spans, func(a, b span) int { return a.sent.Compare(b.sent) })
	most, at := 0, time.Time{}
	for i, first := range spans {
		sum := 0
		for _, s := range spans[i:] {
			if !s.ran.After(first.sent.Add(quotaWindow)) {
				sum += s.tokens
			}
		}
		if sum > most {
			most, at = sum, first.sent
		}
	}
	allowed := (ratePerS*quotaWindow.Seconds()+burstTokens)*(1+quotaOvershoot) + slack
	l.w.note("most tokens of large that ran in a window of %v: %d, from %.3f; allowed are %.0f", quotaWindow, most, at.Sub(l.w.began).Seconds(), allowed)
	fmt.Printf("most tokens in a window: %d, allowed: %.0f\n", most, allowed)
	switch {
	case len(spans) == 0:
		return exitNotRun
	case float64(most) > allowed:
		return exitBroken
	}
	return exitHeld
}
