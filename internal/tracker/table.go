package tracker

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/ejector"
	"github.com/dragonflycroft/dragonflycroft/internal/estimator"
	"github.com/dragonflycroft/dragonflycroft/internal/limiter"
	"github.com/dragonflycroft/dragonflycroft/internal/ranker"
)

const (
	// maxListAge is the age beyond which a host list no longer makes an endpoint available.
	maxListAge = 10 * time.Second
	// warmupFraction is the fraction of each endpoint's limit that urgent requests may use until the grants of the previous
	// holder have expired.
	warmupFraction = 0.1
	// headroomPenalty is added to the score of endpoints that have only headroom left, so that they rank behind all others.
	headroomPenalty = 1e6
	// pendingWeight is the weight of a second of pending prefill in the score, relative to the used fraction of the limit.
	pendingWeight = 4
	// nominalTokens is the size of a request that must fit for an endpoint to be ranked.
	nominalTokens        = 64
	defaultMaxConcurrent = 8
)

// Class is a model and adapter with a ranking of the endpoints that serve it.
type Class struct {
	Model, Adapter string
	members        int
	ranking        *ranking
}

// Least appends the names of the k least loaded endpoints with room to dst.
func (c *Class) Least(dst []string, k int) []string { return c.ranking.least(dst, k) }

// Table holds the endpoints of a pool.
type Table struct {
	pool      configurer.Pool
	targets   limiter.Targets
	byName    map[string]*Endpoint
	order     []*Endpoint // by name
	byClass   map[classKey]*Class
	classes   []*Class
	listed    bool // a host list has been applied
	listedAt  time.Duration
	warmingUp bool
	changes   *ranker.Heap[availabilityChange]
	outliers  *ejector.OutlierDetector
}

type classKey struct{ model, adapter string }

// availabilityChange is a time at which the availability of an endpoint changes without an event.
type availabilityChange struct {
	at       time.Duration
	endpoint *Endpoint
}

// New returns an empty table. Until EndWarmup, endpoints take only a few urgent requests.
func New() *Table {
	return &Table{
		byName: make(map[string]*Endpoint), byClass: make(map[classKey]*Class), warmingUp: true,
		outliers: ejector.NewOutlierDetector(),
		changes: ranker.New(func(a, b availabilityChange) bool {
			return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.endpoint.Name, b.endpoint.Name)) < 0
		}),
	}
}

// All returns the endpoints sorted by name. The slice must not be modified.
func (t *Table) All() []*Endpoint { return t.order }

// Get returns an endpoint, or nil if the table does not have it.
func (t *Table) Get(name string) *Endpoint { return t.byName[name] }

// GetOrAdd returns an endpoint and adds it if necessary. An endpoint that is not configured takes no work; its runs are counted.
func (t *Table) GetOrAdd(name string) *Endpoint {
	if e := t.byName[name]; e != nil {
		return e
	}
	e := &Endpoint{
		Endpoint: configurer.Endpoint{Name: name},
		Limit:    limiter.New(t.targets, Headroom),
		Speed:    estimator.NewSpeed(),
		listed:   !t.listed, // before the first host list, only the configuration decides
	}
	t.byName[name] = e
	at, _ := slices.BinarySearchFunc(t.order, name, func(e *Endpoint, n string) int { return cmp.Compare(e.Name, n) })
	t.order = slices.Insert(t.order, at, e)
	return e
}

// Configure applies the configuration of a pool. Endpoints that are no longer configured stay in the table while keep returns
// true for them; the others are removed and returned.
func (t *Table) Configure(
	now time.Duration, pool configurer.Pool, list []configurer.Endpoint, targets limiter.Targets, keep func(*Endpoint) bool,
) (removed []*Endpoint) {
	t.pool, t.targets = pool, targets
	for _, e := range t.order {
		e.configured = false
		t.unrank(e)
		e.classes = nil
	}
	for _, cfg := range list {
		if cfg.Pool == pool.Name {
			e := t.GetOrAdd(cfg.Name)
			e.Endpoint, e.configured = cfg, true
		}
	}
	t.order = slices.DeleteFunc(t.order, func(e *Endpoint) bool {
		if e.configured || keep(e) {
			t.setLimit(e)
			return false
		}
		delete(t.byName, e.Name)
		removed = append(removed, e)
		return true
	})
	for _, c := range t.classes {
		c.members = 0
		for _, e := range t.order {
			t.addToClass(now, e, c)
		}
	}
	return removed
}

func (t *Table) setLimit(e *Endpoint) {
	e.Limit.SetTargets(t.targets)
	if t.pool.Kind != configurer.KindService {
		return
	}
	n := e.MaxConcurrent
	if n <= 0 {
		n = defaultMaxConcurrent
	}
	e.Limit.SetFixed(n)
}

// Class returns the class of a model and adapter, or nil if no configured endpoint serves it; created is true if the class is
// new. A pool of a plain service has one class.
func (t *Table) Class(now time.Duration, model, adapter string) (c *Class, created bool) {
	key := classKey{model, adapter}
	if t.pool.Kind == configurer.KindService {
		key = classKey{}
	}
	c = t.byClass[key]
	if c == nil {
		c = &Class{Model: key.model, Adapter: key.adapter, ranking: newRanking()}
		for _, e := range t.order {
			t.addToClass(now, e, c)
		}
		// Only classes of served models are kept, since callers may request arbitrary names.
		if c.members > 0 {
			t.byClass[key] = c
			t.classes = append(t.classes, c)
			created = true
		}
	}
	if c.members == 0 {
		return nil, false
	}
	return c, created
}

func (t *Table) addToClass(now time.Duration, e *Endpoint, c *Class) {
	if !e.configured || !t.servesModel(e, c) {
		return
	}
	c.members++
	e.classes = append(e.classes, c)
	t.UpdateRank(now, e)
}

