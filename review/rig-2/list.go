package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { scenarios["unreadable"] = unreadable }

// tornEntry is an entry of another writer that breaks off in the middle, so that its bytes can't be read.
const tornEntry = `{"id":"i-other-1","service":"else","address":"127.0.0.1:`

// readRequests sends idempotent requests for a time and returns how many were sent and served.
func (d *deployment) readRequests(name string, lasts time.Duration) (sent, served int) {
	const perSecond = 30
	var mu sync.Mutex
	var wg sync.WaitGroup
	statuses := map[string]int{}
	began := time.Now()
	for n := 0; time.Since(began) < lasts; n++ {
		h := d.entries()[n%len(d.entries())]
		q := call{method: http.MethodGet, path: "/read/2f", id: fmt.Sprintf("%s-%03d", name, n), deadline: 2500 * time.Millisecond}
		wg.Go(func() {
			a := send(h.callerAddr(), q, 2500*time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			sent++
			text := fmt.Sprintf("status %d", a.status)
			if a.status == 0 {
				text = fmt.Sprintf("no answer (%v)", a.err)
			}
			statuses[text]++
			if a.complete && a.status == http.StatusOK {
				served++
			}
		})
		time.Sleep(time.Until(began.Add(time.Duration(n+1) * time.Second / perSecond)))
	}
	wg.Wait()
	d.record.note("%s: %d requests sent, %d served, answers %v", name, sent, served, statuses)
	return sent, served
}

// killAll kills all processes of the system and starts them again.
func (d *deployment) killAll(down time.Duration) error {
	for _, h := range d.hosts {
		if err := h.cmd.Process.Kill(); err != nil {
			return err
		}
	}
	for _, h := range d.hosts {
		<-h.done
	}
	time.Sleep(down)
	var errs []error
	for _, h := range d.hosts {
		errs = append(errs, d.start(h, false))
	}
	return errors.Join(errs...)
}

// unreadable puts an entry that can't be read into the list of runners, and kills all processes.
func unreadable(binary string, r *record, trouble bool) (broken string, err error) {
	const (
		down     = 1300 * time.Millisecond
		recovery = 12 * time.Second
		lasts    = 5 * time.Second
	)
	var runners []*runner
	for n := range 3 {
		runners = append(runners, &runner{id: fmt.Sprintf("i-app-%d", n+1), service: "app", quiet: true, answer: plainAnswer})
	}
	d, err := deploy(binary, r, 6, runners...)
	if err != nil {
		return "", err
	}
	defer d.close()
	sentBefore, servedBefore := d.readRequests("before", lasts)
	if trouble {
		var entries []string
		for n, s := range runners {
			if n == 1 {
				entries = append(entries, tornEntry)
			}
			entries = append(entries, s.entry("ready"))
		}
		d.list.set(entries...)
		r.note("the list has one entry that can't be read: %s", tornEntry)
		d.readRequests("with-entry", lasts)
	}
	if err := d.killAll(down); err != nil {
		return "", err
	}
	r.note("all processes were killed and started again")
	time.Sleep(recovery)
	sent, served := d.readRequests("after", lasts)
	if 4*served < sent && 4*servedBefore >= sentBefore {
		return fmt.Sprintf("%d of %d requests sent later than recovery_s after the machines were back are served, and %d of %d before", served, sent, servedBefore, sentBefore), nil
	}
	return "", nil
}
