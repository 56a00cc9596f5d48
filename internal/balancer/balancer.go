// Package balancer chooses the endpoint of each request from what is in progress. It is pure: time and events are inputs.
//
// Engines admit in order of arrival and know no tiers. So a request that an engine could not begin at once stays with its
// host, where a more urgent one can still go first.
package balancer

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/retainer"
)

const (
	// promptTokensPerMS is the rate at which an engine of median speed reads a prompt beside running streams, from the rates
	// that the installations state for their engines. Speeds relative to the median are learned.
	promptTokensPerMS = 50
	// promptTokensPerAnswerToken is the number of prompt tokens that take as much of an engine's time as one token of an
	// answer beside the streams of a full engine.
	promptTokensPerAnswerToken = 24
	// firstEventMS is the time of an engine of median speed from a read prompt to the first event.
	firstEventMS = 40
	// maxBacklog is the longest predicted wait for other prompts that a request is placed behind. A longer queue waits at the
	// hosts, in order of tier.
	maxBacklog = 300 * time.Millisecond
	// crowdMS is the cost of each request that runs beside another one.
	crowdMS = 2
	// plainMS is the time that a plain service takes for a request, and the cost of one whose places are all taken beyond that.
	plainMS = 30
	// zoneMS is the cost of the way to another availability zone. It stands for the price of the bytes between them rather than
	// for the way itself, which takes a millisecond: it keeps requests at home unless another zone answers much sooner.
	zoneMS = 80
	// stepMS is the time of a step of an engine of median speed, in which each of its streams advances by one token, and
	// readMS what each prompt token adds to the step that reads it. At most chunkTokens are read in a step. The figures are
	// those of large models on present accelerators; they decide only which engines are too slow to read a prompt unnoticed.
	stepMS      = 4.0
	readMS      = 0.0146
	chunkTokens = 1024
	// gapShare is the part of the longest allowed pause that a predicted one may take. The rest covers what the model leaves
	// out: long contexts, and prompts that hosts send at the same moment.
	gapShare = 0.7
	// harmMS is the cost of each running stream whose pauses a prompt would make too long. It is about half of the shortest
	// target of a first event.
	harmMS = 150
	// lateShare is the part of the remaining time beyond which a predicted end counts as late: lengths are known only within
	// a factor of two.
	lateShare = 0.6
	// lateMS is the cost of an end predicted at the deadline.
	lateMS = 2000
	// memoryShare is the part of an engine's memory that placed requests may fill. The rest covers longer answers.
	memoryShare = 0.9
	// serviceQueue is the number of requests per place of a plain service that may wait there: their work is short, and an
	// empty place costs more than the wait.
	serviceQueue = 1.5
	// keptWeight is how often the time to read the parts of a prompt counts that an engine keeps, beyond the time that this
	// request saves: all streams of the engine save it.
	keptWeight = 1
	// failurePenaltyMS is the cost of an endpoint all of whose recent answers failed. The cost grows with the square of their
	// rate: a single failure is no reason to send the work of an availability zone elsewhere for long.
	failurePenaltyMS = 4000
	// failureStep is the weight of the newest outcome in the rate of failures.
	failureStep = 0.25
	// failureHalfLife is the time in which an endpoint without new outcomes regains half of its standing.
	failureHalfLife = 2 * time.Second
	// minDown and maxDown bound the time in which an endpoint that refused a connect takes no work. A restart takes seconds.
	minDown      = 100 * time.Millisecond
	maxDown      = time.Second
	maxDownSteps = 4
	// replacedFor is how long an endpoint is left out after another one has answered at its address. The list drops it within
	// that time.
	replacedFor = 10 * time.Second
	// paceStep is the weight of the newest stream in the learned pace.
	paceStep = 0.2
)

// Endpoint is one member of a pool.
type Endpoint struct {
	ID      string
	Addr    string
	Zone    string
	Pool    string
	Slots   int
	Leaving bool
	// Engine is true for model engines.
	Engine bool
	// MemoryTokens is the memory of an engine; 0 if unknown.
	MemoryTokens int
}

