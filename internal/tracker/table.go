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
	// maxListAge is the age from which a host list brings no endpoint back.
	maxListAge = 10 * time.Second
	// warmPart is the part of each endpoint's bound that urgent work may use before the old holder's grants expire.
	warmPart = 0.1
	// headroomRank sorts endpoints that have headroom only behind all others.
	headroomRank = 1e6
	// pendingRank weighs seconds of queued prompts against the used part of the bound.
	pendingRank = 4
	// nominalTokens is the size of request for which an endpoint counts as having room.
	nominalTokens     = 64
	defaultConcurrent = 8
)

// Class is a model and adapter with the endpoints that serve it.
type Class struct {
	Model, Adapter string
	members        int
	ranking        *ranking
}

// Least appends the k endpoints with room that are least loaded to dst.
func (c *Class) Least(dst []string, k int) []string { return c.ranking.least(dst, k) }

// Table holds the endpoints of a pool.
type Table struct {
	pool     configurer.Pool
	targets  limiter.Targets
	byName   map[string]*Endpoint
	order    []*Endpoint // by name
	byClass  map[classKey]*Class
	classes  []*Class
	listed   bool // a host list has arrived
	listedAt time.Duration
	warm     bool
	wakes    *ranker.Heap[wake]
	outliers *ejector.Outliers
}

type classKey struct{ model, adapter string }

// wake is a time at which the availability of an endpoint changes by itself.
type wake struct {
	at       time.Duration
	endpoint *Endpoint
}

// New returns an empty table. Until EndWarmup, endpoints take a little urgent work only.
func New() *Table {
	return &Table{
		byName: make(map[string]*Endpoint), byClass: make(map[classKey]*Class), warm: true,
		outliers: ejector.NewOutliers(),
		wakes: ranker.New(func(a, b wake) bool {
			return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.endpoint.Name, b.endpoint.Name)) < 0
		}),
	}
}

// All returns the endpoints in the order of their names. The slice must not be changed.
func (t *Table) All() []*Endpoint { return t.order }

// Get returns an endpoint, or nil when it is not known.
func (t *Table) Get(name string) *Endpoint { return t.byName[name] }

// Ensure returns an endpoint. One that is not configured is accounted for and takes no work.
func (t *Table) Ensure(name string) *Endpoint {
	if e := t.byName[name]; e != nil {
		return e
	}
	e := &Endpoint{
		Endpoint: configurer.Endpoint{Name: name},
		Limit:    limiter.New(t.targets, Headroom),
		Speed:    estimator.NewSpeed(),
		listed:   !t.listed, // before the first list, the configuration alone counts
	}
	t.byName[name] = e
	at, _ := slices.BinarySearchFunc(t.order, name, func(e *Endpoint, n string) int { return cmp.Compare(e.Name, n) })
	t.order = slices.Insert(t.order, at, e)
	return e
}

// Configure applies the endpoints of a pool. Endpoints that are no longer configured are kept while keep says so; the
// others are removed and returned.
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
			e := t.Ensure(cfg.Name)
			e.Endpoint, e.configured = cfg, true
		}
	}
	t.order = slices.DeleteFunc(t.order, func(e *Endpoint) bool {
		if e.configured || keep(e) {
			t.limit(e)
			return false
		}
		delete(t.byName, e.Name)
		removed = append(removed, e)
		return true
	})
	for _, c := range t.classes {
		c.members = 0
		for _, e := range t.order {
			t.join(now, e, c)
		}
	}
	return removed
}

func (t *Table) limit(e *Endpoint) {
	e.Limit.SetTargets(t.targets)
	if t.pool.Kind != configurer.KindService {
		return
	}
	n := e.MaxConcurrent
	if n <= 0 {
		n = defaultConcurrent
	}
	e.Limit.Fix(n)
}

