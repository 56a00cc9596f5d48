// Package balancer chooses the endpoint of each request by the load in progress. It does no I/O and reads no clock: time and
// events are inputs.
//
// Engines admit requests in order of arrival and ignore tiers. A request that an engine could not start at once therefore waits
// on its host, where a more urgent one can still overtake it.
package balancer

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/cacheestimator"
)

const (
	// promptTokensPerMS is the rate at which an engine of median speed processes a prompt beside running streams, from the rates
	// specified by installations for their engines. Speeds relative to the median are learned.
	promptTokensPerMS = 50
	// promptTokensPerAnswerToken is the number of prompt tokens that cost a fully loaded engine as much time as one output token.
	promptTokensPerAnswerToken = 24
	// firstEventMS is the time from the end of prompt processing to the first event on an engine of median speed.
	firstEventMS = 40
	// maxPromptBacklog is the longest predicted wait for other prompts at which a request is still placed. Beyond it, requests
	// wait on the hosts, in order of tier.
	maxPromptBacklog = 300 * time.Millisecond
	// concurrencyCostMS is the cost of each other request that runs at an engine.
	concurrencyCostMS = 2
	// serviceRequestMS is the time that a plain service takes for a request, and the additional cost of one without free places.
	serviceRequestMS = 30
	// crossZoneCostMS is the cost of an endpoint in another availability zone. It represents the price of cross-zone traffic
	// rather than the latency of about a millisecond: requests stay in their zone unless another one answers much sooner.
	crossZoneCostMS = 80
	// stepMS is the time of one decode step of an engine of median speed, in which each of its streams advances by one token.
	// promptTokenMS is the time that each prompt token adds to the step that processes it, and maxStepPromptTokens is the
	// number of prompt tokens in one step. The figures are those of large models on current accelerators; they only decide
	// which engines are too slow to process a prompt without a noticeable pause of their streams.
	stepMS              = 4.0
	promptTokenMS       = 0.0146
	maxStepPromptTokens = 1024
	// maxGapShare is the share of the longest allowed event gap that a predicted gap may take. The rest covers what the model
	// omits: long contexts, and prompts that other hosts send at the same time.
	maxGapShare = 0.7
	// streamDelayCostMS is the cost of each running stream whose event gaps a prompt would make too long. It is about half of
	// the shortest first-event target.
	streamDelayCostMS = 150
	// maxDeadlineShare is the share of the remaining time beyond which a predicted end counts as late: output lengths are
	// predicted only within a factor of two.
	maxDeadlineShare = 0.6
	// deadlineCostMS is the cost of an end predicted exactly at the deadline.
	deadlineCostMS = 2000
	// maxMemoryShare is the share of an engine's memory that placed requests may fill. The rest covers longer answers.
	maxMemoryShare = 0.9
	// serviceQueueFactor bounds the requests at a plain service, running or queued, per place: their work is short, and an idle
	// place costs more than the wait.
	serviceQueueFactor = 1.5
	// cachedPromptWeight weights the additional benefit of cached prompt tokens: the saved processing time benefits not only
	// this request but all streams of the engine.
	cachedPromptWeight = 1
	// failurePenaltyMS is the cost of an endpoint whose recent answers all failed. The cost grows with the square of the failure
	// rate, since a single failure must not divert the work of an availability zone for long.
	failurePenaltyMS = 4000
	// failureWeight is the weight of the newest outcome in the failure rate, a moving average.
	failureWeight = 0.25
	// failureHalfLife is the time in which the failure rate of an endpoint halves without new outcomes.
	failureHalfLife = 2 * time.Second
	// minBackoff and maxBackoff bound the time for which an endpoint gets no work after a failed connect, and
	// maxBackoffDoublings the exponent. A restart of an endpoint takes seconds.
	minBackoff          = 100 * time.Millisecond
	maxBackoff          = time.Second
	maxBackoffDoublings = 4
	// replacedTimeout is how long an endpoint is excluded after another one has answered at its address. The endpoint list drops
	// it within that time.
	replacedTimeout = 10 * time.Second
	// paceWeight is the weight of the newest stream in the learned pace, a moving average.
	paceWeight = 0.2
)

// Endpoint is one member of a pool.
type Endpoint struct {
	ID      string
	Addr    string
	Zone    string
	Pool    string
	Slots   int
	Leaving bool
	// LeavingSince is the time at which the list began to show the endpoint as leaving; zero if it is not known or not leaving. It
	// counts where the endpoint is new to a balancer.
	LeavingSince time.Time
	// Engine is true for model engines and false for plain services.
	Engine bool
	// MemoryTokens is the size of an engine's memory in tokens; 0 if unknown.
	MemoryTokens int
	// Version is the version of the endpoint's software; empty if the list states none.
	Version string
}

