package dragonflycroft

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/emulator"
	"github.com/dragonflycroft/dragonflycroft/internal/standin"
)

const chatPath = "/v1/chat/completions"

// fastOptions returns options of an engine that answers quickly.
func fastOptions() emulator.Options {
	return emulator.Options{PrefillTokensPerSecond: 400_000, DecodeTokensPerSecond: 2000, BatchSlowdown: 0.01, MaxBatch: 64}
}

// slowOptions returns options of an engine whose answers take long enough to be interrupted.
func slowOptions() emulator.Options {
	return emulator.Options{PrefillTokensPerSecond: 400_000, DecodeTokensPerSecond: 40, MaxBatch: 64}
}

// Guards against a request that does not reach its endpoint, or whose answer does not reach the caller.
func TestRequestEndToEnd(t *testing.T) {
	s := newSystem(t, 1, 2, fastOptions())
	url := s.nodes[0].url
	for _, stream := range []bool{false, true} {
		body := chatBody("How heavy is a 10 inch bag?", 20, stream)
		r, err := s.do("POST", url+chatPath, "key-k", body, nil)
		must(t, err)
		if r.status != 200 || r.outcome != "done" || r.text != standin.Answer(body, 20) {
			t.Errorf("stream %v: got %+v", stream, r)
		}
	}
	r, err := s.do("POST", url+"/v1/services/stock/orders?x=1", "key-k", []byte(`{"a":1}`), map[string]string{"Idempotency-Key": "k1"})
	must(t, err)
	var echo struct{ Method, Path string }
	must(t, json.Unmarshal([]byte(r.text), &echo))
	if r.status != 200 || r.outcome != "done" || echo.Method != "POST" || echo.Path != "/orders" {
		t.Errorf("order: got %+v", r)
	}
	if got := s.records.Executions()["k1"]; got != 1 {
		t.Errorf("the order ran %d times", got)
	}
	if got := len(s.control.Orders()); got != 1 {
		t.Errorf("the ledger holds %d orders, want 1", got)
	}
}

// Guards against mixed, partial or duplicated answers: connections to the engines are reset at random during concurrent requests
// at several entry hosts. Each request must receive exactly its own complete answer, and none may be dispatched twice.
func TestConcurrentAnswersAreComplete(t *testing.T) {
	s := newSystem(t, 3, 4, emulator.Options{PrefillTokensPerSecond: 400_000, DecodeTokensPerSecond: 400, MaxBatch: 256})
	rng := rand.New(rand.NewPCG(7, 7))
	resetCtx, stop := context.WithCancel(context.Background())
	var resetter sync.WaitGroup
	resetter.Go(func() {
		for resetCtx.Err() == nil {
			e := s.engines[rng.IntN(len(s.engines))]
			e.ResetOpen()
			time.Sleep(time.Duration(20+rng.IntN(30)) * time.Millisecond)
		}
	})
	const requests = 1000
	errs := make([]error, requests)
	ids := make([]string, requests)
	var wg sync.WaitGroup
	for i := range requests {
		wg.Go(func() {
			tokens := 5 + i%40
			body := chatBody(fmt.Sprintf("question %d of many", i), tokens, i%3 != 0)
			r, err := s.do("POST", s.nodes[i%3].url+chatPath, "key-k", body, map[string]string{"X-Dragonflycroft-Tier": []string{"snappy", "bulk"}[i%2]})
			switch {
			case err != nil:
				errs[i] = err
			case r.outcome == "unknown" && s.records.Dispatches()[r.id] == 0:
				// The connection was reset before the endpoint had read the request; it is not dispatched again.
				ids[i] = r.id
			case r.outcome != "done" || r.text != standin.Answer(body, tokens):
				errs[i] = fmt.Errorf("outcome %s reason %s status %d: %d bytes, want %d", r.outcome, r.reason, r.status, len(r.text), len(standin.Answer(body, tokens)))
			default:
				ids[i] = r.id
			}
		})
	}
	wg.Wait()
	stop()
	resetter.Wait()
	failed := 0
	for i, err := range errs {
		if err != nil {
			if failed++; failed < 10 {
				t.Errorf("request %d: %v", i, err)
			}
		}
	}
	if failed > 0 {
		t.Errorf("%d of %d requests failed", failed, requests)
	}
	for id, n := range s.records.Dispatches() {
		if n != 1 {
			t.Errorf("request %s was dispatched %d times", id, n)
		}
	}
	slices.Sort(ids)
	if n := len(slices.Compact(ids)); failed == 0 && n != requests {
		t.Errorf("%d distinct request ids for %d requests", n, requests)
	}
}

