package placer

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/limiter"
	"github.com/dragonflycroft/dragonflycroft/internal/tracker"
)

// Guards against relying on cache entries after missed events, and against losing entries that events confirm.
func TestPrefixEvents(t *testing.T) {
	p := NewPrefixIndex()
	blocks := []uint64{1, 2, 3, 4}
	p.RecordDispatch("e", blocks)
	if got := p.Match("e", blocks); got != 4 {
		t.Errorf("%d blocks match after a dispatch and no events, want 4", got)
	}
	p.ApplyEvent("e", 1, []uint64{1, 2, 3, 4}, nil)
	p.ApplyEvent("e", 2, nil, []uint64{4})
	if got := p.Match("e", blocks); got != 3 {
		t.Errorf("%d blocks match after a removal, want 3", got)
	}
	p.ApplyEvent("e", 2, []uint64{4}, nil)
	if got := p.Match("e", blocks); got != 3 {
		t.Errorf("%d blocks match after a repeated event, want 3", got)
	}
	p.ApplyEvent("e", 5, []uint64{9}, nil)
	if got := p.Match("e", blocks); got >= 3 {
		t.Errorf("%d blocks match after a gap in the events, want fewer than 3", got)
	}
	p.ApplyEvent("e", 1, []uint64{7}, nil)
	p.ApplyEvent("e", 2, []uint64{8}, nil)
	if got := p.Match("e", []uint64{7, 8}); got != 2 {
		t.Errorf("%d blocks match after the sequence restarted, want 2", got)
	}
	p.RemoveEndpoint("e")
	if got := p.Holders(nil, blocks, 4); got != nil || len(p.holders) != 0 {
		t.Errorf("a removed endpoint is still indexed: %v", got)
	}
}

// Guards against an index that grows without bound, or that evicts a block before the blocks that extend it.
func TestPrefixBound(t *testing.T) {
	p := NewPrefixIndex()
	for i := range uint64(3) {
		var blocks []uint64
		for b := range uint64(maxBlocksPerEndpoint / 2) {
			blocks = append(blocks, i<<32+b)
		}
		p.RecordDispatch("e", blocks)
		if got := p.Match("e", blocks); got != len(blocks) {
			t.Errorf("prompt %d: %d of %d blocks match", i, got, len(blocks))
		}
	}
	if n := p.caches["e"].order.Len(); n > maxBlocksPerEndpoint || len(p.holders) != n {
		t.Errorf("%d blocks cached, %d in the index of holders", n, len(p.holders))
	}
	for _, e := range []string{"e1", "e2", "e3"} {
		p.RecordDispatch(e, []uint64{1, 2})
	}
	p.RecordDispatch("e4", []uint64{1})
	if diff := cmp.Diff([]string{"e1", "e2", "e3", "e4"}, p.Holders(nil, []uint64{1, 2}, 9)); diff != "" {
		t.Errorf("holders, longest prefixes first (-want +got):\n%s", diff)
	}
}

func newTestPlacer() (*Placer, *tracker.Class) { return newPlacer("e1", "e2", "e3") }

func newPlacer(names ...string) (*Placer, *tracker.Class) {
	table := tracker.New()
	var list []configurer.Endpoint
	for _, n := range names {
		list = append(list, configurer.Endpoint{Name: n, Pool: "p", Zone: "z" + n, Models: []string{"m"}})
	}
	table.Configure(0, configurer.Pool{Name: "p", Kind: configurer.KindModel}, list, limiter.Targets{},
		func(*tracker.Endpoint) bool { return false })
	table.EndWarmup(0)
	c, _ := table.Class(0, "m", "")
	return &Placer{Table: table, Prefixes: NewPrefixIndex(), Target: 740 * time.Millisecond}, c
}