// Work is the demand of a request. The token counts are 0 for plain services.
type Work struct {
	Prompt int
	// Output is the expected number of output tokens.
	Output int
	// Parts are the parts of the prompt, in order. Other prompts may share a prefix of them.
	Parts []cacheestimator.Part
	// Zone is the availability zone of the requesting host; empty means the balancer's own zone.
	Zone string
	// TokensPerEvent is the number of tokens in each event of the answer.
	TokensPerEvent int
	// Deadline is the time after which the answer is useless; zero means none.
	Deadline time.Time
	// EventGap is the longest allowed pause between two events of streams of this kind of work; 0 means no bound.
	EventGap time.Duration
	// Bound is true if the work continues a stream, which only endpoints of the software version Version may do.
	Bound   bool
	Version string
}

// fits reports whether an endpoint may take the work: the events of two software versions do not fit into one stream.
func (w Work) fits(e *endpoint) bool { return !w.Bound || e.Version == w.Version }

// SizeClass returns the class of the expected time that the work holds a place; each class is about twice as long as the
// previous one.
func (w Work) SizeClass() int {
	return bits.Len(uint(w.Output + w.Prompt/promptTokensPerAnswerToken))
}

// events returns the expected number of events of the answer.
func (w Work) events() float64 { return float64(w.Output) / float64(max(w.TokensPerEvent, 1)) }

// load is the load of this balancer's requests at an endpoint, and the learned pace of their streams.
type load struct {
	Running int
	// PromptBacklog is the number of prompt tokens of running requests without a first event.
	PromptBacklog int
	// Memory is the number of tokens that the running requests occupy or will occupy.
	Memory int
	// Pace is the learned time between two events in milliseconds, or 0.
	Pace float64
}

type endpoint struct {
	Endpoint
	load          load
	prefixCache   *cacheestimator.PrefixCache
	paceCount     int
	failureRate   float64
	failureRateAt time.Time
	// unavailableUntil is the time before which the endpoint gets no work, and failedConnects the number of consecutive failed
	// connects.
	unavailableUntil time.Time
	failedConnects   int
	// statedPercent is the newest work time reported by the endpoint, in percent of the usual time, and statedMean the moving
	// average of these reports.
	statedPercent, statedMean float64
	statedAt                  time.Time
	// announcedLeaving is true once the endpoint itself has announced that it leaves, and heldUntil is the time before which it
	// accepts nothing from this host.
	announcedLeaving bool
	heldUntil        time.Time
	// leavingSince is the time from which the endpoint is known to leave; zero if it was already leaving when it first appeared in the
	// list.
	leavingSince time.Time
	// responses is the number of events and complete responses that the endpoint has sent.
	responses uint64
	// permits is the limit that the endpoint states, or nil.
	permits *permits
	// brittleUntil is the time until which the endpoint counts as brittle, and room what its rejections show.
	brittleUntil time.Time
	room         learnedRoom
}

// Balancer holds the endpoints of all pools. It is not safe for concurrent use.
type Balancer struct {
	// Zone is the availability zone of this host.
	Zone string
	// AvoidLimited excludes endpoints with a limit while others of their pool have none. Hosts that place work beside others set it,
	// because they do not know how much of the limit the others use.
	AvoidLimited bool

	// share is the part of each limit that this balancer may use; 0 means all of it.
	share      float64
	endpoints  map[string]*endpoint
	pools      map[string][]*endpoint
	medianPace map[string]float64
	// medianStated is the median of the endpoints' statedMean, by pool.
	medianStated map[string]float64
	// candidates is a scratch buffer of Pick.
	candidates []Choice
	// limits are the limits that endpoints state, by ID. They may include endpoints that are not in the list yet.
	limits map[string]*permits
	// notices are the announcements of endpoints. They are kept while an endpoint is temporarily missing from the list.
	notices map[instanceKey]notice
	// versionShares are the shares of software versions, by pool.
	versionShares map[string]*versionShare
}

// New returns an empty balancer for a host in an availability zone.
func New(zone string) *Balancer {
	return &Balancer{
		Zone: zone, endpoints: map[string]*endpoint{}, pools: map[string][]*endpoint{},
		medianPace: map[string]float64{}, medianStated: map[string]float64{}, notices: map[instanceKey]notice{},
		limits: map[string]*permits{},
	}
}