// Work is what a request asks of an endpoint. The token counts are 0 for plain services.
type Work struct {
	Prompt int
	// Output is the expected number of answer tokens.
	Output int
	// Parts are the parts of the prompt, which other prompts may share from the front.
	Parts []retainer.Part
	// Zone is the availability zone of the host that asks; empty for the balancer's own.
	Zone string
	// TokensPerEvent is the number of tokens in an event of the answer.
	TokensPerEvent int
	// Deadline is the time after which an answer is of no use.
	Deadline time.Time
	// EventGap is the longest pause between two events that the streams of this kind of work may have; 0 for no bound.
	EventGap time.Duration
}

// SizeClass returns the class of the place time that the work is expected to take; each class takes about twice as long as
// the one before.
func (w Work) SizeClass() int {
	return bits.Len(uint(w.Output + w.Prompt/promptTokensPerAnswerToken))
}

// events returns the expected number of events of the answer.
func (w Work) events() float64 { return float64(w.Output) / float64(max(w.TokensPerEvent, 1)) }

// load is what is in progress at an endpoint.
type load struct {
	Running int
	// Unread is the number of prompt tokens before the first events of the running requests.
	Unread int
	// Memory is the number of tokens that the running requests hold or will hold.
	Memory int
	// Pace is the learned time between two events in milliseconds, or 0.
	Pace float64
}

type endpoint struct {
	Endpoint
	own      load
	memory   *retainer.Memory
	paces    int
	failures float64
	failedAt time.Time
	// downUntil is the time before which the endpoint takes no work, and unreachable the number of failed connects in a row.
	downUntil   time.Time
	unreachable int
	// stated is the newest figure that the endpoint has stated of its speed, and statedMean their mean.
	stated, statedMean float64
	statedAt           time.Time
	// saidLeaving is true once the endpoint itself has said that it leaves, and heldUntil the time before which it wants nothing
	// from this host.
	saidLeaving bool
	heldUntil   time.Time
}

// Balancer holds the endpoints of all pools. It is not safe for concurrent use.
type Balancer struct {
	// Zone is the availability zone of this host.
	Zone string

	endpoints map[string]*endpoint
	pools     map[string][]*endpoint
	typical   map[string]float64
	// statedTypical are the medians of the means of what endpoints state.
	statedTypical map[string]float64
	// candidates is reused by Pick.
	candidates []Choice
	// notices are what endpoints have said of themselves. They outlast a gap in the list.
	notices map[lifetime]notice
}

// New returns an empty balancer of a host in a zone.
func New(zone string) *Balancer {
	return &Balancer{
		Zone: zone, endpoints: map[string]*endpoint{}, pools: map[string][]*endpoint{},
		typical: map[string]float64{}, statedTypical: map[string]float64{}, notices: map[lifetime]notice{},
	}
}

// SetEndpoints replaces the set of endpoints; what is known of those that stay is kept.
func (b *Balancer) SetEndpoints(list []Endpoint) {
	next := make(map[string]*endpoint, len(list))
	pools := map[string][]*endpoint{}
	for _, e := range list {
		known := b.endpoints[e.ID]
		if known == nil || known.Addr != e.Addr {
			known = &endpoint{memory: retainer.New()}
			n := b.notices[lifetime{id: e.ID, addr: e.Addr}]
			known.saidLeaving, known.heldUntil = !n.leftAt.IsZero(), n.heldUntil
		}
		known.Endpoint = e
		next[e.ID] = known
		pools[e.Pool] = append(pools[e.Pool], known)
	}
	for _, members := range pools {
		slices.SortFunc(members, func(x, y *endpoint) int { return cmp.Compare(x.ID, y.ID) })
	}
	b.endpoints, b.pools = next, pools
	for pool := range pools {
		b.learnTypical(pool)
	}
}

