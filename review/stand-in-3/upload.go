package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of the case.
const (
	// uploadBytes is the size of a long body, partBytes the part of an answer that is sent before the reset, and answerBytes a whole answer.
	uploadBytes, partBytes, answerBytes = 4 << 20, 400, 800
	// shortPerS and longPerS are the numbers of short and long requests a second.
	shortPerS, longPerS = 120, 4
	// spoiltRunners of uploadRunners spoil at most one in spoiltEvery of their answers, for spoilTime.
	uploadRunners, spoiltRunners, spoiltEvery = 5, 3, 20
	spoilTime                                 = 5500 * time.Millisecond
	// resetAfter is the time from the part of an answer to the reset.
	resetAfter = 30 * time.Millisecond
	// runnerBuffer is the receive buffer of a runner in bytes.
	runnerBuffer = 16 << 10
)

// uploadRunner answers some long requests before it has read them, without a length, and resets the channel on the way.
type uploadRunner struct {
	w     *world
	entry entry
	// spoils is true while the runner spoils answers; answered and spoilt count its answers in that time.
	spoils           atomic.Bool
	mu               sync.Mutex
	answered, spoilt int
	reset            *sync.Map
	// brokenHead is true if the spoilt answers have a head that is none, and false if they are answers to long uploads that are reset.
	brokenHead bool
}

// countAnswer counts an answer in the time of the disruption, and reports whether it is spoilt: if it fits, at most one in spoiltEvery.
func (r *uploadRunner) countAnswer(fits bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answered++
	if !fits || (r.spoilt+1)*spoiltEvery > r.answered {
		return false
	}
	r.spoilt++
	return true
}

// spoil writes a spoilt answer, after which the channel is closed.
func (r *uploadRunner) spoil(c net.Conn, id, head string) {
	r.reset.Store(id, true)
	if r.brokenHead {
		r.w.note("%s answers %s with a head that has a blank before a colon: \"Transfer-Encoding : chunked\"", r.entry.ID, id)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Type: application/octet-stream\r\nTransfer-Encoding : chunked\r\nConnection: close\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
			head, answerBytes, strings.Repeat("a", answerBytes))
		return
	}
	r.w.note("%s answers %s before it has read the body: 200 without a length, %d of %d bytes, then a reset", r.entry.ID, id, partBytes, answerBytes)
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+"Content-Type: application/octet-stream\r\nConnection: close\r\n\r\n"+strings.Repeat("a", partBytes))
	time.Sleep(resetAfter)
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

func (r *uploadRunner) start(addr string) error {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var optionErr error
		err := c.Control(func(fd uintptr) {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, runnerBuffer)
		})
		if err != nil {
			return err
		}
		return optionErr
	}}
	listener, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return err
	}
	r.entry.Address = listener.Addr().String()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	return nil
}

func (r *uploadRunner) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := q.Header.Get("X-Dragonflycroft-Attempt-Id")
		head := "X-Dragonflycroft-Attempt-Id: " + id + "\r\nX-Dragonflycroft-Server-Stamp: stamp-" + r.entry.ID + "-" + id + "\r\n"
		if expected := q.Header.Get("X-Dragonflycroft-Expect-Instance"); expected != "" && expected != r.entry.ID {
			_, _ = io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nX-Dragonflycroft-Not-Executed: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
			return
		}
		fits := r.brokenHead || q.ContentLength == uploadBytes
		if r.spoils.Load() && r.countAnswer(fits) {
			if r.brokenHead {
				_, _ = io.Copy(io.Discard, q.Body)
			}
			r.spoil(c, id, head)
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
		_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Type: application/octet-stream\r\nContent-Length: %d\r\n\r\n%s", head, answerBytes, strings.Repeat("a", answerBytes))
		if err != nil {
			return
		}
	}
}

// upload is case 13: runners answer long uploads at once without a length, and reset the channel within the answer.
func upload(w *world, trouble bool) int { return spoiltAnswers(w, trouble, false) }