// SetEndpoints replaces the set of endpoints. The state of endpoints that keep their id and address is retained.
func (b *Balancer) SetEndpoints(now time.Time, list []Endpoint) {
	next := make(map[string]*endpoint, len(list))
	pools := map[string][]*endpoint{}
	for _, e := range list {
		known := b.endpoints[e.ID]
		if known == nil || known.Addr != e.Addr {
			known = &endpoint{prefixCache: cacheestimator.New()}
			n := b.notices[instanceKey{id: e.ID, addr: e.Addr}]
			known.announcedLeaving, known.heldUntil, known.permits = !n.leavingSince.IsZero(), n.heldUntil, b.limits[e.ID]
			known.Leaving, known.leavingSince = e.Leaving, n.leavingSince
			if known.leavingSince.IsZero() {
				known.leavingSince = e.LeavingSince
			}
		}
		was := known.isLeaving()
		known.Endpoint = e
		known.recordLeaving(now, was)
		next[e.ID] = known
		pools[e.Pool] = append(pools[e.Pool], known)
	}
	for _, members := range pools {
		slices.SortFunc(members, func(x, y *endpoint) int { return cmp.Compare(x.ID, y.ID) })
	}
	b.endpoints, b.pools = next, pools
	for pool := range pools {
		b.updateMedians(pool)
	}
}

// Endpoint returns an endpoint by id.
func (b *Balancer) Endpoint(id string) (Endpoint, bool) {
	if e, ok := b.endpoints[id]; ok {
		return e.Endpoint, true
	}
	return Endpoint{}, false
}

// Choice is a chosen endpoint with the figures that the choice was based on.
type Choice struct {
	Endpoint Endpoint
	// Cost is the predicted time to the first event plus penalties, in milliseconds.
	Cost          float64
	Running       int
	PromptBacklog int
	// The number of prompt tokens expected to be cached in the engine's memory.
	CachedTokens int
	// PlacedBy is the address of the coordinator that made the choice; empty if this host made it.
	PlacedBy string
	// LeftZone is true if the coordinator of the request's availability zone has sent it to another zone, where it waits less.
	LeftZone bool
	// End is the predicted time to the last event.
	End time.Duration
	// delaysStreams is true if the running streams would pause for too long while the prompt is processed.
	delaysStreams bool
}

// Pick returns the endpoint with the lowest cost for a piece of work, or false if the work should wait. Endpoints for which
// except returns true are excluded.
//
// If any endpoint of the pool that may take the work, busy or not, is predicted to finish the work before its deadline, or could process its prompt
// without a long pause of its streams, the work waits for such an endpoint rather than miss its deadline or delay the streams
// of a slow one.
func (b *Balancer) Pick(now time.Time, pool string, w Work, except func(id string) bool) (Choice, bool) {
	members := b.pools[pool]
	if !slices.ContainsFunc(members, func(e *endpoint) bool { return b.available(now, e, w) && b.hasRoom(now, e, w) }) {
		// Fast path: under overload, usually no endpoint has room.
		return Choice{}, false
	}
	left, bounded := w.Deadline.Sub(now), !w.Deadline.IsZero() && w.Output > 0
	anyInTime, anyWithoutLongGap := false, false
	candidates := b.candidates[:0]
	for _, e := range members {
		if !b.available(now, e, w) {
			continue
		}
		c := b.evaluate(now, e, w)
		anyInTime = anyInTime || bounded && c.End <= left
		anyWithoutLongGap = anyWithoutLongGap || e.Engine && !b.gapTooLong(b.slowness(e), w.Prompt, w)
		if b.hasRoom(now, e, w) && (except == nil || !except(e.ID)) {
			candidates = append(candidates, c)
		}
	}
	b.candidates = candidates
	candidates = b.dueCandidates(pool, candidates)
	best, found := Choice{Cost: math.Inf(1)}, false
	for _, c := range candidates {
		if anyInTime && c.End > left || anyWithoutLongGap && c.delaysStreams {
			continue
		}
		if c.Cost < best.Cost {
			best, found = c, true
		}
	}
	return best, found
}

// gapTooLong reports whether the streams of an engine would pause for longer than work allows while unread prompt tokens are
// processed. All tokens of an event may fall into steps that process prompt tokens.
func (b *Balancer) gapTooLong(slow float64, unread int, w Work) bool {
	if w.EventGap <= 0 {
		return false
	}
	steps := float64(max(w.TokensPerEvent, 1))
	gap := slow * (steps*stepMS + min(float64(unread), steps*maxStepPromptTokens)*promptTokenMS)
	return gap > maxGapShare*float64(w.EventGap.Milliseconds())
}

// Usable reports whether a pool has any endpoint that may take a piece of work, busy or not, and is not excluded.
func (b *Balancer) Usable(now time.Time, pool string, w Work, except func(id string) bool) bool {
	return slices.ContainsFunc(b.pools[pool], func(e *endpoint) bool {
		return b.open(now, e, w) && (except == nil || !except(e.ID))
	})
}