// Guards against a wrongly resumed answer when its connection stays open but sends no more data, while new connections work.
func TestResumeAfterSilentConnection(t *testing.T) {
	s := newSystem(t, 1, 1, slowOptions())
	body := chatBody("a long story", 60, true)
	resp, err := s.request(context.Background(), "POST", s.nodes[0].url+chatPath, "key-k", body, nil)
	must(t, err)
	defer resp.Body.Close()
	r, err := readReply(resp, 3)
	must(t, err)
	s.engines[0].DropWritesOnOpen()
	rest := &reply{id: r.id}
	must(t, rest.readStream(resp.Body, -1))
	if rest.outcome != "done" || !strings.HasSuffix(standin.Answer(body, 60), rest.text) || rest.truncated {
		t.Errorf("got outcome %s, %d bytes", rest.outcome, len(rest.text))
	}
	if n := s.records.Dispatches()[r.id]; n != 1 {
		t.Errorf("dispatched %d times", n)
	}
}

// Guards against an answer that is lost when its entry host fails: another host must find the run and deliver the rest.
func TestFetchAfterHostFailure(t *testing.T) {
	for _, test := range []struct {
		name   string
		victim int
	}{{"holder", 0}, {"another host", 1}} {
		t.Run(test.name, func(t *testing.T) {
			s := newSystem(t, 3, 2, slowOptions())
			victim := s.nodes[test.victim]
			body := chatBody("tell me everything", 80, true)
			resp, err := s.request(context.Background(), "POST", victim.url+chatPath, "key-k", body, map[string]string{"Idempotency-Key": "story"})
			must(t, err)
			first, err := readReply(resp, 5)
			must(t, err)
			victim.Abort()
			resp.Body.Close()
			<-victim.ended
			victim.ended <- nil
			from := len(first.indexes)
			other := s.nodes[2]
			rest, err := s.do("GET", fmt.Sprintf("%s/v1/requests/%s?from=%d", other.url, first.id, from), "key-k", nil, nil)
			must(t, err)
			if rest.outcome != "done" || first.text+rest.text != standin.Answer(body, 80) {
				t.Errorf("got outcome %s reason %s, %d+%d bytes", rest.outcome, rest.reason, len(first.text), len(rest.text))
			}
			if n := s.records.Dispatches()[first.id]; n != 1 {
				t.Errorf("dispatched %d times", n)
			}
			foreign, err := s.do("GET", other.url+"/v1/requests/"+first.id, "key-o", nil, nil)
			must(t, err)
			if foreign.status != http.StatusNotFound {
				t.Errorf("another workspace got status %d", foreign.status)
			}
		})
	}
}

// Guards against a second run of a request whose caller sends the same idempotency key to another host, concurrently or later.
func TestDuplicateIdempotencyKeys(t *testing.T) {
	s := newSystem(t, 3, 2, fastOptions())
	for _, test := range []struct {
		name, path string
		body       []byte
	}{
		{"chat", chatPath, chatBody("the same question", 30, true)},
		{"order", "/v1/services/stock/orders", []byte(`{"refill":7}`)},
	} {
		t.Run(test.name, func(t *testing.T) {
			before := total(s.records.Dispatches())
			replies := make([]*reply, 9)
			var wg sync.WaitGroup
			for i := range replies {
				wg.Go(func() {
					r, err := s.do("POST", s.nodes[i%3].url+test.path, "key-k", test.body, map[string]string{"Idempotency-Key": "same " + test.name})
					if err != nil {
						t.Error(err)
						return
					}
					replies[i] = r
				})
			}
			wg.Wait()
			if t.Failed() {
				return
			}
			for i, r := range replies {
				if r.outcome != "done" || r.id != replies[0].id {
					t.Errorf("reply %d: %+v", i, r)
				}
				if diff := cmp.Diff(replies[0].text, r.text); diff != "" {
					t.Errorf("reply %d differs: %s", i, diff)
				}
			}
			if n := total(s.records.Dispatches()) - before; n != 1 {
				t.Errorf("%d dispatches, want 1", n)
			}
			other, err := s.do("POST", s.nodes[1].url+test.path, "key-k", []byte(strings.Replace(string(test.body), "7", "8", 1)+" "), map[string]string{"Idempotency-Key": "same " + test.name})
			must(t, err)
			if other.status != http.StatusUnprocessableEntity || other.reason != "key_reused" || other.outcome != "refused" {
				t.Errorf("another body: %+v", other)
			}
		})
	}
}

