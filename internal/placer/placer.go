package placer

import (
	"slices"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/tracker"
)

const (
	// longPrefill is the part of the first-token target from which a prefill counts as long.
	longPrefill = 0.3
	// patientQueue and urgentQueue are the parts of the first-token target that prompts queued at an endpoint may take.
	patientQueue, urgentQueue = 0.3, 0.6
	// leastLoaded and prefixHolders bound the endpoints that one decision examines.
	leastLoaded, prefixHolders = 8, 4
	// probeTokens bounds the request that proves an endpoint, and probePenalty keeps urgent and careful work away from it.
	probeTokens  = 2048
	probePenalty = 5.0
	// probePatience is how long an endpoint waits for a small request before any request may prove it.
	probePatience = 3 * time.Second
	// affinityTokens is the length of a cached prefix from which a request is kept with its endpoint. Shorter ones, such
	// as system prompts, are soon everywhere. Each further token missed counts as affinityCost seconds: without it,
	// conversations move to whichever endpoint is fastest at the moment and are prefilled again and again.
	affinityTokens = 512
	affinityCost   = 0.01
	// affinityHeadroom is the part of the headroom that a request with a long cached prefix may use at its endpoint.
	affinityHeadroom = 0.5
	// longPart bounds the endpoints with a long prefill, so that the others answer short requests promptly.
	longPart = 2.0 / 3
)

// Obstacle says why a request could not be placed. Larger values tell more: they leave less to wait for.
type Obstacle int

// The obstacles.
const (
	None Obstacle = iota
	// NoProbe means that the request is too large to prove an endpoint that has failed.
	NoProbe
	// NoRoom means that the bounds of the endpoints are in use.
	NoRoom
	// NoPrefillRoom means that other prompts are queued where there is room.
	NoPrefillRoom
	// NoDistinct means that the request may only run where it runs already.
	NoDistinct
)

// Job is what placement needs to know of a request.
type Job struct {
	// Tokens is the size to book, of a prompt of Prompt tokens and a predicted output of Output tokens.
	Tokens, Prompt, Output int
	Blocks                 []uint64
	Zone                   string
	Urgent                 bool
	// Plain is true for a call of a plain service.
	Plain bool
	// Careful jobs may not be repeated, so that an endpoint that has failed is the last choice.
	Careful bool
	// Near are endpoints to examine in any case. With Only, no other is allowed.
	Near []*tracker.Endpoint
	Only bool
}

// Placer chooses endpoints. Its fields are set before each use.
type Placer struct {
	Table    *tracker.Table
	Prefixes *Prefixes
	// Target is the strictest first-token target. It bounds the prompts queued at an endpoint for all work, since they
	// delay the first tokens of every request that comes after them.
	Target time.Duration
	// Open lets all work use the headroom.
	Open bool
	// Longs is the number of long prefills in progress in the pool.
	Longs int
}

// Choice is the result of Choose.
type Choice struct {
	Endpoint *tracker.Endpoint
	Obstacle Obstacle
	// Busy is an endpoint without room now that holds so much more of the prompt than those with room that it is worth
	// waiting for, or nil.
	Busy *tracker.Endpoint
}

// option is an endpoint with what it costs.
type option struct {
	endpoint *tracker.Endpoint
	cost     float64
	uncached int
}

// Choose returns the endpoint at which a job is predicted to finish first.
func (p *Placer) Choose(now time.Duration, j Job, c *tracker.Class) Choice {
	var found []option
	var busy *tracker.Endpoint
	least := j.Prompt // of the busy endpoint
	why := None
	for _, e := range p.candidates(j, c) {
		if j.Only && !slices.Contains(j.Near, e) {
			why = max(why, NoDistinct)
			continue
		}
		o, obstacle := p.examine(now, j, e)
		if obstacle == None {
			found = append(found, o)
			continue
		}
		why = max(why, obstacle)
		if o.uncached < least && e.Eligible() && e.Avail.Open(now) {
			busy, least = e, o.uncached
		}
	}
	choice := Choice{Obstacle: why}
	if busy != nil && missed(j, found)-least > affinityTokens {
		choice.Busy = busy
	}
	switch {
	case len(found) > 0:
		choice.Endpoint, choice.Obstacle = cheapest(found), None
	case why == None:
		choice.Obstacle = NoRoom
	}
	return choice
}

