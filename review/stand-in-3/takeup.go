package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Times of the case.
const (
	contact = 3 * time.Second
	// streamTime is the time of a stream; streamTimeout the time limit of its route and its callers.
	streamTime, streamTimeout = 9 * time.Second, 15 * time.Second
	streamEvents              = 60
	// streamsAtFront is the number of streams that run at the machine that is killed, and newStreams that of the streams that begin at the
	// others while streams are taken up.
	streamsAtFront, newStreams = 24, 24
	// killAfter is the time from the start of the streams to the kill, and backAfter that from the kill to the start of the processes.
	killAfter, backAfter = 2500 * time.Millisecond, 200 * time.Millisecond
	// firstTry is the time from the break of a stream to the first take-up, and lateness the factor by which callers wait longer than the
	// Retry-After says.
	firstTry, lateness = 150 * time.Millisecond, 1.1
	// maxGap is the longest gap of a stream after which its caller gives it up: four times the objective of 1,000 ms.
	maxGap = 4 * time.Second
)

// streamDocument returns a configuration with one resumable stream.
func streamDocument(version int) []byte {
	raw, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-quote", "host": "quote.example", "path_prefix": "/quote/", "route_kind": "streaming", "timeout_ms": streamTimeout.Milliseconds(),
			"aim_ms": 1000, "priority": 0, "service": "model", "max_attempts": 2, "public": false, "sticky": true, "resumable": true, "itl_target_ms": 250,
		}},
		"services": []map[string]any{{
			"name": "model", "health_path": "/healthz", "max_conns": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 12, "kv_capacity": 494091, "kv_bytes": 163840, "link_mbps": 740000.0, "moves": true, "backups": true, "stride": 6, "most": 12,
				"pin_ms": 4000.0, "hold_ms": 2000.0, "handle_ttl_s": 5.0, "models": []map[string]any{{"name": "m"}},
			},
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "shop", "api_keys": []string{"key-of-shop-1"}, "priority": 1}},
	})
	if err != nil {
		panic(err)
	}
	return raw
}

// attempt is one attempt of a caller at a stream.
type attempt struct {
	id, server  string
	at          time.Time
	status      int
	retryAfter  time.Duration
	first, last int
	complete    bool
	err         error
}

// begins reports whether the attempt got an event of the stream.
func (a *attempt) begins() bool { return a.status == http.StatusOK && a.first > 0 }

// stream sends an attempt at a stream. After is the number of the last event that the caller has, and resumes the attempt that brought its first
// one; 0 and "" for a new stream.
func (w *world) stream(client *http.Client, front *process, resumes string, after int) *attempt {
	a := &attempt{id: fmt.Sprintf("%016x", rand.Uint64()), at: time.Now(), last: after}
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/quote/2f", front.ip, w.ports.callers), strings.NewReader("a long quote"))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = "quote.example"
	req.Header.Set("X-Dragonflycroft-Attempt-Id", a.id)
	req.Header.Set("X-Dragonflycroft-Model", "m")
	req.Header.Set("X-Dragonflycroft-Token-Count", "400,360")
	req.Header.Set("X-Dragonflycroft-Prompt-Prefix", fmt.Sprintf("5c1e07a2:60,%08x:340", rand.Uint32()))
	req.Header.Set("X-Dragonflycroft-Deadline-Ms", strconv.FormatInt(streamTimeout.Milliseconds(), 10))
	req.Header.Set("Authorization", "Token key-of-shop-1")
	if resumes != "" {
		req.Header.Set("Last-Event-Id", strconv.Itoa(after))
		req.Header.Set("Resumes", resumes)
	}
	resp, err := client.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	a.status = resp.StatusCode
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	a.server = resp.Header.Get("X-Dragonflycroft-Server-Stamp")
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		text, isID := strings.CutPrefix(lines.Text(), "id: ")
		if !isID || a.status != http.StatusOK {
			continue
		}
		if n, err := strconv.Atoi(text); err == nil {
			if a.first == 0 {
				a.first = n
			}
			a.last = n
		}
	}
	a.err = lines.Err()
	a.complete = a.err == nil && a.last == streamEvents
	return a
}

// takeUps counts the streams that callers take up, and the new ones beside them.
type takeUps struct {
	w       *world
	killed  *process
	others  []*process
	client  *http.Client
	streams sync.WaitGroup

	mu sync.Mutex
	// inTouch is the time from which the other front machines are in touch; zero before it is known.
	inTouch                     time.Time
	taken, goneOn, fresh, begun int
}

