package balancer_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
)

var now = time.Unix(1_000_000, 0)

func engines(ids ...string) []balancer.Endpoint {
	var out []balancer.Endpoint
	for _, id := range ids {
		out = append(out, balancer.Endpoint{ID: id, Addr: id, Zone: "z", Pool: "p", Slots: 2, Engine: true, MemoryTokens: 100_000})
	}
	return out
}

// learn runs streams of 11 events at an engine with a pace in milliseconds.
func learn(b *balancer.Balancer, id string, pace int) {
	w := balancer.Work{Prompt: 10, Output: 10}
	for range 3 {
		c, ok := b.Pick(now, "p", w, func(other string) bool { return other != id })
		if !ok {
			return
		}
		run := b.Start(c, w)
		for i := range 11 {
			run.RecordEvent(now.Add(time.Duration(i*pace) * time.Millisecond))
		}
		b.End(now, run, false)
	}
}

func pick(b *balancer.Balancer, w balancer.Work) string {
	c, ok := b.Pick(now, "p", w, nil)
	if !ok {
		return "wait"
	}
	return c.Endpoint.ID
}

// Engines differ in speed by a factor of five. A long answer on a slow engine would hold a place until its deadline cuts it off;
// it must be placed at a fast engine, or wait for one.
func TestLongAnswersGoToFastEngines(t *testing.T) {
	b := balancer.New("z")
	b.SetEndpoints(now, engines("fast", "slow"))
	learn(b, "fast", 10)
	learn(b, "slow", 100)
	long := balancer.Work{Prompt: 100, Output: 300, TokensPerEvent: 1, Deadline: now.Add(10 * time.Second)}
	first, _ := b.Pick(now, "p", long, nil)
	b.Start(first, long)
	second, _ := b.Pick(now, "p", long, nil)
	b.Start(second, long)
	short := balancer.Work{Prompt: 100, Output: 3, TokensPerEvent: 1, Deadline: now.Add(10 * time.Second)}
	got := []string{first.Endpoint.ID, second.Endpoint.ID, pick(b, long), pick(b, short)}
	if diff := cmp.Diff([]string{"fast", "fast", "wait", "slow"}, got); diff != "" {
		t.Errorf("placement (-want +got):\n%s", diff)
	}
}

// With many short prompts beside a few very long ones, a long prompt on a slow engine would push the event gaps of all streams
// there beyond their bound.
func TestLongPromptsAvoidSlowEngines(t *testing.T) {
	b := balancer.New("z")
	list := engines("fast", "slow")
	for i := range list {
		list[i].Slots = 8
	}
	b.SetEndpoints(now, list)
	learn(b, "fast", 20)
	learn(b, "slow", 60)
	chat := balancer.Work{Prompt: 100, Output: 60, TokensPerEvent: 6, EventGap: 200 * time.Millisecond}
	for range 3 {
		for _, id := range []string{"fast", "slow"} {
			c, _ := b.Pick(now, "p", chat, func(other string) bool { return other != id })
			b.Start(c, chat).RecordEvent(now)
		}
	}
	if got := pick(b, balancer.Work{Prompt: 40_000, Output: 60, TokensPerEvent: 6, EventGap: 200 * time.Millisecond}); got != "fast" {
		t.Errorf("long prompt placed at %q, want fast", got)
	}
}

// A crashed endpoint stays in the list for seconds, and another one may answer at its address. Under overload, when all other
// endpoints are full, every request would be sent there and rejected.
func TestReplacedEndpointTakesNoWork(t *testing.T) {
	b := balancer.New("z")
	b.SetEndpoints(now, engines("a"))
	w := balancer.Work{Prompt: 10, Output: 1}
	c, _ := b.Pick(now, "p", w, nil)
	b.EndRefused(now, b.Start(c, w), true)
	if got := pick(b, w); got != "wait" {
		t.Errorf("placed at %q, want wait", got)
	}
}

// An endpoint that refuses connections is tried by one request at a time, and gets work again after the first success.
func TestUnreachableEndpointIsProbed(t *testing.T) {
	b := balancer.New("z")
	b.SetEndpoints(now, engines("a"))
	w := balancer.Work{Prompt: 10, Output: 1}
	c, _ := b.Pick(now, "p", w, nil)
	b.EndUnreachable(now, b.Start(c, w))
	var got []string
	got = append(got, pick(b, w))
	now := now.Add(2 * time.Second)
	c, ok := b.Pick(now, "p", w, nil)
	if !ok {
		t.Fatal("endpoint is not tried again after its backoff")
	}
	probe := b.Start(c, w)
	_, second := b.Pick(now, "p", w, nil)
	b.End(now, probe, false)
	_, after := b.Pick(now, "p", w, nil)
	if diff := cmp.Diff([]any{[]string{"wait"}, false, true}, []any{got, second, after}); diff != "" {
		t.Errorf("placement (-want +got):\n%s", diff)
	}
}

// While a slow engine processes a long prompt, each event of its streams takes several times as long. Under overload of one
// installation, half of the streams on slow engines missed their targets because of such gaps. Long prompts must wait for another
// engine then; short prompts, and engines without streams, are not restricted.
func TestLongPromptDoesNotDelayStreamsOfSlowEngine(t *testing.T) {
	work := func(prompt int) balancer.Work {
		return balancer.Work{Prompt: prompt, Output: 60, TokensPerEvent: 6, EventGap: 250 * time.Millisecond}
	}
	b := balancer.New("z")
	b.SetEndpoints(now, engines("fast", "normal", "slow"))
	learn(b, "fast", 20)
	learn(b, "normal", 30)
	learn(b, "slow", 90)
	for _, id := range []string{"fast", "fast", "normal", "normal"} {
		c, _ := b.Pick(now, "p", work(10), func(other string) bool { return other != id })
		b.Start(c, work(10))
	}
	got := []string{pick(b, work(6000)), pick(b, work(500))}
	c, _ := b.Pick(now, "p", work(500), nil)
	run := b.Start(c, work(500))
	run.RecordEvent(now)
	got = append(got, pick(b, work(6000)), pick(b, work(500)))
	if diff := cmp.Diff([]string{"slow", "slow", "wait", "slow"}, got); diff != "" {
		t.Errorf("placement (-want +got):\n%s", diff)
	}
}

// An endpoint that fails some of its requests although it is reported healthy gets less work until its failure rate decays.
func TestFailingEndpointIsAvoided(t *testing.T) {
	b := balancer.New("z")
	list := engines("a", "b")
	for i := range list {
		list[i].Engine = false
	}
	b.SetEndpoints(now, list)
	for range 4 {
		c, _ := b.Pick(now, "p", balancer.Work{}, func(id string) bool { return id != "a" })
		b.End(now, b.Start(c, balancer.Work{}), true)
	}
	if got := pick(b, balancer.Work{}); got != "b" {
		t.Errorf("placed at %q, want b", got)
	}
}

// A leaving endpoint gets no new work. If no other endpoint exists, the pool has no usable endpoint at all.
func TestLeavingEndpoint(t *testing.T) {
	b := balancer.New("z")
	list := engines("a")
	list[0].Leaving = true
	b.SetEndpoints(now, list)
	if got := pick(b, balancer.Work{}); got != "wait" || b.Usable(now, "p", balancer.Work{}, nil) {
		t.Errorf("placed at %q, usable %t; want wait, false", got, b.Usable(now, "p", balancer.Work{}, nil))
	}
}
