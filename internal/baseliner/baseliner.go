// Package baseliner implements the simple scheduling policies with which the scheduler is compared. They ignore tiers and
// refuse no request.
package baseliner

import (
	"slices"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
)

const (
	grantTTL = time.Second
	// avoidDuration is how long an endpoint receives no requests after a connect to it failed.
	avoidDuration = time.Second
	// fifoSlots limits the runs per endpoint of the first-come-first-served policy. It is a usual fixed setting that does
	// not account for the different speeds of endpoints.
	fifoSlots = 16
)

// Names returns the names of the baseline policies.
func Names() []string { return []string{"round_robin", "least_outstanding", "first_come"} }

// New returns a baseline policy for one pool, or nil if the name is unknown.
func New(name, pool string) *Baseline {
	b := &Baseline{pool: pool, waiting: map[string]scheduler.Submit{}, granted: map[string]grantedRequest{}, endpointByName: map[string]*endpoint{}}
	switch name {
	case "round_robin":
		b.choose = b.roundRobin
	case "least_outstanding":
		b.choose = b.leastReportedLoad
	case "first_come":
		b.choose, b.slots = b.leastRunning, fifoSlots
	default:
		return nil
	}
	return b
}

// Baseline is a policy that grants requests in the order of their arrival.
type Baseline struct {
	pool           string
	slots          int // runs per endpoint; 0 means no limit
	choose         func([]*endpoint) *endpoint
	endpoints      []*endpoint
	endpointByName map[string]*endpoint
	queue          []string
	waiting        map[string]scheduler.Submit
	granted        map[string]grantedRequest
	nextIndex      int
}

type endpoint struct {
	name         string
	usable       bool
	avoidUntil   time.Duration // no grants before this time
	reportedLoad int
	running      int
}

type grantedRequest struct {
	submit   scheduler.Submit
	endpoint *endpoint
}

// Step handles an event and returns the resulting grants.
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
			b.addRunning(ev.Host, r)
		}
	case scheduler.Submit:
		b.enqueue(ev)
	case scheduler.Declined:
		b.handleDecline(now, ev)
	case scheduler.Cancelled:
		b.remove(ev.RequestID)
	case scheduler.Finished:
		b.remove(ev.RequestID)
	case scheduler.LoadReported:
		if e := b.endpointByName[ev.Endpoint]; e != nil {
			e.reportedLoad = ev.Running + ev.Waiting
		}
	}
	return b.grantWaiting(now)
}

func (b *Baseline) configure(ev scheduler.Configure) {
	for _, c := range ev.Config.Endpoints {
		if c.Pool == b.pool && b.endpointByName[c.Name] == nil {
			e := &endpoint{name: c.Name, usable: true}
			b.endpoints = append(b.endpoints, e)
			b.endpointByName[c.Name] = e
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

func (b *Baseline) addRunning(host string, r scheduler.Run) {
	id := r.Descriptor.RequestID
	if _, held := b.granted[id]; held || b.endpointByName[r.Endpoint] == nil {
		return
	}
	b.granted[id] = grantedRequest{submit: scheduler.Submit{Host: host, Descriptor: r.Descriptor}, endpoint: b.endpointByName[r.Endpoint]}
	b.endpointByName[r.Endpoint].running++
}

func (b *Baseline) handleDecline(now time.Duration, ev scheduler.Declined) {
	g, held := b.granted[ev.RequestID]
	if !held {
		return
	}
	b.remove(ev.RequestID)
	if ev.Reason == scheduler.DeclineConnect {
		g.endpoint.avoidUntil = now + avoidDuration
	}
	if ev.Reason != scheduler.DeclineGone {
		b.waiting[ev.RequestID] = g.submit
		b.queue = append([]string{ev.RequestID}, b.queue...)
	}
}

func (b *Baseline) remove(id string) {
	if g, held := b.granted[id]; held {
		g.endpoint.running--
		delete(b.granted, id)
	}
	delete(b.waiting, id)
}

func (b *Baseline) grantWaiting(now time.Duration) []scheduler.Action {
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
		b.granted[id] = grantedRequest{submit: sub, endpoint: e}
		actions = append(actions, scheduler.Grant{Host: sub.Host, RequestID: id, Endpoint: e.name, TTL: grantTTL})
	}
	return actions
}

func (b *Baseline) candidates(now time.Duration) []*endpoint {
	var usable []*endpoint
	for _, e := range b.endpoints {
		if e.usable && now >= e.avoidUntil && (b.slots == 0 || e.running < b.slots) {
			usable = append(usable, e)
		}
	}
	return usable
}

func (b *Baseline) roundRobin(usable []*endpoint) *endpoint {
	if len(usable) == 0 {
		return nil
	}
	b.nextIndex++
	return usable[b.nextIndex%len(usable)]
}

// leastReportedLoad uses only the load that the endpoints report, and chooses round-robin among equal ones.
func (b *Baseline) leastReportedLoad(usable []*endpoint) *endpoint {
	least := slices.DeleteFunc(slices.Clone(usable), func(e *endpoint) bool {
		return slices.ContainsFunc(usable, func(o *endpoint) bool { return o.reportedLoad < e.reportedLoad })
	})
	return b.roundRobin(least)
}

func (b *Baseline) leastRunning(usable []*endpoint) *endpoint {
	if len(usable) == 0 {
		return nil
	}
	return slices.MinFunc(usable, func(x, y *endpoint) int { return x.running - y.running })
}
