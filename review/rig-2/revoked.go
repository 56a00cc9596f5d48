package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["revoked"] = revoked }

// moreRoutes returns the document with a number of further routes, as big_config adds them, and with or without the second key.
func moreRoutes(document []byte, count int, withKey bool) []byte {
	var b bytes.Buffer
	for n := range count {
		_, _ = fmt.Fprintf(&b, `{"name":"r-more-%d","host":"more%d.example","path_prefix":"/more%d/","route_kind":"idempotent","timeout_ms":1200,"aim_ms":150,"priority":2,"service":"app","max_attempts":2,"public":false,"sticky":false,"resumable":false},`, n, n, n)
	}
	out := bytes.Replace(document, []byte(`"routes":[`), append([]byte(`"routes":[`), b.Bytes()...), 1)
	if !withKey {
		out = bytes.Replace(out, fmt.Appendf(nil, `,%q`, otherKey), nil, 1)
	}
	return out
}

// keyedRequester sends one request after the other on a channel, with the second key of the tenant, until it is stopped.
type keyedRequester struct {
	name, addr string
	record     *record
	pause      time.Duration

	mu   sync.Mutex
	sent map[string]time.Time
}

func (k *keyedRequester) run(stop <-chan struct{}) {
	for n := 0; ; {
		c, err := net.DialTimeout("tcp", k.addr, 10*time.Second)
		if err != nil {
			return
		}
		reader := bufio.NewReader(c)
		for ; ; n++ {
			select {
			case <-stop:
				_ = c.Close()
				return
			case <-time.After(k.pause):
			}
			q := call{method: http.MethodPost, path: "/order/2f", id: fmt.Sprintf("%s-%d", k.name, n), deadline: 2500 * time.Millisecond}
			text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Dragonflycroft-Attempt-Id: %s\r\nX-Dragonflycroft-Deadline-Ms: 2500\r\nAuthorization: Token %s\r\nContent-Length: 2\r\n\r\nok", q.path, routeHost, q.id, otherKey)
			k.mu.Lock()
			k.sent[q.id] = time.Now()
			k.mu.Unlock()
			if _, err := io.WriteString(c, text); err != nil {
				break
			}
			_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
			if a := readAnswer(reader, q.method); a.err != nil || a.header.Get("Connection") == "close" {
				break
			}
		}
		_ = c.Close()
	}
}

const (
	// frozenFor is how long the entry host is frozen, and coreDownFor how long the control hosts are down.
	frozenFor   = 3500 * time.Millisecond
	coreDownFor = 1200 * time.Millisecond
	// killedBefore is the time from the kill of the control hosts to the end of the freeze.
	killedBefore = 50 * time.Millisecond
)

// revokeKey sends a configuration without a key and returns the time of its acknowledgement. With trouble, an entry host is frozen
// meanwhile, and all control hosts are killed just before it wakes and are started again 1.2 s later.
func (d *deployment) revokeKey(h *host, document []byte, trouble bool) (acked time.Time, err error) {
	frozen := time.Now()
	if trouble {
		d.record.note("%s freezes", h.name)
		if err := h.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
			return time.Time{}, err
		}
	}
	if err := d.replaceUntilAcked(document); err != nil {
		return time.Time{}, errors.Join(err, h.cmd.Process.Signal(syscall.SIGCONT))
	}
	acked = time.Now()
	d.record.note("the configuration without the key of the requesters is acknowledged")
	if !trouble {
		return acked, nil
	}
	time.Sleep(time.Until(frozen.Add(frozenFor - killedBefore)))
	killed := time.Now()
	for _, c := range d.controls() {
		if err := c.cmd.Process.Kill(); err != nil {
			return acked, err
		}
	}
	time.Sleep(time.Until(frozen.Add(frozenFor)))
	d.record.note("%s wakes %.3f s after the acknowledgement", h.name, time.Since(acked).Seconds())
	if err := h.cmd.Process.Signal(syscall.SIGCONT); err != nil {
		return acked, err
	}
	time.Sleep(time.Until(killed.Add(coreDownFor)))
	for _, c := range d.controls() {
		<-c.done
		if err := d.start(c, false); err != nil {
			return acked, err
		}
	}
	d.record.note("the control hosts run again %.3f s after the acknowledgement", time.Since(acked).Seconds())
	return acked, nil
}

// revoked takes a key away while one entry host is frozen and then hears of no control host, and lets its requesters go on.
func revoked(binary string, r *record, trouble bool) (broken string, err error) {
	const (
		routes     = 380
		requesters = 16
		// revokeTime is revoke_ms of the site.
		revokeTime = 5 * time.Second
	)
	var runners []*runner
	var arrivals sync.Map
	for n := range 3 {
		s := &runner{id: fmt.Sprintf("i-app-%d", n+1), service: "app", quiet: true}
		s.answer = func(c net.Conn, q *http.Request, body []byte) bool {
			arrivals.Store(q.Header.Get("X-Dragonflycroft-Attempt-Id"), time.Now())
			return plainAnswer(c, q, body)
		}
		runners = append(runners, s)
	}
	d, err := deploy(binary, r, 6, runners...)
	if err != nil {
		return "", err
	}
	defer d.close()
	if err := d.replaceUntilAcked(moreRoutes(document(8), routes, true)); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	h := d.entries()[0]
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var all []*keyedRequester
	for n := range requesters {
		k := &keyedRequester{name: fmt.Sprintf("keyed-%d", n), addr: h.callerAddr(), record: r, pause: time.Millisecond, sent: map[string]time.Time{}}
		all = append(all, k)
		wg.Go(func() { k.run(stop) })
	}
	time.Sleep(500 * time.Millisecond)
	acked, err := d.revokeKey(h, moreRoutes(document(9), routes, false), trouble)
	if err != nil {
		return "", err
	}
	time.Sleep(time.Until(acked.Add(8 * time.Second)))
	close(stop)
	wg.Wait()
	sent, late := 0, 0
	for _, k := range all {
		for id, at := range k.sent {
			if at.Sub(acked) <= revokeTime {
				continue
			}
			sent++
			if ran, found := arrivals.Load(id); found {
				late++
				ranAt, _ := ran.(time.Time)
				r.note("request %s was sent %.3f s after the acknowledgement and began to run %.3f s after it", id, at.Sub(acked).Seconds(), ranAt.Sub(acked).Seconds())
			}
		}
	}
	r.note("%d requests with the key were sent later than revoke_ms after the acknowledgement, %d of them ran", sent, late)
	if late > 0 {
		return fmt.Sprintf("%d requests ran that were sent later than revoke_ms after the ack of the configuration that took their key away", late), nil
	}
	return "", nil
}
