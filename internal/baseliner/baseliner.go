// Package baseliner holds the simple scheduling policies that the scheduler is compared with. They know no tiers and
// refuse nothing.
package baseliner

import (
	"slices"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
)

const (
	grantTTL = time.Second
	// avoidTime is how long an endpoint that could not be reached is passed over.
	avoidTime = time.Second
	// fifoSlots bounds the runs per endpoint of the first-come-first-served policy. It is a usual fixed setting; the
	// policy does not know that endpoints differ in speed.
	fifoSlots = 16
)

// Names lists the baselines.
func Names() []string { return []string{"round_robin", "least_outstanding", "first_come"} }

// New returns a baseline policy for one pool, and nil when the name is unknown.
func New(name, pool string) *Baseline {
	b := &Baseline{pool: pool, waiting: map[string]scheduler.Submit{}, granted: map[string]grant{}, byName: map[string]*endpoint{}}
	switch name {
	case "round_robin":
		b.choose = b.next
	case "least_outstanding":
		b.choose = b.leastReported
	case "first_come":
		b.choose, b.slots = b.mostFree, fifoSlots
	default:
		return nil
	}
	return b
}

// Baseline grants requests in the order of their arrival.
type Baseline struct {
	pool      string
	slots     int // runs per endpoint; 0 means no bound
	choose    func([]*endpoint) *endpoint
	endpoints []*endpoint
	byName    map[string]*endpoint
	queue     []string
	waiting   map[string]scheduler.Submit
	granted   map[string]grant
	turn      int
}

type endpoint struct {
	name     string
	usable   bool
	avoid    time.Duration // passed over until then
	reported int
	running  int
}

type grant struct {
	submit   scheduler.Submit
	endpoint *endpoint
}

// Step takes an event and returns the grants that follow from it.
func (b *Baseline) Step(now time.Duration, ev scheduler.Event) []scheduler.Action {
	switch ev := ev.(type) {
	case scheduler.Configure:
		b.configure(ev)
	case scheduler.HostsListed:
		for _, e := range b.endpoints {
			e.usable = slices.Contains(ev.Live, e.name)
		}
	case scheduler.HostSynced:
		for _, d := range ev.Waiting {
			b.enqueue(scheduler.Submit{Host: ev.Host, Descriptor: d})
		}
		for _, r := range ev.Running {
			b.adopt(ev.Host, r)
		}
	case scheduler.Submit:
		b.enqueue(ev)
	case scheduler.Declined:
		b.declined(now, ev)
	case scheduler.Cancelled:
		b.forget(ev.RequestID)
	case scheduler.Finished:
		b.forget(ev.RequestID)
	case scheduler.LoadReported:
		if e := b.byName[ev.Endpoint]; e != nil {
			e.reported = ev.Running + ev.Waiting
		}
	}
	return b.grant(now)
}

func (b *Baseline) configure(ev scheduler.Configure) {
	for _, c := range ev.Config.Endpoints {
		if c.Pool == b.pool && b.byName[c.Name] == nil {
			e := &endpoint{name: c.Name, usable: true}
			b.endpoints = append(b.endpoints, e)
			b.byName[c.Name] = e
		}
	}
}

func (b *Baseline) enqueue(sub scheduler.Submit) {
	id := sub.Descriptor.RequestID
	if _, held := b.granted[id]; held {
		return
	}
	if _, known := b.waiting[id]; !known {
		b.queue = append(b.queue, id)
	}
	b.waiting[id] = sub
}

func (b *Baseline) adopt(host string, r scheduler.Run) {
	id := r.Descriptor.RequestID
	if _, held := b.granted[id]; held || b.byName[r.Endpoint] == nil {
		return
	}
	b.granted[id] = grant{submit: scheduler.Submit{Host: host, Descriptor: r.Descriptor}, endpoint: b.byName[r.Endpoint]}
	b.byName[r.Endpoint].running++
}

func (b *Baseline) declined(now time.Duration, ev scheduler.Declined) {
	g, held := b.granted[ev.RequestID]
	if !held {
		return
	}
	b.forget(ev.RequestID)
	if ev.Reason == scheduler.DeclineConnect {
		g.endpoint.avoid = now + avoidTime
	}
	if ev.Reason != scheduler.DeclineGone {
		b.waiting[ev.RequestID] = g.submit
		b.queue = append([]string{ev.RequestID}, b.queue...)
	}
}

func (b *Baseline) forget(id string) {
	if g, held := b.granted[id]; held {
		g.endpoint.running--
		delete(b.granted, id)
	}
	delete(b.waiting, id)
}

func (b *Baseline) grant(now time.Duration) []scheduler.Action {
	var actions []scheduler.Action
	for len(b.queue) > 0 {
		id := b.queue[0]
		sub, ok := b.waiting[id]
		if !ok {
			b.queue = b.queue[1:]
			continue
		}
		e := b.choose(b.candidates(now))
		if e == nil {
			return actions
		}
		b.queue = b.queue[1:]
		delete(b.waiting, id)
		e.running++
		b.granted[id] = grant{submit: sub, endpoint: e}
		actions = append(actions, scheduler.Grant{Host: sub.Host, RequestID: id, Endpoint: e.name, TTL: grantTTL})
	}
	return actions
}

func (b *Baseline) candidates(now time.Duration) []*endpoint {
	var usable []*endpoint
	for _, e := range b.endpoints {
		if e.usable && now >= e.avoid && (b.slots == 0 || e.running < b.slots) {
			usable = append(usable, e)
		}
	}
	return usable
}

func (b *Baseline) next(usable []*endpoint) *endpoint {
	if len(usable) == 0 {
		return nil
	}
	b.turn++
	return usable[b.turn%len(usable)]
}

// leastReported goes by the endpoints' own reports alone, and takes turns among equals.
func (b *Baseline) leastReported(usable []*endpoint) *endpoint {
	least := slices.DeleteFunc(slices.Clone(usable), func(e *endpoint) bool {
		return slices.ContainsFunc(usable, func(o *endpoint) bool { return o.reported < e.reported })
	})
	return b.next(least)
}

func (b *Baseline) mostFree(usable []*endpoint) *endpoint {
	if len(usable) == 0 {
		return nil
	}
	return slices.MinFunc(usable, func(x, y *endpoint) int { return x.running - y.running })
}