func total(m map[string]int) (n int) {
	for _, v := range m {
		n += v
	}
	return n
}

// Guards against an order that is repeated, or reported as not run, after its endpoint ran it but sent no reply.
func TestOrderWithoutAnswerIsUnknown(t *testing.T) {
	s := newSystem(t, 2, 1, fastOptions())
	s.services[0].DropReplies(1)
	header := map[string]string{"Idempotency-Key": "charge-1"}
	for i := range 4 {
		r, err := s.do("POST", s.nodes[i%2].url+"/v1/services/stock/charge", "key-k", []byte(`{}`), header)
		must(t, err)
		if r.outcome != "unknown" {
			t.Errorf("attempt %d: %+v", i, r)
		}
	}
	if n := s.records.Executions()["charge-1"]; n != 1 {
		t.Errorf("the order ran %d times", n)
	}
}

// Guards against requests that are interrupted by a graceful stop.
func TestGracefulStopFinishesRequests(t *testing.T) {
	s := newSystem(t, 3, 2, slowOptions())
	bodies := make([][]byte, 30)
	replies := make([]*reply, len(bodies))
	var wg sync.WaitGroup
	for i := range bodies {
		bodies[i] = chatBody(fmt.Sprintf("story %d", i), 40, i%2 == 0)
		wg.Go(func() {
			r, err := s.do("POST", s.nodes[0].url+chatPath, "key-k", bodies[i], nil)
			if err != nil {
				t.Errorf("request %d: %v", i, err)
				return
			}
			replies[i] = r
		})
	}
	for total(s.records.Dispatches()) < 5 {
		time.Sleep(time.Millisecond)
	}
	for s.nodes[0].answers.Active() < len(bodies) {
		time.Sleep(time.Millisecond)
	}
	s.nodes[0].stop()
	if err := <-s.nodes[0].ended; err != nil {
		t.Errorf("graceful stop: Run returned %v", err)
	}
	s.nodes[0].ended <- nil
	wg.Wait()
	for i, r := range replies {
		if r != nil && (r.outcome != "done" || r.text != standin.Answer(bodies[i], 40)) {
			t.Errorf("request %d: outcome %s reason %s, %d bytes", i, r.outcome, r.reason, len(r.text))
		}
	}
}

// Guards against a stopping host that refuses requests which the load balancer still sends to it, and against an abort that
// waits for the rest of BalancerDelay.
func TestRequestsAcceptedDuringBalancerDelay(t *testing.T) {
	s := newSystem(t, 2, 1, fastOptions())
	stopping := s.nodes[0]
	stopping.BalancerDelay = time.Hour
	stopping.stop()
	for stopping.Unready() == "" {
		time.Sleep(time.Millisecond)
	}
	late, err := s.do("POST", stopping.url+chatPath, "key-k", chatBody("late", 5, false), nil)
	if err != nil || late.outcome != "done" {
		t.Errorf("request during BalancerDelay: %+v %v", late, err)
	}
	stopping.Abort()
	if err := <-stopping.ended; err != nil {
		t.Errorf("abort without requests in progress: Run returned %v", err)
	}
	stopping.ended <- nil
}

// Guards against an abort that does not report the requests it interrupts, or that waits for them.
func TestAbortReportsInterruptedRequests(t *testing.T) {
	s := newSystem(t, 2, 1, slowOptions())
	node := s.nodes[0]
	resp, err := s.request(context.Background(), "POST", node.url+chatPath, "key-k", chatBody("long", 1000, true), nil)
	must(t, err)
	defer resp.Body.Close()
	r, err := readReply(resp, 1)
	must(t, err)
	node.stop()
	node.Abort()
	var cut *CutOffError
	if err := <-node.ended; !errors.As(err, &cut) || !slices.Equal(cut.Requests, []string{r.id + " streaming"}) {
		t.Errorf("abort: Run returned %v", err)
	}
	node.ended <- nil
}

