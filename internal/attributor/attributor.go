package attributor

import (
	"expvar"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/evictor"
)

const (
	// minRefusal is the minimum time for which requests with a harmful part are refused. refusalJitter is the largest fraction by
	// which hosts lengthen it, so that they do not all run such a request again at the same time.
	minRefusal    = time.Minute
	refusalJitter = 0.5
	// refusalFactor multiplies the time for each crash beyond certainCrashes, up to maxRefusal.
	refusalFactor = 4
	maxRefusal    = time.Hour
	// trialTimeout is the longest time for which the trial run of a formerly refused part prevents further runs.
	trialTimeout = 15 * time.Second
	// maxKnownParts is the number of parts whose survivals are kept.
	maxKnownParts = 16_384
	// maxPendingEvidence is the number of observations that are kept while no coordinator can be reached.
	maxPendingEvidence = 1024
	// maxRunsPerCrash is the number of runs without a response that one host reports for one crash, the oldest first.
	maxRunsPerCrash = 16
)

var evidenceCounts = expvar.NewMap("attributor_evidence")

// Run is a run that a crash interrupted.
type Run struct {
	Parts     []uint64
	Began, At time.Time
	Answering bool
}

// Tracker collects the evidence of this host and of others, and decides which requests are refused because of a part of their
// prompts. It is not safe for concurrent use.
type Tracker struct {
	rng     *rand.Rand
	refusal time.Duration
	log     Log
	pending []Evidence
	// verdicts are the harmful parts, and trialUntil the times until which a run with such a part prevents others.
	verdicts   map[uint64]Verdict
	trialUntil map[uint64]time.Time
	// explained are the crashes that harmful parts caused.
	explained []*crash
	survived  *evictor.Map[uint64, survivals]
}

// survivals are the runs with a part that this host saw survive.
type survivals struct {
	count int
	last  time.Time
	// reportedAt is the time of the last report of survivals.
	reportedAt time.Time
}

// New returns a Tracker without evidence. Rng sets the jitter of the refusals and the IDs of evidence.
func New(rng *rand.Rand) *Tracker {
	return &Tracker{
		rng: rng, refusal: time.Duration(float64(minRefusal) * (1 + refusalJitter*rng.Float64())),
		trialUntil: map[uint64]time.Time{}, survived: evictor.New[uint64, survivals](maxKnownParts),
	}
}

// Digest returns the digest of the ID of a part.
func Digest(part string) uint64 { return xxhash.Sum64String(part) }

// refusalTime returns how long a part is refused after its last crash.
func (t *Tracker) refusalTime(crashes int) time.Duration {
	refusal := t.refusal
	for range crashes - certainCrashes {
		if refusal *= refusalFactor; refusal >= maxRefusal {
			return maxRefusal
		}
	}
	return refusal
}

// RefusedFor returns how long a request with these parts is still refused; 0 means that it may run.
func (t *Tracker) RefusedFor(now time.Time, parts []uint64) time.Duration {
	left := time.Duration(0)
	if len(t.verdicts) == 0 {
		return left
	}
	for _, part := range parts {
		if v, harmful := t.verdicts[part]; harmful {
			left = max(left, v.LastCrash.Add(t.refusalTime(v.Crashes)).Sub(now), t.trialUntil[part].Sub(now))
		}
	}
	return left
}

// BeginRun returns 0 and starts a run if a request with these parts may run, or returns how long it is still refused.
func (t *Tracker) BeginRun(now time.Time, parts []uint64) time.Duration {
	left := t.RefusedFor(now, parts)
	if left == 0 {
		t.setTrial(parts, now.Add(trialTimeout))
	}
	return left
}

// EndRun ends the trial run of a request, so that the next one may begin.
func (t *Tracker) EndRun(parts []uint64) { t.setTrial(parts, time.Time{}) }

func (t *Tracker) setTrial(parts []uint64, until time.Time) {
	if len(t.verdicts) == 0 {
		return
	}
	for _, part := range parts {
		if _, harmful := t.verdicts[part]; harmful {
			t.trialUntil[part] = until
		}
	}
}