// Endpoint returns an endpoint by id.
func (b *Balancer) Endpoint(id string) (Endpoint, bool) {
	if e, ok := b.endpoints[id]; ok {
		return e.Endpoint, true
	}
	return Endpoint{}, false
}

// Choice is an endpoint with the inputs that decided for it.
type Choice struct {
	Endpoint Endpoint
	// Cost is the predicted time to the first event with the penalties, in milliseconds.
	Cost    float64
	Running int
	Unread  int
	// Kept is the number of prompt tokens that are expected in the engine's memory.
	Kept int
	// PlacedBy is the address of the coordinator that has chosen; empty if this host has.
	PlacedBy string
	// End is the predicted time to the last event.
	End time.Duration
	// harms is true if the running streams would pause for too long while the prompt is read.
	harms bool
}

// Pick returns the endpoint at which work is predicted to begin first, or false if it should wait. Endpoints that except
// returns true for are left out.
//
// While some endpoint of the pool, busy or not, is predicted to end the work before its deadline, or could read its prompt
// without a long pause of its streams, the work waits for such an endpoint rather than run in vain or spoil the streams of a slow
// one.
func (b *Balancer) Pick(now time.Time, pool string, w Work, except func(id string) bool) (Choice, bool) {
	members := b.pools[pool]
	if !slices.ContainsFunc(members, func(e *endpoint) bool { return e.usable(now) && b.hasRoom(e, w) }) {
		// In a flood mostly no endpoint has room, and nothing else needs to be known.
		return Choice{}, false
	}
	left, bounded := w.Deadline.Sub(now), !w.Deadline.IsZero() && w.Output > 0
	timely, gentle := false, false
	candidates := b.candidates[:0]
	for _, e := range members {
		if !e.usable(now) {
			continue
		}
		c := b.choice(now, e, w)
		timely = timely || bounded && c.End <= left
		gentle = gentle || e.Engine && !b.gapTooLong(b.slowness(e), w.Prompt, w)
		if b.hasRoom(e, w) && (except == nil || !except(e.ID)) {
			candidates = append(candidates, c)
		}
	}
	b.candidates = candidates
	best, found := Choice{Cost: math.Inf(1)}, false
	for _, c := range candidates {
		if timely && c.End > left || gentle && c.harms {
			continue
		}
		if c.Cost < best.Cost {
			best, found = c, true
		}
	}
	return best, found
}

// Open reports whether some endpoint of a pool could take a small piece of work at this moment.
func (b *Balancer) Open(now time.Time, pool string) bool {
	return slices.ContainsFunc(b.pools[pool], func(e *endpoint) bool { return e.usable(now) && b.hasRoom(e, Work{}) })
}

// Free returns the free places of the endpoints of a pool that may take work.
func (b *Balancer) Free(now time.Time, pool string) int {
	free := 0
	for _, e := range b.pools[pool] {
		if e.usable(now) && b.hasRoom(e, Work{}) {
			free += max(e.Slots, 1) - e.own.Running
		}
	}
	return free
}

// gapTooLong reports whether the streams of an engine would pause for longer than work allows while a number of prompt tokens
// is read. All tokens of an event may fall into steps that read.
func (b *Balancer) gapTooLong(slow float64, unread int, w Work) bool {
	if w.EventGap <= 0 {
		return false
	}
	steps := float64(max(w.TokensPerEvent, 1))
	gap := slow * (steps*stepMS + min(float64(unread), steps*chunkTokens)*readMS)
	return gap > gapShare*float64(w.EventGap.Milliseconds())
}

// Usable reports whether any endpoint of a pool may take work at all.
func (b *Balancer) Usable(pool string, except func(id string) bool) bool {
	return slices.ContainsFunc(b.pools[pool], func(e *endpoint) bool { return !e.leaves() && (except == nil || !except(e.ID)) })
}

// Places returns how many places of a pool are taken, and how many there are.
func (b *Balancer) Places(pool string) (taken, all int) {
	for _, e := range b.pools[pool] {
		if !e.leaves() {
			taken += min(e.own.Running, e.Slots)
			all += e.Slots
		}
	}
	return taken, all
}