// Guards against a host that accepts requests while it cannot confirm its configuration.
func TestUnreadyHost(t *testing.T) {
	s := newSystem(t, 1, 1, fastOptions())
	s.nodes[0].host.SetFresh(false)
	r, err := s.do("POST", s.nodes[0].url+chatPath, "key-k", chatBody("x", 1, false), nil)
	must(t, err)
	if r.status != http.StatusServiceUnavailable || r.outcome != "not_run" || r.reason != "unready" || r.header.Get("Retry-After") == "" {
		t.Errorf("got %+v", r)
	}
	ready, err := s.do("GET", s.nodes[0].url+"/readyz", "", nil, nil)
	must(t, err)
	if ready.status != http.StatusServiceUnavailable {
		t.Errorf("/readyz has status %d", ready.status)
	}
}

// Guards against a run that is cancelled when its caller disconnects, before the caller can fetch the rest at another host.
func TestFetchAfterCallerDisconnects(t *testing.T) {
	s := newSystem(t, 2, 1, slowOptions())
	body := chatBody("who is there", 50, true)
	ctx, disconnect := context.WithCancel(context.Background())
	resp, err := s.request(ctx, "POST", s.nodes[0].url+chatPath, "key-k", body, nil)
	must(t, err)
	first, err := readReply(resp, 4)
	must(t, err)
	disconnect()
	rest, err := s.do("GET", fmt.Sprintf("%s/v1/requests/%s?from=%d", s.nodes[1].url, first.id, len(first.indexes)), "key-k", nil, nil)
	must(t, err)
	if rest.outcome != "done" || first.text+rest.text != standin.Answer(body, 50) {
		t.Errorf("got outcome %s, %d+%d bytes", rest.outcome, len(first.text), len(rest.text))
	}
}

// Guards against a request that keeps waiting for an endpoint, or is dispatched, after its caller has disconnected.
func TestCallerDisconnectsWhileWaiting(t *testing.T) {
	s := newSystem(t, 1, 1, fastOptions())
	s.engines[0].Crash()
	ctx, disconnect := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		resp, err := s.request(ctx, "POST", s.nodes[0].url+chatPath, "key-k", chatBody("x", 3, false), nil)
		if err == nil {
			resp.Body.Close()
		}
	}()
	for s.nodes[0].answers.Active() == 0 {
		time.Sleep(time.Millisecond)
	}
	disconnect()
	<-done
	for s.nodes[0].answers.Active() > 0 {
		time.Sleep(time.Millisecond)
	}
	if n := total(s.records.Dispatches()); n != 0 {
		t.Errorf("%d dispatches", n)
	}
}

// Guards against refusals with a wrong status, outcome or reason.
func TestRefusals(t *testing.T) {
	s := newSystem(t, 1, 1, fastOptions())
	url := s.nodes[0].url
	type result struct {
		Status          int
		Outcome, Reason string
	}
	for _, test := range []struct {
		name, method, path, key string
		body                    string
		header                  map[string]string
		want                    result
	}{
		{"no key", "POST", chatPath, "", "{}", nil, result{401, "not_run", "no_key"}},
		{"wrong key", "POST", chatPath, "nope", "{}", nil, result{401, "not_run", "unknown_key"}},
		{"tier", "POST", chatPath, "key-o", "{}", map[string]string{"X-Dragonflycroft-Tier": "snappy"}, result{403, "not_run", "tier_not_allowed"}},
		{"body", "POST", chatPath, "key-k", "{", nil, result{400, "not_run", "invalid_body"}},
		{"model", "POST", chatPath, "key-k", `{"model":"z","messages":[{"role":"user","content":"x"}]}`, nil, result{404, "not_run", "unknown_model"}},
		{"service", "GET", "/v1/services/none/x", "key-k", "", nil, result{404, "not_run", "unknown_service"}},
		{"route", "DELETE", "/v1/services/stock/orders", "key-k", "", nil, result{404, "not_run", "unknown_route"}},
		{"key required", "POST", "/v1/services/stock/charge", "key-k", "{}", nil, result{400, "not_run", "key_required"}},
		{"request", "GET", "/v1/requests/entry-0.1.1-000000000000", "key-k", "", nil, result{404, "unknown", "unknown_request"}},
		{"from", "GET", "/v1/requests/entry-0.1.1-000000000000?from=x", "key-k", "", nil, result{400, "not_run", "invalid_query"}},
		{"timeout", "POST", chatPath, "key-k", "{}", map[string]string{"X-Dragonflycroft-Timeout-Ms": "-1"}, result{400, "not_run", "invalid_header"}},
		{"path", "GET", "/v2", "key-k", "", nil, result{404, "not_run", "unknown_path"}},
		{"size", "POST", chatPath, "key-k", strings.Repeat("x", 9<<20), nil, result{413, "not_run", "body_too_large"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			r, err := s.do(test.method, url+test.path, test.key, []byte(test.body), test.header)
			must(t, err)
			if diff := cmp.Diff(test.want, result{r.status, r.outcome, r.reason}); diff != "" {
				t.Errorf("%s\n%s", diff, r.text)
			}
		})
	}
}

