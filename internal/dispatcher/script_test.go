package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/answerer"
	"github.com/dragonflycroft/dragonflycroft/internal/connector"
	"github.com/dragonflycroft/dragonflycroft/internal/describer"
	"github.com/dragonflycroft/dragonflycroft/internal/executor"
	"github.com/dragonflycroft/dragonflycroft/internal/granter"
	"github.com/dragonflycroft/dragonflycroft/internal/identifier"
	"github.com/dragonflycroft/dragonflycroft/internal/indexer"
	"github.com/dragonflycroft/dragonflycroft/internal/localcontroller"
	"github.com/dragonflycroft/dragonflycroft/internal/recorder"
	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
	"github.com/dragonflycroft/dragonflycroft/internal/transporter"
)

// script runs one file of testdata against a dispatcher whose endpoint, session and ledger behave as the file specifies.
type script struct {
	t        *testing.T
	d        *Dispatcher
	session  *fakeSession
	endpoint *fakeEndpoint
	ledger   *fakeLedger
	answers  []*answerer.Answer
	readers  []*answerer.Reader
	err      error
}

// fakeSession records the calls to the scheduler.
type fakeSession struct {
	mu        sync.Mutex
	calls     []string
	callbacks granter.Callbacks
	keyHolder indexer.Location
}

func (s *fakeSession) record(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, fmt.Sprintf(format, args...))
}

func (s *fakeSession) Submit(_ scheduler.Descriptor, cb granter.Callbacks) {
	s.record("submit")
	s.callbacks = cb
}
func (s *fakeSession) Started(_, endpoint string) { s.record("started:%s", endpoint) }
func (s *fakeSession) Declined(_, endpoint string, reason scheduler.DeclineReason) {
	s.record("declined:%s:%s", endpoint, reason)
}
func (s *fakeSession) Progress(string, int)          {}
func (s *fakeSession) Finished(f scheduler.Finished) { s.record("finished:%s", f.Outcome) }
func (s *fakeSession) Cancelled(string)              { s.record("cancelled") }
func (s *fakeSession) EndpointFailed(endpoint string, cause scheduler.FailureCause, _ ...string) {
	s.record("failed:%s:%s", endpoint, cause)
}

func (s *fakeSession) Claim(_ context.Context, c indexer.Claim) (indexer.Location, error) {
	if s.keyHolder.RequestID != "" {
		return s.keyHolder, nil
	}
	return indexer.Location{RequestID: c.RequestID, Digest: c.Digest}, nil
}

func (s *fakeSession) Locate(context.Context, string) (indexer.Location, error) {
	return indexer.Location{}, errors.New("not reachable")
}

// fakeEndpoint uses up one scripted behaviour for each exchange.
type fakeEndpoint struct {
	mu         sync.Mutex
	id         string
	behaviours [][]string
	calls      []string
}

func (e *fakeEndpoint) next(call string) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls = append(e.calls, call)
	if len(e.behaviours) == 0 {
		return []string{"notfound"}
	}
	b := e.behaviours[0]
	e.behaviours = e.behaviours[1:]
	return b
}

// open acts on the first word of a behaviour, which is the result of opening the exchange, with an optional delay before "+".
func (e *fakeEndpoint) open(ctx context.Context, b []string, sent func()) error {
	delay, rest, slow := strings.Cut(b[0], "+")
	if slow {
		d, _ := time.ParseDuration(delay)
		time.Sleep(d)
		b[0] = rest
	}
	if b[0] == "refused" {
		return &connector.NotSentError{Endpoint: "e", Err: errors.New("connection refused")}
	}
	sent()
	if ctx.Err() != nil {
		return &connector.InterruptedError{Endpoint: "e", Cause: connector.CauseCanceled, Err: ctx.Err()}
	}
	switch b[0] {
	case "ok":
		return nil
	case "notfound":
		return &connector.InterruptedError{Endpoint: "e", Cause: connector.CauseNotFound, Status: 404, Err: errors.New("unknown run")}
	case "rejected":
		return &connector.InterruptedError{Endpoint: "e", Cause: connector.CauseRejected, Status: 400, Err: errors.New("rejected")}
	}
	return &connector.InterruptedError{Endpoint: "e", Cause: connector.Cause(b[0]), Err: errors.New(b[0])}
}

func (e *fakeEndpoint) Dispatch(ctx context.Context, c connector.Call, sent func()) (connector.Stream, error) {
	e.id = c.RequestID
	b := e.next("dispatch")
	if err := e.open(ctx, b, sent); err != nil {
		return nil, err
	}
	return &fakeStream{id: c.RequestID, chunks: b[1:]}, nil
}

func (e *fakeEndpoint) Resume(ctx context.Context, id string, from int) (connector.Stream, error) {
	b := e.next("resume:" + strconv.Itoa(from))
	if err := e.open(ctx, b, func() {}); err != nil {
		return nil, err
	}
	return &fakeStream{id: id, chunks: b[1:]}, nil
}