// caller begins a stream at the machine that is killed, and takes it up at the others once it is broken.
func (t *takeUps) caller(i int) {
	began := time.Now()
	first := t.w.stream(t.client, t.killed, "", 0)
	broken := time.Now()
	t.w.note("stream %s at %s: status %d, events %d to %d, complete %t", first.id, t.killed.name, first.status, first.first, first.last, first.complete)
	if first.complete || !first.begins() {
		return
	}
	for at, wait := 0, firstTry; ; at++ {
		if time.Since(broken)+wait > maxGap || time.Since(began) > streamTimeout {
			t.w.note("stream %s: given up %.3f s after it broke", first.id, time.Since(broken).Seconds())
			return
		}
		time.Sleep(wait)
		front := t.others[(i+at)%len(t.others)]
		a := t.w.stream(t.client, front, first.id, first.last)
		touch := t.count(a)
		t.w.note("stream %s taken up after event %d at %s, sent at %.3f, in touch %t: status %d, Retry-After %v, events %d to %d, complete %t",
			first.id, first.last, front.name, a.at.Sub(t.w.began).Seconds(), touch, a.status, a.retryAfter, a.first, a.last, a.complete)
		if a.begins() {
			return
		}
		// Callers come back a little later than they were told, so that they do not come all at once.
		wait = max(time.Duration(lateness*float64(a.retryAfter)), firstTry)
	}
}

// count counts a take-up if the machine was in touch, and reports whether it was.
func (t *takeUps) count(a *attempt) (touch bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inTouch.IsZero() || a.at.Before(t.inTouch) {
		return false
	}
	t.taken++
	if a.begins() {
		t.goneOn++
	}
	return true
}

// begin begins a new stream at one of the other machines.
func (t *takeUps) begin(i int) {
	front := t.others[i%len(t.others)]
	a := t.w.stream(t.client, front, "", 0)
	t.mu.Lock()
	t.fresh++
	if a.begins() {
		t.begun++
	}
	t.mu.Unlock()
	t.w.note("new stream %s at %s, sent at %.3f: status %d, events %d to %d", a.id, front.name, a.at.Sub(t.w.began).Seconds(), a.status, a.first, a.last)
}

// kill kills the front machine and, as the disruption, all control hosts at the same moment. The control hosts are back at once. It returns the
// time from which the other machines are in touch.
func (t *takeUps) kill(trouble bool) (inTouch time.Time, err error) {
	var core []*process
	if trouble {
		core = t.w.cores
	}
	for _, p := range append([]*process{t.killed}, core...) {
		t.w.signal(p, syscall.SIGKILL)
	}
	for _, p := range append([]*process{t.killed}, core...) {
		<-p.ended
	}
	if !trouble {
		return t.w.began, nil
	}
	time.Sleep(backAfter)
	for _, p := range core {
		if err := t.w.start(p); err != nil {
			return time.Time{}, err
		}
	}
	t.w.note("all processes of the core run")
	return time.Now().Add(contact), nil
}

// takeUp is case 14: all control hosts and one front machine are killed at the same moment; the callers of its streams take them up.
func takeUp(w *world, trouble bool) int {
	var runners []*runner
	for i := range 8 {
		runners = append(runners, &runner{
			service: "model", slots: 12, work: streamTime, engine: true, events: streamEvents, version: fmt.Sprintf("v%d", 1+i/4),
		})
	}
	list, err := w.startRunners(runners)
	if err != nil || !w.setUp(list, streamDocument(5)) {
		return exitNotRun
	}
	w.note("four runners of v1 and four of v2 serve")
	time.Sleep(2 * time.Second)
	t := &takeUps{w: w, killed: w.fronts[0], others: w.fronts[1:], client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	if !trouble {
		t.inTouch = w.began
	}
	for i := range streamsAtFront {
		t.streams.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			t.caller(i)
		})
	}
	time.Sleep(killAfter)
	inTouch, err := t.kill(trouble)
	if err != nil {
		w.note("not started again: %v", err)
		return exitNotRun
	}
	t.mu.Lock()
	t.inTouch = inTouch
	t.mu.Unlock()
	time.Sleep(time.Until(inTouch))
	for i := range newStreams {
		t.streams.Go(func() {
			time.Sleep(time.Duration(i) * 40 * time.Millisecond)
			t.begin(i)
		})
	}
	t.streams.Wait()
	w.note("taken up at machines in touch: %d, of these went on: %d; new streams: %d, of these began: %d", t.taken, t.goneOn, t.fresh, t.begun)
	fmt.Printf("taken up in touch %d, went on %d; new %d, began %d\n", t.taken, t.goneOn, t.fresh, t.begun)
	const fewest = 12
	if t.taken < fewest || t.begun == 0 {
		return exitNotRun
	}
	if float64(t.goneOn)/float64(t.taken) < 0.5*float64(t.begun)/float64(t.fresh) {
		return exitBroken
	}
	return exitHeld
}