// Guards against hosts that keep using an old configuration, and against requests that wait for a pool after its removal.
func TestConfigurationChange(t *testing.T) {
	s := newSystem(t, 2, 1, fastOptions())
	next := *s.cfg
	next.Pools = slices.Clone(s.cfg.Pools)
	next.Pools[0].Models = []string{"m", "m2"}
	next.Endpoints = slices.Clone(s.cfg.Endpoints)
	next.Endpoints[0].Models = []string{"m", "m2"}
	next.Pools = append(next.Pools, configurer.Pool{Name: "second", Kind: configurer.KindService})
	s.control.Configure(&next)
	r, err := s.do("GET", s.nodes[1].url+"/v1/models", "key-o", nil, nil)
	must(t, err)
	if !strings.Contains(r.text, `"m2"`) {
		t.Errorf("got %s", r.text)
	}
	s.engines[0].Crash()
	waiting := make(chan *reply, 1)
	go func() {
		r, err := s.do("POST", s.nodes[0].url+chatPath, "key-k", chatBody("x", 1, false), nil)
		if err != nil {
			t.Error(err)
		}
		waiting <- r
	}()
	for s.nodes[0].answers.Active() == 0 {
		time.Sleep(time.Millisecond)
	}
	withoutChat := next
	withoutChat.Pools = []configurer.Pool{s.cfg.Pools[1]}
	s.control.Configure(&withoutChat)
	if r := <-waiting; r == nil || r.outcome != "refused" && r.outcome != "not_run" {
		t.Errorf("request for a removed pool: %+v", r)
	}
}

// Guards against faults between the request path and the replicated control part: three hosts in one process must agree on the
// configuration, the pool holders and an order, also when the host that is both holder and owner fails.
func TestReplicatedControl(t *testing.T) {
	s := newReplicatedSystem(t, 3, 2, slowOptions())
	body := chatBody("first light", 40, true)
	order := map[string]string{"Idempotency-Key": "refill-1"}
	var wg sync.WaitGroup
	for i := range 3 {
		wg.Go(func() {
			r, err := s.do("POST", s.nodes[i].url+chatPath, "key-k", body, nil)
			if err != nil || r.outcome != "done" || r.text != standin.Answer(body, 40) {
				t.Errorf("host %d: %+v %v", i, r, err)
			}
		})
		wg.Go(func() {
			r, err := s.do("POST", s.nodes[i].url+"/v1/services/stock/orders", "key-k", []byte("{}"), order)
			if err != nil || r.outcome != "done" {
				t.Errorf("order at host %d: %+v %v", i, r, err)
			}
		})
	}
	wg.Wait()
	if n := s.records.Executions()["refill-1"]; n != 1 {
		t.Errorf("the order ran %d times", n)
	}
	holder, _, _, ok := s.nodes[0].control.Holder("pool/chat")
	if !ok {
		t.Fatal("the pool has no holder")
	}
	var victim, other *testNode
	for _, n := range s.nodes {
		if n.HostID == holder {
			victim = n
		} else {
			other = n
		}
	}
	resp, err := s.request(context.Background(), "POST", victim.url+chatPath, "key-k", body, nil)
	must(t, err)
	first, err := readReply(resp, 3)
	must(t, err)
	victim.Abort()
	resp.Body.Close()
	<-victim.ended
	victim.ended <- nil
	rest, err := s.do("GET", fmt.Sprintf("%s/v1/requests/%s?from=%d", other.url, first.id, len(first.indexes)), "key-k", nil, nil)
	must(t, err)
	if first.text+rest.text != standin.Answer(body, 40) {
		t.Errorf("fetched %+v", rest)
	}
	r, err := s.do("POST", other.url+chatPath, "key-k", body, nil)
	must(t, err)
	if r.outcome != "done" {
		t.Errorf("after the loss of a host: %+v", r)
	}
	r, err = s.do("POST", other.url+"/v1/services/stock/orders", "key-k", []byte("{}"), order)
	must(t, err)
	if n := s.records.Executions()["refill-1"]; r.outcome != "done" || n != 1 {
		t.Errorf("repeated order: %+v, ran %d times", r, n)
	}
}