// UsableZones returns the availability zone of each endpoint for which Usable holds, without those that have rejected this host.
func (b *Balancer) UsableZones(now time.Time, pool string, w Work, except func(id string) bool) []string {
	var out []string
	for _, e := range b.pools[pool] {
		if b.open(now, e, w) && !now.Before(e.heldUntil) && !except(e.ID) {
			out = append(out, e.Zone)
		}
	}
	return out
}

// Places returns the number of taken places and of all places of a pool, without leaving endpoints.
func (b *Balancer) Places(pool string) (taken, all int) {
	for _, e := range b.pools[pool] {
		if !e.isLeaving() {
			taken += min(e.load.Running, e.Slots)
			all += e.Slots
		}
	}
	return taken, all
}

// available reports whether an endpoint may take a piece of work now.
func (b *Balancer) available(now time.Time, e *endpoint, w Work) bool {
	return b.open(now, e, w) && e.accepts(now) && b.freePermits(now, e) > 0 && !b.avoids(e, w) && b.allowsVersion(e)
}

// accepts reports whether an endpoint that is not leaving may take work within its limit. After a failed connect, it is tried by one
// request at a time.
func (e *endpoint) accepts(now time.Time) bool {
	return !now.Before(e.heldUntil) && !now.Before(e.unavailableUntil) && (e.failedConnects == 0 || e.load.Running == 0)
}

func (b *Balancer) evaluate(now time.Time, e *endpoint, w Work) Choice {
	running, unread := e.load.Running, e.load.PromptBacklog
	c, saved := Choice{Endpoint: e.Endpoint, Running: running, PromptBacklog: unread}, 0.0
	if e.Engine {
		c.CachedTokens = min(e.prefixCache.CachedPrefixTokens(w.Parts), w.Prompt)
		uncached := w.Prompt - c.CachedTokens
		slow := b.slowness(e)
		c.Cost = slow * (firstEventMS + float64(unread+uncached)/promptTokensPerMS + concurrencyCostMS*float64(running))
		momentaryCost := c.Cost * (e.momentarySlowness(now) - 1)
		saved = cachedPromptWeight * slow * float64(c.CachedTokens) / promptTokensPerMS
		c.End = time.Duration((c.Cost + w.events()*e.pace()) * float64(time.Millisecond))
		if running > 0 && b.gapTooLong(slow, unread+uncached, w) {
			c.delaysStreams = true
			c.Cost += streamDelayCostMS * float64(running)
		}
		if left := w.Deadline.Sub(now); !w.Deadline.IsZero() && left > 0 {
			c.Cost += deadlineCostMS * max(0, float64(c.End)/float64(left)-maxDeadlineShare) / (1 - maxDeadlineShare)
		}
		c.Cost += momentaryCost
	} else {
		c.Cost = (serviceRequestMS + serviceRequestMS*float64(running)/float64(max(e.Slots, 1))) * e.momentarySlowness(now)
	}
	if zone := cmp.Or(w.Zone, b.Zone); e.Zone != zone {
		c.Cost += crossZoneCostMS
	}
	c.Cost -= saved
	failureRate := e.recentFailureRate(now)
	c.Cost += failurePenaltyMS * failureRate * failureRate
	return c
}

// slowness returns the ratio of the pace of an engine to the median of its pool; 1 while it is not known.
func (b *Balancer) slowness(e *endpoint) float64 {
	poolPace, pace := b.medianPace[e.Pool], e.pace()
	if poolPace == 0 || pace == 0 {
		// Before any stream has ended, use the speeds that endpoints report.
		poolPace, pace = b.medianStated[e.Pool], e.statedMean
	}
	if poolPace == 0 || pace == 0 {
		return 1
	}
	return min(max(pace/poolPace, 0.2), 5)
}

func (e *endpoint) pace() float64 {
	return e.load.Pace
}

// recentFailureRate returns the failure rate, which decays without new outcomes.
func (e *endpoint) recentFailureRate(now time.Time) float64 {
	if e.failureRate == 0 {
		return 0
	}
	return e.failureRate * math.Exp2(-float64(now.Sub(e.failureRateAt))/float64(failureHalfLife))
}

func (b *Balancer) updateMedians(pool string) {
	b.medianPace[pool] = median(b.pools[pool], (*endpoint).pace)
	b.medianStated[pool] = median(b.pools[pool], func(e *endpoint) float64 { return e.statedMean })
}

// Endpoints returns all endpoints.
func (b *Balancer) Endpoints() []Endpoint {
	out := make([]Endpoint, 0, len(b.endpoints))
	for _, e := range b.endpoints {
		out = append(out, e.Endpoint)
	}
	return out
}
