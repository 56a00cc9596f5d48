package placer

import (
	"slices"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/tracker"
)

const (
	// longPrefillShare is the fraction of the first-token target above which a prefill counts as long.
	longPrefillShare = 0.3
	// normalQueueShare and urgentQueueShare are the fractions of the first-token target that the prefill of the prompts queued
	// at an endpoint may take.
	normalQueueShare, urgentQueueShare = 0.3, 0.6
	// maxLeastLoaded and maxPrefixHolders bound the number of endpoints evaluated per decision.
	maxLeastLoaded, maxPrefixHolders = 8, 4
	// probeTokens is the largest size of a request that probes an endpoint after a failure. probePenalty, in seconds, keeps
	// urgent and non-repeatable requests away from such an endpoint.
	probeTokens  = 2048
	probePenalty = 5.0
	// smallProbeTimeout is how long an endpoint waits for a small request before a request of any size may probe it.
	smallProbeTimeout = 3 * time.Second
	// minAffinityTokens is the number of cached prefix tokens from which a request prefers the endpoint that holds them.
	// Shorter prefixes, such as system prompts, are soon cached at all endpoints. Once an endpoint misses more than this many
	// tokens, each missed token costs affinityTokenCost seconds. Otherwise conversations would move to whichever endpoint is
	// fastest at the moment and be prefilled repeatedly.
	minAffinityTokens = 512
	affinityTokenCost = 0.01
	// affinityHeadroomShare is the fraction of the headroom that a request may use at an endpoint that holds a long prefix of
	// its prompt.
	affinityHeadroomShare = 0.5
	// longPrefillEndpoints is the largest fraction of the endpoints that run a long prefill, so that the others answer short
	// requests promptly.
	longPrefillEndpoints = 2.0 / 3
)

// Obstacle is the reason why a request cannot be placed. If endpoints differ, the largest value is reported; larger values are
// more specific and leave less to wait for.
type Obstacle int

// Obstacles to a placement.
const (
	None Obstacle = iota
	// NoProbe means that the request is too large to probe an endpoint that has failed.
	NoProbe
	// NoRoom means that no endpoint has capacity left.
	NoRoom
	// NoPrefillRoom means that too many prompts are queued at the endpoints that have capacity.
	NoPrefillRoom
	// NoOtherEndpoint means that the request may only use the endpoints in [Job.Required].
	NoOtherEndpoint
)

// Job describes a request for placement.
type Job struct {
	// Tokens is the number of tokens to reserve. Prompt is the prompt length and Output the predicted output length, in
	// tokens.
	Tokens, Prompt, Output int
	// Blocks are the hashes of the prompt's prefix blocks.
	Blocks []uint64
	Zone   string
	// Urgent requests may use the whole headroom.
	Urgent bool
	// PlainService is true for a request to a plain service, which has no prompt.
	PlainService bool
	// NonRepeatable is true for a request that must not be repeated. An endpoint that has failed is its last choice.
	NonRepeatable bool
	// Required lists endpoints that are always evaluated. If RequiredOnly is true, no others are allowed.
	Required     []*tracker.Endpoint
	RequiredOnly bool
}

// Placer chooses endpoints for requests. Its fields are set before each use.
type Placer struct {
	Table    *tracker.Table
	Prefixes *PrefixIndex
	// Target is the strictest first-token target. It bounds the prompts queued at an endpoint for all requests, because
	// queued prompts delay the first token of every later request.
	Target time.Duration
	// HeadroomOpen allows all requests to use the headroom.
	HeadroomOpen bool
	// LongPrefills is the number of long prefills in progress in the pool.
	LongPrefills int
}

// Choice is the result of Choose.
type Choice struct {
	Endpoint *tracker.Endpoint
	Obstacle Obstacle
	// Busy is an endpoint without capacity at present that caches over minAffinityTokens more of the prompt than the
	// endpoints with capacity, so that it is worth waiting for, or nil.
	Busy *tracker.Endpoint
}

// evaluation is an endpoint with the cost of running a job there.
type evaluation struct {
	endpoint *tracker.Endpoint
	cost     float64
	uncached int
}

// Choose returns the endpoint at which a job is predicted to finish first.
func (p *Placer) Choose(now time.Duration, j Job, c *tracker.Class) Choice {
	var feasible []evaluation
	var busy *tracker.Endpoint
	leastUncached := j.Prompt // uncached tokens at the busy endpoint
	reason := None
	for _, e := range p.candidates(j, c) {
		if j.RequiredOnly && !slices.Contains(j.Required, e) {
			reason = max(reason, NoOtherEndpoint)
			continue
		}
		ev, obstacle := p.evaluate(now, j, e)
		if obstacle == None {
			feasible = append(feasible, ev)
			continue
		}
		reason = max(reason, obstacle)
		if ev.uncached < leastUncached && e.Eligible() && e.Avail.FullyAvailable(now) {
			busy, leastUncached = e, ev.uncached
		}
	}
	choice := Choice{Obstacle: reason}
	if busy != nil && minUncached(j, feasible)-leastUncached > minAffinityTokens {
		choice.Busy = busy
	}
	switch {
	case len(feasible) > 0:
		choice.Endpoint, choice.Obstacle = cheapest(feasible), None
	case reason == None:
		choice.Obstacle = NoRoom
	}
	return choice
}