// brokenHeads is case 15: runners send heads that are none.
func brokenHeads(w *world, trouble bool) int { return spoiltAnswers(w, trouble, true) }

func spoiltAnswers(w *world, trouble, brokenHead bool) int {
	reset := &sync.Map{}
	var runners []*uploadRunner
	var list []entry
	for i := range uploadRunners {
		r := &uploadRunner{w: w, reset: reset, brokenHead: brokenHead, entry: entry{
			ID: fmt.Sprintf("i-%08x", rand.Uint32()), Service: "desk", Zone: zones[i%len(zones)], Version: "v1", Slots: 6, State: "ready",
		}}
		if err := r.start(fmt.Sprintf("%s.%d:0", w.net, 100+i)); err != nil {
			w.note("runner not started: %v", err)
			return exitNotRun
		}
		runners, list = append(runners, r), append(list, r.entry)
	}
	if !w.setUp(list, keyDocument(5, []map[string]any{{"name": "shop", "api_keys": []string{"key-of-shop-1"}, "priority": 1}})) {
		return exitNotRun
	}
	u := &uploads{w: w, reset: reset, body: bytes.Repeat([]byte("u"), uploadBytes), counts: map[string]int{}}
	ctx, cancel := context.WithTimeout(context.Background(), spoilTime+4*time.Second)
	defer cancel()
	u.wg.Go(func() { u.load(ctx, time.Second/shortPerS, nil) })
	if !brokenHead {
		u.wg.Go(func() { u.load(ctx, time.Second/longPerS, u.body) })
	}
	sleep(ctx, 2*time.Second)
	for _, r := range runners[:spoiltRunners] {
		r.spoils.Store(trouble)
	}
	sleep(ctx, spoilTime)
	for _, r := range runners {
		r.spoils.Store(false)
	}
	u.wg.Wait()
	for _, r := range runners {
		r.mu.Lock()
		w.note("runner %s: %d answers in the time of the disruption, %d of them spoilt", r.entry.ID, r.answered, r.spoilt)
		r.mu.Unlock()
	}
	w.note("answers at the callers: %v", u.counts)
	fmt.Printf("answers at the callers: %v\n", u.counts)
	switch {
	case u.counts["wrong"] > 0:
		return exitBroken
	case u.counts["whole"] == 0:
		return exitNotRun
	}
	return exitHeld
}

// uploads is the load of the case and what its callers got.
type uploads struct {
	w      *world
	reset  *sync.Map
	body   []byte
	wg     sync.WaitGroup
	mu     sync.Mutex
	counts map[string]int
}

func (u *uploads) load(ctx context.Context, every time.Duration, body []byte) {
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 50}}
	for i := 0; ctx.Err() == nil; i++ {
		u.wg.Go(func() { u.send(client, u.w.fronts[i%len(u.w.fronts)], body) })
		sleep(ctx, every)
	}
}

func (u *uploads) send(client *http.Client, front *process, body []byte) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/order/2f", front.ip, u.w.ports.callers), bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Host = "desk.example"
	req.Header.Set("X-Dragonflycroft-Attempt-Id", id)
	req.Header.Set("X-Dragonflycroft-Deadline-Ms", "2500")
	req.Header.Set("Authorization", "Token key-of-shop-1")
	result := "no answer"
	resp, err := client.Do(req)
	if err == nil {
		got, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		switch {
		case err != nil:
			result = "broken off"
		case resp.StatusCode != http.StatusOK:
			result = fmt.Sprint(resp.StatusCode)
		case len(got) != answerBytes:
			result = "wrong"
			u.w.note("request %s gets 200 as a complete answer with %d of %d bytes, stamp %q", id, len(got), answerBytes, resp.Header.Get("X-Dragonflycroft-Server-Stamp"))
		default:
			result = "whole"
		}
	}
	if _, spoilt := u.reset.Load(id); spoilt && result != "wrong" {
		u.w.note("request %s, whose answer was spoilt: %s", id, result)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counts[result]++
}