func (t *Table) servesModel(e *Endpoint, c *Class) bool {
	if t.pool.Kind == configurer.KindService {
		return true
	}
	models := e.Models
	if len(models) == 0 {
		models = t.pool.Models
	}
	return (c.Model == "" || slices.Contains(models, c.Model)) &&
		(c.Adapter == "" || slices.Contains(e.Adapters, c.Adapter))
}

// Serves reports whether the endpoint is configured for the class.
func (e *Endpoint) Serves(c *Class) bool { return slices.Contains(e.classes, c) }

// UsableShare returns the usable fraction of an endpoint's limit, and whether the endpoint takes only a probe.
func (t *Table) UsableShare(now time.Duration, e *Endpoint, urgent bool) (part float64, probe bool) {
	if !e.Eligible() || e.Reserved || t.warmingUp && !urgent {
		return 0, false
	}
	part, probe = e.Avail.UsableShare(now)
	if t.warmingUp {
		part *= warmupFraction
	}
	return part, probe
}

// WarmingUp reports whether endpoints are still limited because grants of the previous holder may be valid.
func (t *Table) WarmingUp() bool { return t.warmingUp }

// EndWarmup makes the endpoints available to all requests within their full limits.
func (t *Table) EndWarmup(now time.Duration) {
	if !t.warmingUp {
		return
	}
	t.warmingUp = false
	for _, e := range t.order {
		t.UpdateRank(now, e)
	}
}

// UpdateRank updates the score of an endpoint in the rankings of its classes, or removes it if it has no room. It must be called
// after any change of the endpoint's state.
func (t *Table) UpdateRank(now time.Duration, e *Endpoint) {
	t.scheduleRank(now, e)
	part, probe := t.UsableShare(now, e, true)
	own, _ := e.Limit.Used()
	if part <= 0 || !e.Fits(nominalTokens, part, 1) || probe && own > 0 {
		t.unrank(e)
		return
	}
	score := e.Load()/part + pendingWeight*e.Prefill(e.PendingTokens).Seconds() + nominalTokens*e.Speed.Gap().Seconds()
	if !e.Fits(nominalTokens, part, 0) {
		score += headroomPenalty
	}
	for _, c := range e.classes {
		c.ranking.set(e.Name, score)
	}
}

func (t *Table) unrank(e *Endpoint) {
	for _, c := range e.classes {
		c.ranking.remove(e.Name)
	}
}

// scheduleRank schedules the next time at which the availability changes without an event, unless an earlier one is scheduled.
func (t *Table) scheduleRank(now time.Duration, e *Endpoint) {
	at, ok := e.Avail.NextChange(now)
	if !ok || e.nextChange > now && e.nextChange <= at {
		return
	}
	e.nextChange = at
	t.changes.Push(availabilityChange{at, e})
}

// Advance updates the ranks of the endpoints whose scheduled availability changes are due.
func (t *Table) Advance(now time.Duration) {
	for n := t.changes.Min(); n != nil && n.Value.at <= now; n = t.changes.Min() {
		t.changes.Remove(n)
		if e := n.Value.endpoint; t.byName[e.Name] == e {
			t.UpdateRank(now, e)
		}
	}
}

// ApplyHostList applies the platform's host list and returns the endpoints that it no longer contains. A list older than
// maxListAge only removes endpoints, and a list made before the last one only marks endpoints as leaving.
func (t *Table) ApplyHostList(now, age time.Duration, live, leaving []string) (removed []*Endpoint) {
	at := now - max(age, 0)
	newer := !t.listed || at >= t.listedAt
	fresh := newer && age <= maxListAge
	isLive, isLeaving := toSet(live), toSet(leaving)
	for _, e := range t.order {
		present := isLive[e.Name] || isLeaving[e.Name]
		if isLeaving[e.Name] {
			e.leaving = true
		} else if fresh {
			e.leaving = false
		}
		switch {
		case !present && e.listed && newer:
			e.listed = false
			removed = append(removed, e)
		case present && fresh:
			e.listed = true
		}
		t.UpdateRank(now, e)
	}
	if newer {
		t.listed, t.listedAt = true, at
	}
	return removed
}

func toSet(names []string) map[string]bool {
	m := make(map[string]bool, len(names))
	for _, n := range names {
		m[n] = true
	}
	return m
}

// ApplyLoadReport applies a load report.
func (t *Table) ApplyLoadReport(now, age time.Duration, name string, running, waiting int) {
	if e := t.byName[name]; e != nil {
		e.report(now, age, running, waiting)
		t.UpdateRank(now, e)
	}
}

// Ejection is an endpoint that EjectUnhealthy has made unavailable, with the reason.
type Ejection struct{ Endpoint, Reason string }

// EjectUnhealthy makes endpoints unavailable for a time if they make no progress or are slower than their peers. At most the
// fraction maxShare of the endpoints is ejected for slowness.
func (t *Table) EjectUnhealthy(now time.Duration, maxShare float64, rng *rand.Rand) []Ejection {
	var out []Ejection
	measures := make([]ejector.Measure, 0, len(t.order))
	for _, e := range t.order {
		if !e.configured {
			continue
		}
		if e.stalled(now) {
			e.LastProgress = now
			e.Avail.RecordFailure(now, false, rng)
			out = append(out, Ejection{e.Name, "no progress"})
			t.UpdateRank(now, e)
		}
		measures = append(measures, e.measure(now))
	}
	for _, name := range t.outliers.Detect(measures, maxShare) {
		e := t.byName[name]
		d := e.Avail.Eject(now)
		out = append(out, Ejection{name, fmt.Sprintf("slower than its peers, out for %s", d)})
		t.UpdateRank(now, e)
	}
	return out
}
