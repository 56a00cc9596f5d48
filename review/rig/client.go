package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// result counts the requests of a span by how they ended.
type result struct{ sent, served int }

// requesters send idempotent requests at a steady rate to the entry machines, in turn, and record how each one ended.
type requesters struct {
	o      *operator
	client *http.Client
	stop   chan struct{}
	wg     sync.WaitGroup
	// poisons counts the requests that crash runners.
	poisons int

	mu   sync.Mutex
	ends []end
}

type end struct {
	at     time.Time
	served bool
}

func startRequesters(o *operator, fronts []*machine, interval time.Duration) *requesters {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	q := &requesters{o: o, client: client, stop: make(chan struct{})}
	q.wg.Go(func() {
		tick := time.NewTicker(interval)
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-q.stop:
				return
			case <-tick.C:
			}
			m := fronts[n%len(fronts)]
			id := fmt.Sprintf("%016x", n+1)
			q.wg.Go(func() { q.send(client, m, id, "/lohu930/2f") })
		}
	})
	return q
}

func (q *requesters) send(client *http.Client, m *machine, id, path string) {
	at := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+q.o.c.addr(m, "frontend")+path, nil)
	if err != nil {
		return
	}
	req.Host = q.o.host
	req.Header.Set(idHeader, id)
	req.Header.Set("X-Dragonflycroft-Deadline-Ms", "2500")
	req.Header.Set("Authorization", "Token "+q.o.key)
	how, served := "", false
	if resp, err := client.Do(req); err != nil {
		how = "no answer"
	} else {
		_, err := io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		served = resp.StatusCode == http.StatusOK && err == nil && resp.Header.Get("X-Dragonflycroft-Server-Stamp") != ""
		how = fmt.Sprint(resp.StatusCode)
	}
	q.o.c.rec.event("request %s to %s: %s after %v", id, m.name, how, time.Since(at).Round(time.Millisecond))
	if strings.HasPrefix(path, poisonPrefix) {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ends = append(q.ends, end{at: at, served: served})
}

// sendPoison sends one request that crashes runners to each of the machines, at the same moment, and waits for the answers.
func (q *requesters) sendPoison(machines []*machine, path string) {
	var sent sync.WaitGroup
	for _, m := range machines {
		q.poisons++
		id := fmt.Sprintf("bad%013x", q.poisons)
		sent.Go(func() { q.send(q.client, m, id, path) })
	}
	sent.Wait()
}

// between returns the results of the requests that were sent in a span.
func (q *requesters) between(from, to time.Time) result {
	q.mu.Lock()
	defer q.mu.Unlock()
	var r result
	for _, e := range q.ends {
		if e.at.Before(from) || e.at.After(to) {
			continue
		}
		r.sent++
		if e.served {
			r.served++
		}
	}
	return r
}

func (q *requesters) close() {
	close(q.stop)
	q.wg.Wait()
}
