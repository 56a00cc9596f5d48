package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the case.
const (
	// partCount is the number of parts of each prompt of the long threads, and harmfulAt the index of the part that crashes runners.
	partCount, harmfulAt = 300, 280
	// earlyHarmfulAt is the index of that part without the disruption.
	earlyHarmfulAt = 40
	harmfulPart    = "bad0c0de"
	crashTime      = 2 * time.Second
	threadLoad     = 70 * time.Second
	// soundPerS is the number of sound requests per second, and harmfulEvery the time between two requests with the harmful part.
	soundPerS, harmfulEvery = 24, 1500 * time.Millisecond
	crashEngines            = 10
)

// crashingEngine is a model engine that crashes when it begins to write an answer on a prompt with the harmful part. It is back after some
// seconds, as a new process with a new ID at the same address.
type crashingEngine struct {
	w    *world
	addr string
	zone string

	mu      sync.Mutex
	current *runner
	born    int64
	server  *http.Server
	log     *crashLog
}

// crashLog holds the arrivals of requests with the harmful part and the crashes.
type crashLog struct {
	mu       sync.Mutex
	arrivals []time.Time
	crashes  []time.Time
	engines  []*crashingEngine
}

// entries returns the entries of the engines for the list.
func (l *crashLog) entries() []entry {
	var list []entry
	for _, e := range l.engines {
		e.mu.Lock()
		list = append(list, e.current.entry())
		e.mu.Unlock()
	}
	return list
}

func (e *crashingEngine) start() error {
	listener, err := net.Listen("tcp", e.addr)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.addr = listener.Addr().String()
	e.current = &runner{
		id: fmt.Sprintf("i-%08x", rand.Uint32()), service: "model", zone: e.zone, addr: e.addr, slots: 12, work: 400 * time.Millisecond, engine: true, events: 8,
	}
	e.born = time.Now().UnixMilli()
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve), ReadHeaderTimeout: 5 * time.Second}
	server := e.server
	go func() { _ = server.Serve(listener) }()
	return nil
}