// candidates returns the least loaded endpoints of a class, those that cache a prefix of the prompt, and those in j.Required.
func (p *Placer) candidates(j Job, c *tracker.Class) []*tracker.Endpoint {
	names := c.Least(make([]string, 0, maxLeastLoaded+maxPrefixHolders), maxLeastLoaded)
	names = p.Prefixes.Holders(names, j.Blocks, maxPrefixHolders)
	list := make([]*tracker.Endpoint, 0, len(names)+len(j.Required))
	for _, name := range names {
		if e := p.Table.Get(name); e != nil && e.Serves(c) {
			list = append(list, e)
		}
	}
	for _, e := range j.Required {
		if e.Serves(c) && !slices.Contains(list, e) {
			list = append(list, e)
		}
	}
	return list
}

// minUncached returns the smallest number of prompt tokens that any of the feasible endpoints has to process.
func minUncached(j Job, feasible []evaluation) int {
	least := j.Prompt
	for _, ev := range feasible {
		least = min(least, ev.uncached)
	}
	return least
}

// cheapest returns the endpoint with the lowest cost, including the cost of the tokens that it misses of the longest cached
// prefix.
func cheapest(feasible []evaluation) *tracker.Endpoint {
	least := feasible[0].uncached
	for _, ev := range feasible {
		least = min(least, ev.uncached)
	}
	var best evaluation
	for _, ev := range feasible {
		if extra := ev.uncached - least; extra > minAffinityTokens {
			ev.cost += affinityTokenCost * float64(extra)
		}
		if best.endpoint == nil || ev.cost < best.cost {
			best = ev
		}
	}
	return best.endpoint
}

// Fits reports whether an endpoint can take a job now.
func (p *Placer) Fits(now time.Duration, j Job, e *tracker.Endpoint) bool {
	_, obstacle := p.evaluate(now, j, e)
	return obstacle == None
}

// evaluate returns the cost of a job at an endpoint, or the obstacle to running it there.
func (p *Placer) evaluate(now time.Duration, j Job, e *tracker.Endpoint) (evaluation, Obstacle) {
	ev := evaluation{endpoint: e, uncached: p.Uncached(j, e)}
	share, probe := p.Table.UsableShare(now, e, j.Urgent)
	headroom := 0.0
	switch {
	case j.Urgent || p.HeadroomOpen:
		headroom = 1
	case j.Prompt-ev.uncached >= minAffinityTokens:
		headroom = affinityHeadroomShare
	}
	own, _ := e.Limit.Used()
	switch {
	case share <= 0, !e.Fits(j.Tokens, share, headroom), probe && own > 0:
		return ev, NoRoom
	case probe && j.Tokens > probeTokens && e.Avail.ProbingFor(now) < smallProbeTimeout:
		return ev, NoProbe
	}
	if probe && (j.Urgent || j.NonRepeatable) {
		ev.cost = probePenalty
	}
	if j.PlainService {
		ev.cost += e.Load()
		return ev, None
	}
	if !p.prefillFits(j, e, ev.uncached) {
		return ev, NoPrefillRoom
	}
	ev.cost += Cost(candidate(j, e, ev.uncached), j.Output, j.Urgent)
	return ev, None
}

func candidate(j Job, e *tracker.Endpoint, uncached int) Candidate {
	return Candidate{
		PendingPrefill: e.PendingTokens,
		PrefillRate:    e.Speed.Prefill(),
		Gap:            e.Speed.Gap(),
		Load:           e.Load(),
		OtherZone:      e.Zone != j.Zone,
		Uncached:       uncached,
	}
}

// FirstToken returns the predicted time to the first token of a job at an endpoint.
func (p *Placer) FirstToken(j Job, e *tracker.Endpoint) time.Duration {
	if j.PlainService {
		return 0
	}
	return candidate(j, e, p.Uncached(j, e)).FirstToken()
}

// Uncached returns the number of prompt tokens that the endpoint has to process.
func (p *Placer) Uncached(j Job, e *tracker.Endpoint) int {
	n := len(j.Blocks)
	switch {
	case j.PlainService:
		return 0
	case n == 0:
		return j.Prompt
	}
	cached := p.Prefixes.Match(e.Name, j.Blocks)
	return max(j.Prompt-j.Prompt*cached/n, 1)
}

// IsLongPrefill reports whether processing uncached prompt tokens at an endpoint counts as a long prefill.
func (p *Placer) IsLongPrefill(e *tracker.Endpoint, uncached int) bool {
	return float64(e.Prefill(uncached)) > longPrefillShare*float64(p.Target)
}

// prefillFits reports whether the prompts queued at an endpoint leave time for another one. It bounds them so that they don't
// delay first tokens beyond the target.
func (p *Placer) prefillFits(j Job, e *tracker.Endpoint, uncached int) bool {
	if !j.Urgent && p.IsLongPrefill(e, uncached) && (e.LongPrefills > 0 || p.LongPrefills >= p.maxLongPrefills()) {
		return false
	}
	if e.PendingTokens == 0 {
		return true
	}
	share := normalQueueShare
	if j.Urgent || p.HeadroomOpen {
		share = urgentQueueShare
	}
	return float64(e.Prefill(e.PendingTokens+uncached)) <= share*float64(p.Target)
}

// maxLongPrefills returns the largest number of concurrent long prefills in the pool.
func (p *Placer) maxLongPrefills() int {
	return max(1, int(longPrefillEndpoints*float64(len(p.Table.All()))))
}