func (e *fakeEndpoint) Do(ctx context.Context, _ connector.Call, sent func()) (*connector.Response, error) {
	b := e.next("do")
	if err := e.open(ctx, b, sent); err != nil {
		return nil, err
	}
	return &connector.Response{Status: 200, Body: []byte(strings.Join(b[1:], " "))}, nil
}

func (e *fakeEndpoint) Cancel(context.Context, string) error {
	e.next("cancel")
	return nil
}

func (e *fakeEndpoint) Load(context.Context) (connector.LoadReport, error) {
	return connector.LoadReport{}, nil
}

func (e *fakeEndpoint) CacheEvents(context.Context, uint64) ([]connector.CacheEvent, error) {
	return nil, nil
}
func (e *fakeEndpoint) Order(context.Context, connector.Order) error { return nil }
func (e *fakeEndpoint) Inventory(context.Context) (connector.Inventory, error) {
	return connector.Inventory{}, nil
}
func (e *fakeEndpoint) ExportKV(context.Context, string) ([]byte, error) { return nil, nil }
func (e *fakeEndpoint) ImportKV(context.Context, string, []byte) error   { return nil }
func (e *fakeEndpoint) Engine(name string) (connector.Engine, bool)      { return e, name != "new" }

func (e *fakeEndpoint) Service(name string) (connector.Service, bool) { return e, name != "new" }
func (e *fakeEndpoint) Engines() []string                             { return []string{"e1"} }
func (e *fakeEndpoint) addBehaviour(words []string)                   { e.behaviours = append(e.behaviours, words) }

// fakeStream yields chunks: "3" is chunk 3, "3!" is chunk 3 as the last one, "x3" is chunk 3 of another request, and "silent"
// blocks until the context ends. Any other word ends the stream with that cause.
type fakeStream struct {
	id     string
	chunks []string
}

func (s *fakeStream) Next(ctx context.Context) (connector.Chunk, error) {
	if len(s.chunks) == 0 || s.chunks[0] == "silent" {
		<-ctx.Done()
		return connector.Chunk{}, &connector.InterruptedError{Cause: connector.CauseCanceled, Err: ctx.Err()}
	}
	word := s.chunks[0]
	s.chunks = s.chunks[1:]
	id, foreign := strings.CutPrefix(word, "x")
	number, last := strings.CutSuffix(id, "!")
	index, err := strconv.Atoi(number)
	if err != nil {
		return connector.Chunk{}, &connector.InterruptedError{Cause: connector.Cause(word), Err: errors.New(word)}
	}
	c := connector.Chunk{RequestID: s.id, Index: index, Text: number, Last: last}
	if foreign {
		c.RequestID = "another"
	}
	if last {
		c.Usage = &connector.Usage{OutputTokens: index + 1}
	}
	return c, nil
}

func (s *fakeStream) Close() error { return nil }

// fakeLedger injects the scripted faults before or after a call to the real ledger: "lost" drops the call, "unanswered" drops
// its result.
type fakeLedger struct {
	*localcontroller.Host
	mu     sync.Mutex
	faults map[string][]string
	calls  []string
}

var errUnavailable = errors.New("no control leader answered")

func (l *fakeLedger) fault(call string) (before, after error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, call)
	if len(l.faults[call]) == 0 {
		return nil, nil
	}
	f := l.faults[call][0]
	l.faults[call] = l.faults[call][1:]
	switch f {
	case "lost":
		return errUnavailable, nil
	case "unanswered":
		return nil, errUnavailable
	}
	return nil, nil
}

func (l *fakeLedger) Intend(ctx context.Context, in recorder.Intent) (recorder.Record, error) {
	before, after := l.fault("intend")
	if before != nil {
		return recorder.Record{}, before
	}
	r, err := l.Host.Intend(ctx, in)
	return r, errors.Join(err, after)
}

func (l *fakeLedger) Conclude(ctx context.Context, key recorder.Key, owner string, out recorder.Outcome) error {
	before, after := l.fault("conclude")
	if before != nil {
		return before
	}
	return errors.Join(l.Host.Conclude(ctx, key, owner, out), after)
}

func (l *fakeLedger) Withdraw(ctx context.Context, key recorder.Key, owner string) error {
	before, after := l.fault("withdraw")
	if before != nil {
		return before
	}
	return errors.Join(l.Host.Withdraw(ctx, key, owner), after)
}

func newScript(t *testing.T) *script {
	s := &script{t: t, session: &fakeSession{}, endpoint: &fakeEndpoint{}}
	host := localcontroller.New(nil).Host("entry", "")
	s.ledger = &fakeLedger{Host: host, faults: make(map[string][]string)}
	s.d = &Dispatcher{
		HostID: "entry", Incarnation: 1, Transport: &transporter.Transport{},
		Session:   func(string) (executor.Session, bool) { return s.session, true },
		Sessions:  func() []executor.Session { return []executor.Session{s.session} },
		Endpoints: s.endpoint, Ledger: s.ledger, Hosts: host, Store: &answerer.Store{},
	}
	s.d.Start(context.Background())
	return s
}