func (e *crashingEngine) serve(w http.ResponseWriter, q *http.Request) {
	e.mu.Lock()
	current, born := e.current, e.born
	e.mu.Unlock()
	if q.URL.Path == "/v1/report" {
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":0,"waiting":0,"running":0,"kv_used":0,"kv_total":494091,"kv_handles":0,"born":%d}`, born)
		return
	}
	expected := q.Header.Get("X-Dragonflycroft-Expect-Instance")
	if !strings.Contains(q.Header.Get("X-Dragonflycroft-Prompt-Prefix"), harmfulPart) || expected != "" && expected != current.id {
		current.serve(w, q)
		return
	}
	e.log.mu.Lock()
	e.log.arrivals = append(e.log.arrivals, time.Now())
	e.log.mu.Unlock()
	e.w.note("request %s with the harmful part reaches %s", q.Header.Get("X-Dragonflycroft-Attempt-Id"), current.id)
	// The prompt is read, then the answer begins.
	sleep(q.Context(), 60*time.Millisecond)
	w.Header().Set("X-Dragonflycroft-Attempt-Id", q.Header.Get("X-Dragonflycroft-Attempt-Id"))
	w.Header().Set("X-Dragonflycroft-Server-Stamp", "stamp-"+current.id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	w.(http.Flusher).Flush()
	e.crash(current)
	panic(http.ErrAbortHandler)
}

// crash ends the process of the engine: all its connections are closed at once.
func (e *crashingEngine) crash(current *runner) {
	e.mu.Lock()
	if e.current != current || e.server == nil {
		e.mu.Unlock()
		return
	}
	server := e.server
	e.server = nil
	e.mu.Unlock()
	e.log.mu.Lock()
	e.log.crashes = append(e.log.crashes, time.Now())
	n := len(e.log.crashes)
	e.log.mu.Unlock()
	e.w.note("%s crashes, crash %d", current.id, n)
	go func() {
		_ = server.Close()
		time.Sleep(crashTime)
		for e.start() != nil {
			time.Sleep(50 * time.Millisecond)
		}
		e.w.list.set(e.log.entries())
		e.w.note("%s is back as %s", current.id, e.current.id)
	}()
}

// thread returns the parts of a long thread. The harmful part stands at an index, if it is not negative; the last part is the thread's own.
func thread(harmful int) string {
	var parts []string
	for i := range partCount - 1 {
		id := fmt.Sprintf("%08x", 0x5c000000+i)
		if i == harmful {
			id = harmfulPart
		}
		parts = append(parts, id+":4")
	}
	return strings.Join(append(parts, fmt.Sprintf("%08x:20", rand.Uint32())), ",")
}

// manyParts is a case that was left out: a late part of long threads crashes runners.
func manyParts(w *world, trouble bool) int {
	log := &crashLog{}
	for i := range crashEngines {
		e := &crashingEngine{w: w, addr: fmt.Sprintf("%s.%d:0", w.net, 100+i), zone: zones[i%len(zones)], log: log}
		if err := e.start(); err != nil {
			w.note("runner not started: %v", err)
			return exitNotRun
		}
		log.engines = append(log.engines, e)
	}
	if !w.setUp(log.entries(), streamDocument(5)) {
		return exitNotRun
	}
	position := harmfulAt
	if !trouble {
		position = earlyHarmfulAt
	}
	w.note("prompts have %d parts; the harmful one stands at place %d", partCount, position+1)
	ctx, cancel := context.WithTimeout(context.Background(), threadLoad)
	defer cancel()
	client := &http.Client{Timeout: 15 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	var wg sync.WaitGroup
	var mu sync.Mutex
	sound := map[int]int{}
	send := func(i, harmful int) int {
		status := w.thread(client, w.fronts[i%len(w.fronts)], thread(harmful))
		if harmful >= 0 {
			w.note("the request with the harmful part sent to %s gets %d", w.fronts[i%len(w.fronts)].name, status)
			return status
		}
		mu.Lock()
		defer mu.Unlock()
		sound[status]++
		return status
	}
	wg.Go(func() {
		sleep(ctx, 5*time.Second)
		for i := 0; ctx.Err() == nil; i++ {
			wg.Go(func() { send(i, position) })
			sleep(ctx, harmfulEvery)
		}
	})
	for i := 0; ctx.Err() == nil; i++ {
		wg.Go(func() { send(i, -1) })
		sleep(ctx, time.Second/soundPerS)
	}
	wg.Wait()
	log.mu.Lock()
	defer log.mu.Unlock()
	w.note("sound requests by status: %v; crashes: %d", sound, len(log.crashes))
	const crashesBefore, allowed = 5, 3
	if len(log.crashes) < crashesBefore {
		w.note("fewer than %d crashes, so the rule is not broken", crashesBefore)
		fmt.Printf("crashes: %d\n", len(log.crashes))
		return exitHeld
	}
	late := 0
	for _, at := range log.arrivals {
		// The request was sent a moment before it arrived.
		if at.Add(-500 * time.Millisecond).After(log.crashes[crashesBefore-1].Add(contact)) {
			late++
		}
	}
	w.note("requests with the harmful part that reached runners, sent later than %v after the fifth crash: %d; allowed are %d", contact, late, allowed)
	fmt.Printf("crashes: %d, late requests with the harmful part: %d, allowed: %d\n", len(log.crashes), late, allowed)
	if late > allowed {
		return exitBroken
	}
	return exitHeld
}

// thread sends a request with a prompt and returns the status; 0 if there is no answer.
func (w *world) thread(client *http.Client, front *process, prompt string) int {
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/quote/2f", front.ip, w.ports.callers), strings.NewReader(prompt[len(prompt)-12:]))
	if err != nil {
		return 0
	}
	req.Host = "quote.example"
	req.Header.Set("X-Dragonflycroft-Attempt-Id", fmt.Sprintf("%016x", rand.Uint64()))
	req.Header.Set("X-Dragonflycroft-Model", "m")
	req.Header.Set("X-Dragonflycroft-Token-Count", fmt.Sprintf("%d,48", 4*(partCount-1)+20))
	req.Header.Set("X-Dragonflycroft-Prompt-Prefix", prompt)
	req.Header.Set("X-Dragonflycroft-Deadline-Ms", "15000")
	req.Header.Set("Authorization", "Token key-of-shop-1")
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}
