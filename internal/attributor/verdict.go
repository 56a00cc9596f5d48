package attributor

import (
	"cmp"
	"slices"
	"time"
)

const (
	// certainCrashes is the number of crashes after which a part is harmful if it is the only one in all of them, each of its runs
	// had begun to be answered, and none survived. likelyCrashes is the number after which it is harmful if few of its runs survived.
	certainCrashes = 2
	likelyCrashes  = 3
	// manyCrashes is the number after which runs that had not begun to be answered count as much as the others.
	manyCrashes = 5
	// survivalsPerCrash is the number of survivals that outweigh one crash. Hardly any sound run is interrupted between the head of
	// its response and its first event, so few crashes at that moment are evidence against many survivals.
	survivalsPerCrash = 4
	// maxSurvivalsBefore is the largest number of survivals before the first crash of a part that count.
	maxSurvivalsBefore = 6
	// survivalsPerManyCrashes is the number of survivals that outweigh each of many crashes.
	survivalsPerManyCrashes = 6
	// minBlame is the least blame that many crashes put on a part, each. On a host without processor time, more sound runs have not survived yet.
	minBlame = 0.5
	// chanceMargin is the number of survivals beyond those that outweigh many crashes, since the runs of a part that crashes only some
	// endpoints survive in random order.
	chanceMargin = 4
	// survivalMargin is the number of survivals beyond those that outweigh the interrupted runs that are recorded. It covers the crashes of
	// several endpoints at once, which would else outweigh the survivals of sound parts until new ones are reported.
	survivalMargin = 20
	// minRestartTime is the least time between the crash of an endpoint and a run of its next process. Reports between hosts may
	// also be delayed by this time.
	minRestartTime = time.Second
	// outageWindow is the time within which crashes without a response in progress count as one: endpoints that fail together have a common
	// cause. Crashes that one part causes follow its requests, which arrive independently of each other.
	outageWindow = 200 * time.Millisecond
)

// Verdict states that a part of prompts is harmful.
type Verdict struct {
	// Crashes is the number of crashes attributed to the part, and LastCrash the time of the last one.
	Crashes   int
	LastCrash time.Time
}

// crash is one crash of an endpoint, as seen by all hosts together.
type crash struct {
	endpoint uint64
	// began is the latest start, and at the earliest interruption, of the runs that it interrupted.
	began, at time.Time
	// runs and answering are the numbers of runs that it interrupted before they had survived, in all and with a response that had begun.
	runs, answering int
	parts           map[uint64]partRuns
}

// partRuns are the numbers of runs with a part that a crash interrupted.
type partRuns struct{ runs, answering int }

// interrupted reports whether a run at the endpoint was interrupted by this crash, by the times of its start and its interruption. A
// crashed endpoint runs nothing until its process has restarted, possibly under the same name.
func (c *crash) interrupted(began, at time.Time) bool {
	return c.began.Before(at.Add(minRestartTime)) && began.Before(c.at.Add(minRestartTime))
}

// merge adds an interrupted run to the crash.
func (c *crash) merge(e Evidence) {
	if e.Began.After(c.began) {
		c.began = e.Began
	}
	if e.At.Before(c.at) {
		c.at = e.At
	}
	answering := 0
	if e.Answering {
		answering = 1
	}
	c.runs++
	c.answering += answering
	for _, part := range e.Parts {
		known := c.parts[part]
		c.parts[part] = partRuns{known.runs + 1, known.answering + answering}
	}
}

// blame returns how strongly the crash speaks against a part, from 0 to 1: the share of its runs among all that were interrupted, or among
// those whose response had begun, if that is larger. The run that crashes an endpoint begins to be answered, but the first bytes of its
// response may be lost together with the endpoint, so that it can't be told from the runs beside it.
func (c *crash) blame(part uint64) float64 {
	n := c.parts[part]
	blame := float64(n.runs) / float64(c.runs)
	if n.answering > 0 {
		blame = max(blame, float64(n.answering)/float64(c.answering))
	}
	// A prompt may contain a part several times.
	return min(blame, 1)
}

// crashes groups the interrupted runs by crash.
func (l *Log) crashes() []*crash {
	var out []*crash
	byEndpoint := map[uint64][]*crash{}
	for _, e := range l.entries {
		if e.Survived > 0 {
			continue
		}
		known := byEndpoint[e.Endpoint]
		i := slices.IndexFunc(known, func(c *crash) bool { return c.interrupted(e.Began, e.At) })
		if i < 0 {
			c := &crash{endpoint: e.Endpoint, began: e.Began, at: e.At, parts: map[uint64]partRuns{}}
			byEndpoint[e.Endpoint] = append(known, c)
			out, i, known = append(out, c), len(known), byEndpoint[e.Endpoint]
		}
		known[i].merge(e.Evidence)
	}
	slices.SortStableFunc(out, func(a, b *crash) int { return a.at.Compare(b.at) })
	return out
}