// Guards against choosing a slow, busy or remote endpoint, and against giving up a long cached prefix for a slightly faster
// endpoint.
func TestChoose(t *testing.T) {
	blocks := []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10}
	for _, c := range []struct {
		name     string
		prepare  func(p *Placer)
		job      Job
		want     string
		obstacle Obstacle
		busy     string
	}{
		{"same zone", func(*Placer) {}, Job{Tokens: 200, Prompt: 100, Output: 100, Zone: "ze2"}, "e2", None, ""},
		{"faster", func(p *Placer) {
			for range 9 {
				p.Table.Get("e3").Speed.ObserveGap(1, 10*time.Millisecond)
			}
		}, Job{Tokens: 200, Prompt: 100, Output: 100, Zone: "ze2"}, "e3", None, ""},
		{"long prefix", func(p *Placer) {
			p.Prefixes.RecordDispatch("e1", blocks)
			for range 9 {
				p.Table.Get("e3").Speed.ObserveGap(1, 10*time.Millisecond)
			}
		}, Job{Tokens: 1100, Prompt: 1000, Output: 100, Blocks: blocks}, "e1", None, ""},
		{"queued prompts", func(p *Placer) {
			for _, e := range p.Table.All() {
				e.PendingTokens = 1500
			}
		}, Job{Tokens: 300, Prompt: 200, Output: 100}, "", NoPrefillRoom, ""},
		{"queued prompts, urgent", func(p *Placer) {
			for _, e := range p.Table.All() {
				e.PendingTokens = 1500
			}
		}, Job{Tokens: 300, Prompt: 200, Output: 100, Urgent: true}, "e1", None, ""},
		{"long prefill in progress", func(p *Placer) {
			for _, e := range p.Table.All() {
				e.LongPrefills = 1
			}
		}, Job{Tokens: 4000, Prompt: 3900, Output: 100}, "", NoPrefillRoom, ""},
		{"no room", func(p *Placer) {
			for _, e := range p.Table.All() {
				for range 8 {
					e.Limit.Add(100, false)
				}
				p.Table.UpdateRank(0, e)
			}
		}, Job{Tokens: 200, Prompt: 100, Output: 100}, "", NoRoom, ""},
		{"busy endpoint with the prefix", func(p *Placer) {
			p.Prefixes.RecordDispatch("e1", blocks)
			for range 8 {
				p.Table.Get("e1").Limit.Add(100, false)
			}
		}, Job{Tokens: 1100, Prompt: 1000, Output: 100, Blocks: blocks}, "e2", None, "e1"},
	} {
		p, class := newTestPlacer()
		c.prepare(p)
		got := p.Choose(0, c.job, class)
		name := func(e *tracker.Endpoint) string {
			if e == nil {
				return ""
			}
			return e.Name
		}
		if name(got.Endpoint) != c.want || got.Obstacle != c.obstacle || name(got.Busy) != c.busy {
			t.Errorf("%s: %q (obstacle %d, busy %q), want %q (%d, %q)", c.name, name(got.Endpoint), got.Obstacle,
				name(got.Busy), c.want, c.obstacle, c.busy)
		}
	}
}

// Guards against sending a request that is restricted to certain endpoints to another one.
func TestJobStaysAtItsEndpoints(t *testing.T) {
	p, class := newTestPlacer()
	allowed := []*tracker.Endpoint{p.Table.Get("e2")}
	got := p.Choose(0, Job{Tokens: 200, Prompt: 100, Output: 100, Required: allowed, RequiredOnly: true}, class)
	if got.Endpoint != allowed[0] {
		t.Errorf("chose %+v", got)
	}
	for range 8 {
		allowed[0].Limit.Add(100, false)
	}
	got = p.Choose(0, Job{Tokens: 200, Prompt: 100, Output: 100, Required: allowed, RequiredOnly: true}, class)
	if got.Endpoint != nil || got.Obstacle != NoOtherEndpoint {
		t.Errorf("chose %+v", got)
	}
}

// Guards against a decision whose cost grows with the number of endpoints.
func TestCandidatesAreBounded(t *testing.T) {
	var names []string
	for i := range 2500 {
		names = append(names, fmt.Sprintf("e%04d", i))
	}
	p, class := newPlacer(names...)
	blocks := []uint64{1, 2, 3}
	for _, n := range names {
		p.Prefixes.RecordDispatch(n, blocks)
	}
	if n := len(p.candidates(Job{Prompt: 300, Blocks: blocks}, class)); n == 0 || n > maxLeastLoaded+maxPrefixHolders {
		t.Errorf("%d endpoints are evaluated, want a small number above 0", n)
	}
}