// RecordCrash records the runs that the crash of an endpoint interrupted before they survived.
func (t *Tracker) RecordCrash(now time.Time, endpoint uint64, runs []Run) {
	reported := 0
	for _, r := range runs {
		if len(r.Parts) == 0 || reported == maxRunsPerCrash {
			continue
		}
		reported++
		t.addOwn(now, Evidence{ID: t.rng.Uint64(), Parts: r.Parts, At: r.At, Endpoint: endpoint, Began: r.Began, Answering: r.Answering})
	}
	if reported == 0 {
		return
	}
	t.reportEarlierSurvivals(now)
	t.update(now)
}

// RecordSurvival records that a run was answered in full, or long enough after its first event.
func (t *Tracker) RecordSurvival(now time.Time, parts []uint64) {
	var needed []uint64
	for _, part := range parts {
		s := t.survived.Put(part)
		s.count, s.last = min(s.count+1, maxSurvivalsBefore), now
		if t.log.NeedsSurvivals(part, now) {
			needed, s.reportedAt = append(needed, part), now
		}
	}
	if len(needed) > 0 {
		t.addOwn(now, Evidence{ID: t.rng.Uint64(), Parts: needed, Survived: 1, At: now})
		t.update(now)
	}
}

// Merge merges the evidence of other hosts.
func (t *Tracker) Merge(now time.Time, evidence []Evidence) {
	added := false
	for _, e := range evidence {
		if t.log.Add(now, e) {
			evidenceCounts.Add("told", 1)
			added = true
		}
	}
	if added {
		t.reportEarlierSurvivals(now)
		t.update(now)
	}
}

// addOwn adds evidence of this host.
func (t *Tracker) addOwn(now time.Time, e Evidence) {
	if t.log.Add(now, e) {
		evidenceCounts.Add("seen", 1)
		t.pending = append(t.pending, e)
		t.pending = t.pending[max(0, len(t.pending)-maxPendingEvidence):]
	}
}

// reportEarlierSurvivals adds the survivals that this host saw of parts before they became suspect.
func (t *Tracker) reportEarlierSurvivals(now time.Time) {
	for part := range t.log.partCounts() {
		s := t.survived.Get(part)
		if s == nil || now.Sub(s.reportedAt) <= evidenceRetention || now.Sub(s.last) > evidenceRetention || !t.log.NeedsSurvivals(part, s.last) {
			continue
		}
		s.reportedAt = now
		t.addOwn(now, Evidence{ID: t.rng.Uint64(), Parts: []uint64{part}, Survived: s.count, At: s.last})
	}
}

// update determines the verdicts anew and logs those that have changed.
func (t *Tracker) update(now time.Time) {
	before := t.verdicts
	t.verdicts, t.explained = t.log.attribute()
	for part, v := range t.verdicts {
		if before[part] != v {
			klog.InfoS("attributor: part found harmful", "part_digest", FormatDigest(part), "crashes", v.Crashes, "survivals", t.log.partCounts()[part].survivals(),
				"refused_for", t.RefusedFor(now, []uint64{part}), "evidence", len(t.log.entries))
		}
	}
	for part, v := range before {
		if _, harmful := t.verdicts[part]; !harmful {
			delete(t.trialUntil, part)
			klog.InfoS("attributor: part cleared", "part_digest", FormatDigest(part), "crashes", v.Crashes, "survivals", t.log.partCounts()[part].survivals())
		}
	}
}

// Explains reports whether a harmful part caused the crash of an endpoint that interrupted a run from began to at.
func (t *Tracker) Explains(endpoint uint64, began, at time.Time) bool {
	return slices.ContainsFunc(t.explained, func(c *crash) bool { return c.endpoint == endpoint && c.interrupted(began, at) })
}

// FormatDigest returns a digest in hexadecimal, as it is logged.
func FormatDigest(digest uint64) string { return strconv.FormatUint(digest, 16) }

// Crashes returns the largest number of crashes attributed to one of the parts.
func (t *Tracker) Crashes(parts []uint64) int {
	most := 0
	for _, part := range parts {
		most = max(most, t.verdicts[part].Crashes)
	}
	return most
}

// TakeUpdates returns and removes the pending evidence of this host. If all is true, the result has all recorded evidence.
func (t *Tracker) TakeUpdates(all bool) []Evidence {
	pending := t.pending
	t.pending = nil
	if all {
		pending, _ = t.log.Since(0)
	}
	return pending
}