// candidate is the evidence against one part.
type candidate struct {
	part uint64
	// crashes are those that interrupted runs with the part, answering those of them that interrupted such a run whose response had begun.
	crashes, answering int
	// single are the crashes, also those that count as one.
	single int
	// blame is the sum of how strongly the crashes speak against the part, and singleBlame that of the single crashes.
	blame, singleBlame float64
	survivals          int
	lastCrash          time.Time
	// outageEnd is the end of the last group of crashes that count as one.
	outageEnd time.Time
}

func (c *candidate) add(k *crash) {
	c.single++
	c.singleBlame += k.blame(c.part)
	if k.parts[c.part].answering > 0 {
		c.answering++
	} else if k.at.Before(c.outageEnd) {
		return
	} else {
		c.outageEnd = k.at.Add(outageWindow)
	}
	c.crashes++
	c.blame += k.blame(c.part)
	c.lastCrash = k.at
}

func (c *candidate) isHarmful() bool {
	if c.crashes < likelyCrashes {
		return c.crashes == certainCrashes && c.answering == certainCrashes && c.survivals == 0
	}
	// The share of waiting runs is weak evidence while the crashes are few.
	// A request that is sent again crashes two endpoints at short intervals, so the single crashes decide whether they are many.
	if c.single < manyCrashes {
		return float64(c.survivals) <= float64(survivalsPerCrash*c.answering)+min(c.blame, float64(c.crashes-c.answering))
	}
	return float64(c.survivals) <= survivalsPerManyCrashes*max(c.singleBlame, minBlame*float64(c.single))+chanceMargin
}

// hasBetterExplanation reports whether another part is in most of the crashes that interrupted runs with the part, and survives more rarely. The
// other one need not have enough crashes for a verdict: a part that many requests share is reported more often than the one that crashes
// endpoints, and once it is refused, no further request brings the evidence that clears it.
func (c *candidate) hasBetterExplanation(crashes []*crash, candidates map[uint64]*candidate) bool {
	together := map[uint64]int{}
	for _, k := range crashes {
		if k.parts[c.part].runs == 0 {
			continue
		}
		for part := range k.parts {
			together[part]++
		}
	}
	for part, n := range together {
		if o := candidates[part]; n >= certainCrashes && 2*n > c.single && o.survivals*c.single < c.survivals*o.single {
			return true
		}
	}
	return false
}

// suspicion returns the weight of the evidence against the part.
func (c *candidate) suspicion() float64 { return survivalsPerCrash*c.blame - float64(c.survivals) }

// Verdicts returns the harmful parts. Each crash has one cause: the crashes that the most suspicious part explains do not count
// against the other parts of the same requests.
func (l *Log) Verdicts() map[uint64]Verdict {
	verdicts, _ := l.attribute()
	return verdicts
}

// attribute returns the harmful parts and the crashes that they explain.
func (l *Log) attribute() (verdicts map[uint64]Verdict, explained []*crash) {
	verdicts = map[uint64]Verdict{}
	counts := l.partCounts()
	for unexplained := l.crashes(); ; {
		worst := worstCandidates(unexplained, counts)
		if len(worst) == 0 {
			return verdicts, explained
		}
		for _, c := range worst {
			verdicts[c.part] = Verdict{Crashes: c.crashes, LastCrash: c.lastCrash}
		}
		unexplained = slices.DeleteFunc(unexplained, func(k *crash) bool {
			if !slices.ContainsFunc(worst, func(c *candidate) bool { return k.parts[c.part].runs > 0 }) {
				return false
			}
			explained = append(explained, k)
			return true
		})
	}
}

// worstCandidates returns the harmful part with the most evidence against it. Parts that the evidence can't tell apart are returned
// together, once they have likelyCrashes crashes.
func worstCandidates(crashes []*crash, counts map[uint64]partCounts) []*candidate {
	candidates := map[uint64]*candidate{}
	for _, k := range crashes {
		for part := range k.parts {
			c := candidates[part]
			if c == nil {
				c = &candidate{part: part, survivals: counts[part].survivals()}
				candidates[part] = c
			}
			c.add(k)
		}
	}
	var worst []*candidate
	for _, c := range candidates {
		if !c.isHarmful() || c.hasBetterExplanation(crashes, candidates) {
			continue
		}
		order := 1
		if len(worst) > 0 {
			order = cmp.Or(cmp.Compare(c.suspicion(), worst[0].suspicion()), cmp.Compare(worst[0].survivals, c.survivals))
		}
		switch order {
		case 1:
			worst = []*candidate{c}
		case 0:
			worst = append(worst, c)
		}
	}
	if len(worst) > 1 && worst[0].crashes < likelyCrashes {
		return nil
	}
	return worst
}