// usable reports whether an endpoint may take work at all. One that could not be reached is tried by one request at a time.
func (e *endpoint) usable(now time.Time) bool {
	return !e.leaves() && !now.Before(e.heldUntil) && !now.Before(e.downUntil) && (e.unreachable == 0 || e.own.Running == 0)
}

func (b *Balancer) hasRoom(e *endpoint, w Work) bool {
	running := e.own.Running
	if !e.Engine {
		return float64(running) < serviceQueue*float64(max(e.Slots, 1))
	}
	if running == 0 {
		return true
	}
	if running >= max(e.Slots, 1) {
		return false
	}
	if e.MemoryTokens > 0 && float64(e.own.Memory+w.Prompt+w.Output) > memoryShare*float64(e.MemoryTokens) {
		return false
	}
	unread := float64(e.own.Unread)
	return b.slowness(e)*unread/promptTokensPerMS < float64(maxBacklog.Milliseconds())
}

func (b *Balancer) choice(now time.Time, e *endpoint, w Work) Choice {
	running, unread := e.own.Running, e.own.Unread
	c, saved := Choice{Endpoint: e.Endpoint, Running: running, Unread: unread}, 0.0
	if e.Engine {
		c.Kept = min(e.memory.Kept(w.Parts), w.Prompt)
		read := w.Prompt - c.Kept
		slow := b.slowness(e)
		c.Cost = slow * (firstEventMS + float64(unread+read)/promptTokensPerMS + crowdMS*float64(running))
		first := c.Cost * (e.moment(now) - 1)
		saved = keptWeight * slow * float64(c.Kept) / promptTokensPerMS
		c.End = time.Duration((c.Cost + w.events()*e.pace()) * float64(time.Millisecond))
		if running > 0 && b.gapTooLong(slow, unread+read, w) {
			c.harms = true
			c.Cost += harmMS * float64(running)
		}
		if left := w.Deadline.Sub(now); !w.Deadline.IsZero() && left > 0 {
			c.Cost += lateMS * max(0, float64(c.End)/float64(left)-lateShare) / (1 - lateShare)
		}
		c.Cost += first
	} else {
		c.Cost = (plainMS + plainMS*float64(running)/float64(max(e.Slots, 1))) * e.moment(now)
	}
	if zone := cmp.Or(w.Zone, b.Zone); e.Zone != zone {
		c.Cost += zoneMS
	}
	c.Cost -= saved
	failing := e.failing(now)
	c.Cost += failurePenaltyMS * failing * failing
	return c
}

// slowness relates the pace of an engine to the median of its pool; 1 until it is known.
func (b *Balancer) slowness(e *endpoint) float64 {
	typical, pace := b.typical[e.Pool], e.pace()
	if typical == 0 || pace == 0 {
		// What endpoints state of themselves tells the fast ones from the slow ones before any stream has ended.
		typical, pace = b.statedTypical[e.Pool], e.statedMean
	}
	if typical == 0 || pace == 0 {
		return 1
	}
	return min(max(pace/typical, 0.2), 5)
}

func (e *endpoint) pace() float64 {
	return e.own.Pace
}

// failing returns the rate of recent failures, which fades without new outcomes.
func (e *endpoint) failing(now time.Time) float64 {
	if e.failures == 0 {
		return 0
	}
	return e.failures * math.Exp2(-float64(now.Sub(e.failedAt))/float64(failureHalfLife))
}

func (b *Balancer) learnTypical(pool string) {
	b.typical[pool] = median(b.pools[pool], (*endpoint).pace)
	b.statedTypical[pool] = median(b.pools[pool], func(e *endpoint) float64 { return e.statedMean })
}

// Endpoints returns all endpoints.
func (b *Balancer) Endpoints() []Endpoint {
	out := make([]Endpoint, 0, len(b.endpoints))
	for _, e := range b.endpoints {
		out = append(out, e.Endpoint)
	}
	return out
}
