package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	scenarios["blank-line"] = blankLine
	scenarios["smuggled"] = smuggled
}

// deployment is a running fleet with its runners.
type deployment struct {
	*fleet
	runners []*runner
}

// deploy starts a fleet of the size of the site, its runners, and brings the configuration into force.
func deploy(binary string, r *record, entries int, runners ...*runner) (*deployment, error) {
	const controls = 5
	list := &listServer{}
	list.set()
	f, err := startFleet(binary, r, controls, entries, list)
	if err != nil {
		if f != nil {
			f.close()
		}
		return nil, err
	}
	d := &deployment{fleet: f, runners: runners}
	var all []string
	for n, s := range runners {
		s.record, s.zone = r, zoneName(n)
		if s.slots == 0 {
			s.slots = 6
		}
		if err := s.listen(fmt.Sprintf("%s%d:8080", f.prefix, 100+n)); err != nil {
			f.close()
			return nil, err
		}
		all = append(all, s.entry("ready"))
	}
	list.set(all...)
	if err := errors.Join(f.replaceUntilAcked(document(7)), f.awaitReady()); err != nil {
		f.close()
		return nil, err
	}
	// The lists of all hosts are read at least once a second.
	time.Sleep(2 * time.Second)
	return d, nil
}

// streamAnswer writes a stream of events. Its last event is followed by a further empty line where blank, if not nil, returns true.
func streamAnswer(blank func(id string) bool) func(c net.Conn, r *http.Request, _ []byte) bool {
	return func(c net.Conn, r *http.Request, _ []byte) bool {
		const events = 5
		id := r.Header.Get("X-Dragonflycroft-Attempt-Id")
		spoilt := blank != nil && blank(id)
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Dragonflycroft-Attempt-Id: %s\r\nX-Dragonflycroft-Server-Stamp: stamp.%s\r\nX-Dragonflycroft-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, id); err != nil {
			return false
		}
		for n := 1; n <= events; n++ {
			time.Sleep(20 * time.Millisecond)
			event := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, id)
			if spoilt && n == events {
				event += "\n"
			}
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
				return false
			}
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
}

// blankLine sends streams while half of the runners write an empty line after the last event of one stream in 20.
func blankLine(binary string, r *record, trouble bool) (broken string, err error) {
	const (
		count      = 12
		perSecond  = 97
		lasts      = 5 * time.Second
		spoiltEach = 20
	)
	var answers atomic.Int64
	blank := func(id string) bool {
		if !trouble || answers.Add(1)%spoiltEach != 0 {
			return false
		}
		r.note("the answer to %s gets an empty line after its last event", id)
		return true
	}
	var runners []*runner
	for n := range count {
		s := &runner{id: fmt.Sprintf("i-model-%d", n+1), service: "model", slots: 12, quiet: true, answer: streamAnswer(nil)}
		if n%2 == 0 {
			s.answer = streamAnswer(blank)
		}
		runners = append(runners, s)
	}
	d, err := deploy(binary, r, 6, runners...)
	if err != nil {
		return "", err
	}
	defer d.close()
	var all outcomes
	var wg sync.WaitGroup
	began := time.Now()
	for n := 0; time.Since(began) < lasts; n++ {
		h := d.entries()[n%len(d.entries())]
		q := lookup(fmt.Sprintf("look-%03d", n))
		q.body = fmt.Sprintf("pro%03d", n)
		wg.Go(func() {
			a := send(h.callerAddr(), q, lookTimeout+lateMargin+time.Second)
			if !all.add(a) {
				r.note("requester of %s at %s: %v", q.id, h.name, a)
			}
		})
		time.Sleep(time.Until(began.Add(time.Duration(n+1) * time.Second / perSecond)))
	}
	wg.Wait()
	// All requesters have left. A sound host has nothing to do now.
	before := map[string]time.Duration{}
	for _, h := range d.entries() {
		if before[h.name], err = cpuTime(h.cmd.Process.Pid); err != nil {
			return "", err
		}
	}
	time.Sleep(3 * time.Second)
	for _, h := range d.entries() {
		after, err := cpuTime(h.cmd.Process.Pid)
		if err != nil {
			return "", err
		}
		r.note("%s used %.2f s of processor time in 3 s without requests", h.name, (after - before[h.name]).Seconds())
	}
	r.note("%d requests, %d served, %d without a final answer at the route's timeout, %d of these half a second later", all.sent, all.served, all.long, all.unanswered)
	return all.verdict(), nil
}

// smuggled sends a request whose body looks like another request.
func smuggled(binary string, r *record, trouble bool) (broken string, err error) {
	var runners []*runner
	for n := range 3 {
		runners = append(runners, &runner{id: fmt.Sprintf("i-app-%d", n+1), service: "app", answer: plainAnswer})
	}
	d, err := deploy(binary, r, 3, runners...)
	if err != nil {
		return "", err
	}
	defer d.close()
	inner := call{method: http.MethodPost, path: "/order/inner", id: "inner-1", deadline: 2500 * time.Millisecond, header: []string{"Content-Length: 0"}}
	h := d.entries()[0]
	c, err := net.DialTimeout("tcp", h.callerAddr(), time.Second)
	if err != nil {
		return "", err
	}
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	first := call{method: http.MethodPost, path: "/order/first", id: "first-1", body: "one", deadline: 2500 * time.Millisecond, header: []string{"Content-Length: 3"}}
	r.note("requester sends %s", first.id)
	if _, err := io.WriteString(c, first.head()+first.body); err != nil {
		return "", err
	}
	a := readAnswer(reader, first.method)
	r.note("requester of %s: %v", first.id, a)
	if a.status != http.StatusOK {
		return "", fmt.Errorf("the first request got %v", a)
	}
	// The body of the second request has a stated length and holds the text of a further request.
	body := "0\r\n\r\n" + inner.head()
	outer := call{
		method: http.MethodPost, path: "/order/outer", id: "outer-1", body: body, deadline: 2500 * time.Millisecond,
		header: []string{fmt.Sprintf("Content-Length: %d", len(body)), "Transfer-Encoding: chunked"},
	}
	lead := ""
	if trouble {
		lead = "\r\n\r\n"
	}
	r.note("requester sends %s with the text of %s in its body", outer.id, inner.id)
	if _, err := io.WriteString(c, lead+outer.head()+outer.body); err != nil {
		return "", err
	}
	_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
	for range 2 {
		a := readAnswer(reader, outer.method)
		r.note("requester's channel: %v id=%s", a, a.header.Get("X-Dragonflycroft-Attempt-Id"))
		if a.err != nil {
			break
		}
	}
	for _, s := range d.runners {
		if slices.ContainsFunc(s.runs(), func(id string) bool { return strings.HasPrefix(id, "inner") }) {
			return "runner " + s.id + " ran the request inner-1, which no requester sent: it was smuggled inside outer-1", nil
		}
	}
	return "", nil
}