// candidates returns the least loaded endpoints of a class and those that hold the prompt's prefix.
func (p *Placer) candidates(j Job, c *tracker.Class) []*tracker.Endpoint {
	names := c.Least(make([]string, 0, leastLoaded+prefixHolders), leastLoaded)
	names = p.Prefixes.Holders(names, j.Blocks, prefixHolders)
	list := make([]*tracker.Endpoint, 0, len(names)+len(j.Near))
	for _, name := range names {
		if e := p.Table.Get(name); e != nil && e.Serves(c) {
			list = append(list, e)
		}
	}
	for _, e := range j.Near {
		if e.Serves(c) && !slices.Contains(list, e) {
			list = append(list, e)
		}
	}
	return list
}

// missed returns the least part of the prompt that the options have to process.
func missed(j Job, found []option) int {
	least := j.Prompt
	for _, o := range found {
		least = min(least, o.uncached)
	}
	return least
}

// cheapest returns the endpoint of the least cost, counting what it misses of the longest cached prefix.
func cheapest(found []option) *tracker.Endpoint {
	least := found[0].uncached
	for _, o := range found {
		least = min(least, o.uncached)
	}
	var best option
	for _, o := range found {
		if missed := o.uncached - least; missed > affinityTokens {
			o.cost += affinityCost * float64(missed)
		}
		if best.endpoint == nil || o.cost < best.cost {
			best = o
		}
	}
	return best.endpoint
}

// Fits reports whether an endpoint takes a job now.
func (p *Placer) Fits(now time.Duration, j Job, e *tracker.Endpoint) bool {
	_, obstacle := p.examine(now, j, e)
	return obstacle == None
}

func (p *Placer) examine(now time.Duration, j Job, e *tracker.Endpoint) (option, Obstacle) {
	o := option{endpoint: e, uncached: p.Uncached(j, e)}
	part, probe := p.Table.Part(now, e, j.Urgent)
	headroom := 0.0
	switch {
	case j.Urgent || p.Open:
		headroom = 1
	case j.Prompt-o.uncached >= affinityTokens:
		headroom = affinityHeadroom
	}
	own, _ := e.Limit.Used()
	switch {
	case part <= 0, !e.Fits(j.Tokens, part, headroom), probe && own > 0:
		return o, NoRoom
	case probe && j.Tokens > probeTokens && e.Avail.Proving(now) < probePatience:
		return o, NoProbe
	}
	if probe && (j.Urgent || j.Careful) {
		o.cost = probePenalty
	}
	if j.Plain {
		o.cost += e.Load()
		return o, None
	}
	if !p.prefillFits(j, e, o.uncached) {
		return o, NoPrefillRoom
	}
	o.cost += Cost(candidate(j, e, o.uncached), j.Output, j.Urgent)
	return o, None
}

func candidate(j Job, e *tracker.Endpoint, uncached int) Candidate {
	return Candidate{
		PendingPrefill: e.Pending,
		PrefillRate:    e.Speed.Prefill(),
		Gap:            e.Speed.Gap(),
		Load:           e.Load(),
		OtherZone:      e.Zone != j.Zone,
		Uncached:       uncached,
	}
}

// FirstToken predicts the time to the first token of a job at an endpoint.
func (p *Placer) FirstToken(j Job, e *tracker.Endpoint) time.Duration {
	if j.Plain {
		return 0
	}
	return candidate(j, e, p.Uncached(j, e)).FirstToken()
}

// Uncached returns the part of the prompt that the endpoint has to process.
func (p *Placer) Uncached(j Job, e *tracker.Endpoint) int {
	n := len(j.Blocks)
	switch {
	case j.Plain:
		return 0
	case n == 0:
		return j.Prompt
	}
	cached := p.Prefixes.Match(e.Name, j.Blocks)
	return max(j.Prompt-j.Prompt*cached/n, 1)
}

// Long reports whether processing so many prompt tokens at an endpoint counts as a long prefill.
func (p *Placer) Long(e *tracker.Endpoint, uncached int) bool {
	return float64(e.Prefill(uncached)) > longPrefill*float64(p.Target)
}

// prefillFits bounds the prompts queued at an endpoint, so that a first token is not late behind them.
func (p *Placer) prefillFits(j Job, e *tracker.Endpoint, uncached int) bool {
	if !j.Urgent && p.Long(e, uncached) && (e.Longs > 0 || p.Longs >= p.maxLongs()) {
		return false
	}
	if e.Pending == 0 {
		return true
	}
	part := patientQueue
	if j.Urgent || p.Open {
		part = urgentQueue
	}
	return float64(e.Prefill(e.Pending+uncached)) <= part*float64(p.Target)
}

func (p *Placer) maxLongs() int { return max(1, int(longPart*float64(len(p.Table.All())))) }