// parseOptions returns the words of the form key=value as a map.
func parseOptions(words []string) map[string]string {
	out := make(map[string]string)
	for _, w := range words {
		if k, v, ok := strings.Cut(w, "="); ok {
			out[k] = v
		}
	}
	return out
}

func (s *script) request(o map[string]string) {
	req := describer.Request{
		Kind: answerer.KindChat, Pool: "p", Workspace: "w", Tier: "t", Key: o["key"], Digest: "w:" + o["body"], Idempotent: o["idempotent"] != "no",
	}
	if o["kind"] != "" {
		req.Kind = o["kind"]
	}
	if d, err := time.ParseDuration(o["timeout"]); err == nil {
		req.Deadline = time.Now().Add(d)
	}
	a, r, err := s.d.Accept(req)
	if s.err = err; err == nil {
		s.answers, s.readers = append(s.answers, a), append(s.readers, r)
	}
}

// remoteID is the ID of a request whose entry host is lost.
var remoteID = identifier.New("other.1", 5, "w")

func (s *script) fetch() {
	a, r, err := s.d.Fetch("w", remoteID, 0)
	must(s.t, err)
	s.answers, s.readers = append(s.answers, a), append(s.readers, r)
}

func (s *script) step(verb string, words []string) {
	o := parseOptions(words)
	switch verb {
	case "request":
		s.request(o)
	case "endpoint":
		s.endpoint.addBehaviour(words)
	case "ledger":
		for call, faults := range o {
			s.ledger.faults[call] = strings.Split(faults, ",")
		}
	case "grant":
		ttl := time.Second
		if d, err := time.ParseDuration(o["ttl"]); err == nil {
			ttl = d
		}
		s.session.callbacks.Grant(words[0], time.Now().Add(ttl))
	case "refuse":
		retry, _ := time.ParseDuration(o["retry"])
		s.session.callbacks.Refuse(scheduler.RefuseReason(words[0]), retry)
	case "cancel":
		s.session.callbacks.CancelRun(words[0])
	case "wait":
		d, err := time.ParseDuration(words[0])
		must(s.t, err)
		time.Sleep(d)
	case "leave":
		s.readers[len(s.readers)-1].Close()
	case "return":
		s.readers = append(s.readers, s.answers[len(s.answers)-1].NewReader(0))
	case "stop":
		s.d.Close()
	case "fetch":
		s.fetch()
	case "recorded":
		in := recorder.Intent{Key: recorder.Key{Workspace: "w", Value: remoteID}, RequestID: remoteID, Owner: "other.1"}
		_, err := s.ledger.Host.Intend(s.t.Context(), in)
		must(s.t, err)
		out := recorder.Outcome{Outcome: recorder.OutcomeDone, Status: 200, Body: []byte(words[0])}
		must(s.t, s.ledger.Host.Conclude(s.t.Context(), in.Key, in.Owner, out))
	case "expect":
		s.expect(words)
	default:
		s.t.Fatalf("unknown step %q", verb)
	}
	synctest.Wait()
}

// expect compares one recorded value with the expected one: the answer of the last request, the error of the last call, or the
// calls that the scheduler, the endpoint or the ledger received.
func (s *script) expect(words []string) {
	s.t.Helper()
	want, rest, _ := strings.Cut(strings.Join(words, " "), "=")
	var got string
	switch want {
	case "outcome":
		got = "none"
		if e := s.answers[len(s.answers)-1].End(); e != nil {
			got = strings.TrimSuffix(string(e.Outcome)+"/"+e.Reason, "/")
			if e.RetryAfter > 0 {
				got += "/" + e.RetryAfter.String()
			}
		}
	case "text":
		a := s.answers[len(s.answers)-1]
		text, end, err := a.WaitWhole(s.t.Context())
		must(s.t, err)
		got = text
		if end.Response != nil {
			got = string(end.Response.Body)
		}
	case "error":
		got = "none"
		var reused *KeyReusedError
		if errors.As(s.err, &reused) {
			got = "key reused"
		}
	case "scheduler":
		got = strings.Join(s.session.calls, " ")
	case "endpoint":
		got = strings.Join(s.endpoint.calls, " ")
	case "ledger":
		got = strings.Join(s.ledger.calls, " ")
	case "order":
		got = "none"
		for _, key := range []string{"k", s.endpoint.id} {
			if r, ok, _ := s.ledger.Order(s.t.Context(), recorder.Key{Workspace: "w", Value: key}); ok {
				got = string(r.Phase)
			}
		}
	default:
		s.t.Fatalf("unknown expectation %q", want)
	}
	if diff := cmp.Diff(rest, got); diff != "" {
		s.t.Errorf("%s (-want +got):\n%s", want, diff)
	}
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// TestScripts runs the life of a request step by step; the first line of each file names the failure that it guards against.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		must(t, err)
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newScript(t)
				defer s.d.Close()
				for line := range strings.Lines(string(data)) {
					words := strings.Fields(line)
					if len(words) == 0 || strings.HasPrefix(words[0], "#") {
						continue
					}
					s.step(words[0], words[1:])
				}
			})
		})
	}
}