// Class returns the class of a model and adapter, or nil when no configured endpoint serves it; created is true when it is
// new. A service pool has one class.
func (t *Table) Class(now time.Duration, model, adapter string) (c *Class, created bool) {
	key := classKey{model, adapter}
	if t.pool.Kind == configurer.KindService {
		key = classKey{}
	}
	c = t.byClass[key]
	if c == nil {
		c = &Class{Model: key.model, Adapter: key.adapter, ranking: newRanking()}
		for _, e := range t.order {
			t.join(now, e, c)
		}
		// Classes are kept for served models only, since callers may ask for any name.
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

func (t *Table) join(now time.Duration, e *Endpoint, c *Class) {
	if !e.configured || !t.servesModel(e, c) {
		return
	}
	c.members++
	e.classes = append(e.classes, c)
	t.Rank(now, e)
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

// Part returns the usable part of an endpoint's bound, and whether the endpoint takes a probe only.
func (t *Table) Part(now time.Duration, e *Endpoint, urgent bool) (part float64, probe bool) {
	if !e.Eligible() || e.Alone || t.warm && !urgent {
		return 0, false
	}
	part, probe = e.Avail.Part(now)
	if t.warm {
		part *= warmPart
	}
	return part, probe
}

// Warm reports whether the table still allows for grants of an earlier holder.
func (t *Table) Warm() bool { return t.warm }

// EndWarmup lets all work use the endpoints.
func (t *Table) EndWarmup(now time.Duration) {
	if !t.warm {
		return
	}
	t.warm = false
	for _, e := range t.order {
		t.Rank(now, e)
	}
}

// Rank places an endpoint in the rankings of its classes. It is called after any change of the endpoint's state.
func (t *Table) Rank(now time.Duration, e *Endpoint) {
	t.schedule(now, e)
	part, probe := t.Part(now, e, true)
	own, _ := e.Limit.Used()
	if part <= 0 || !e.Fits(nominalTokens, part, 1) || probe && own > 0 {
		t.unrank(e)
		return
	}
	score := e.Load()/part + pendingRank*e.Prefill(e.Pending).Seconds() + nominalTokens*e.Speed.Gap().Seconds()
	if !e.Fits(nominalTokens, part, 0) {
		score += headroomRank
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

// schedule notes the next time at which the availability changes by itself.
func (t *Table) schedule(now time.Duration, e *Endpoint) {
	at, ok := e.Avail.Next(now)
	if !ok || e.wakeAt > now && e.wakeAt <= at {
		return
	}
	e.wakeAt = at
	t.wakes.Push(wake{at, e})
}

// Advance ranks the endpoints whose availability has changed by itself.
func (t *Table) Advance(now time.Duration) {
	for n := t.wakes.Min(); n != nil && n.Value.at <= now; n = t.wakes.Min() {
		t.wakes.Remove(n)
		if e := n.Value.endpoint; t.byName[e.Name] == e {
			t.Rank(now, e)
		}
	}
}

// List applies the platform's host list and returns the endpoints that it no longer names. A list beyond the age limit only
// takes endpoints away, and one made before the last one only tells which are leaving.
func (t *Table) List(now, age time.Duration, live, leaving []string) (vanished []*Endpoint) {
	at := now - max(age, 0)
	newer := !t.listed || at >= t.listedAt
	fresh := newer && age <= maxListAge
	isLive, isLeaving := set(live), set(leaving)
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
			vanished = append(vanished, e)
		case present && fresh:
			e.listed = true
		}
		t.Rank(now, e)
	}
	if newer {
		t.listed, t.listedAt = true, at
	}
	return vanished
}

func set(names []string) map[string]bool {
	m := make(map[string]bool, len(names))
	for _, n := range names {
		m[n] = true
	}
	return m
}

// Report applies a load report.
func (t *Table) Report(now, age time.Duration, name string, running, waiting int) {
	if e := t.byName[name]; e != nil {
		e.report(now, age, running, waiting)
		t.Rank(now, e)
	}
}

// Ejection is an endpoint that a review has taken out.
type Ejection struct{ Endpoint, Reason string }

// Review takes out endpoints that make no progress or are slower than their peers, the latter within maxShare.
func (t *Table) Review(now time.Duration, maxShare float64, rng *rand.Rand) []Ejection {
	var out []Ejection
	measures := make([]ejector.Measure, 0, len(t.order))
	for _, e := range t.order {
		if !e.configured {
			continue
		}
		if e.stalled(now) {
			e.Progressed = now
			e.Avail.Fail(now, false, rng)
			out = append(out, Ejection{e.Name, "no progress"})
			t.Rank(now, e)
		}
		measures = append(measures, e.measure(now))
	}
	for _, name := range t.outliers.Review(measures, maxShare) {
		e := t.byName[name]
		d := e.Avail.Eject(now)
		out = append(out, Ejection{name, fmt.Sprintf("slower than its peers, out for %s", d)})
		t.Rank(now, e)
	}
	return out
}
