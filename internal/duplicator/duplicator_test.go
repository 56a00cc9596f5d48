package duplicator_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"github.com/dragonflycroft/dragonflycroft/internal/coordinator"
	"github.com/dragonflycroft/dragonflycroft/internal/duplicator"
	"github.com/dragonflycroft/dragonflycroft/internal/duplicator/duplicatorpb"
	"github.com/dragonflycroft/dragonflycroft/internal/registrar"
	"github.com/dragonflycroft/dragonflycroft/internal/transporter"
)

// registry is the registry of a host.
type registry struct {
	mu      sync.Mutex
	origins registrar.Registry
}

func (r *registry) OwnOrigins(seq uint64, limit int) ([]registrar.Record, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.origins.SinceUpTo(seq, limit)
}

func (r *registry) OriginsEpoch() uint64 { return 0 }

func (r *registry) KeepOrigins(records []registrar.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, v := range records {
		v.Learnt = true
		r.origins.Add(time.Now(), v)
	}
}

func (r *registry) record(request uint64, o registrar.Origin) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.origins.Record(time.Now(), request, o)
}

// peers are the other hosts by address. A host without a duplicator answers with its error.
type peers struct {
	duplicators map[string]*duplicator.Duplicator
	errs        map[string]error
	// calls are the numbers of requests by host.
	calls map[string]int
}

func (p *peers) Call(_ context.Context, addr, _ string, req, resp proto.Message) error {
	p.calls[addr]++
	if err := p.errs[addr]; err != nil {
		return err
	}
	payload, err := proto.Marshal(req)
	if err == nil {
		payload, err = p.duplicators[addr].Handle(payload)
	}
	return errors.Join(err, proto.Unmarshal(payload, resp))
}

func newPeers(addrs ...string) (*peers, map[string]*registry) {
	p := &peers{duplicators: map[string]*duplicator.Duplicator{}, errs: map[string]error{}, calls: map[string]int{}}
	kept := map[string]*registry{}
	for _, addr := range addrs {
		kept[addr] = &registry{}
		p.duplicators[addr] = &duplicator.Duplicator{HostID: addr, Origins: kept[addr]}
		p.duplicators[addr].Init()
	}
	return p, kept
}

// Guards against a copy that is sent to a host of an earlier build or one that does not answer, again and again, or to none although there is
// another one; and against copies of streams in pools without versions.
func TestHolder(t *testing.T) {
	unknownMethod := &transporter.RemoteError{Code: transporter.CodeUnknownMethod}
	down := errors.New("host unreachable")
	for _, c := range []struct {
		name  string
		zones map[string]string
		errs  map[string]error
		want  map[string]int
	}{
		{"the next one", map[string]string{"a": "z", "c": "z", "d": "z"}, nil, map[string]int{"c": 300}},
		{"the first one after the last", map[string]string{"a": "z"}, nil, map[string]int{"a": 300}},
		{"the own zone first", map[string]string{"a": "z", "c": "y"}, nil, map[string]int{"a": 300}},
		{"an earlier build", map[string]string{"c": "z", "d": "z"}, map[string]error{"c": unknownMethod}, map[string]int{"d": 300}},
		{"a host that is down", map[string]string{"c": "z", "d": "z"}, map[string]error{"c": down}, map[string]int{"d": 300}},
		{"only earlier builds", map[string]string{"c": "z", "d": "z"}, map[string]error{"c": unknownMethod, "d": unknownMethod}, map[string]int{}},
		{"no other host", nil, nil, map[string]int{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network, kept := newPeers("a", "c", "d")
				network.errs = c.errs
				own := &registry{}
				d := &duplicator.Duplicator{HostID: "b", Zone: "z", Network: network, Origins: own, Peers: func() (out []duplicator.Peer) {
					for id, zone := range c.zones {
						out = append(out, duplicator.Peer{ID: id, Zone: zone, Addr: id})
					}
					return out
				}}
				d.Init()
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error)
				go func() { done <- d.Run(ctx) }()
				for i := range uint64(300) {
					own.record(2*i, registrar.Origin{Pool: "p", Version: "v1", Joinable: true})
					own.record(2*i+1, registrar.Origin{Pool: "plain", Joinable: true})
					d.Notify()
					time.Sleep(10 * time.Millisecond)
				}
				time.Sleep(time.Second)
				cancel()
				if err := <-done; err != nil {
					t.Error(err)
				}
				got := map[string]int{}
				for id, r := range kept {
					if n := r.origins.Len(); n > 0 {
						got[id] = n
					}
				}
				if diff := cmp.Diff(c.want, got); diff != "" {
					t.Errorf("copies by host (-want +got):\n%s", diff)
				}
				for id, err := range c.errs {
					if limit := map[bool]int{true: 1, false: 3}[errors.Is(err, unknownMethod)]; network.calls[id] > limit {
						t.Errorf("%d calls of %s in 4 s, want %d at most", network.calls[id], id, limit)
					}
				}
			})
		})
	}
}

// BenchmarkCopy measures the bytes of a copy and the time to send and keep it, for one origin a request as at 2,000 streams a second over 300
// hosts, and for a burst.
func BenchmarkCopy(b *testing.B) {
	for name, batch := range map[string]int{"single": 1, "burst-20": 20} {
		b.Run(name, func(b *testing.B) {
			keeper := &duplicator.Duplicator{HostID: "c", Origins: &registry{}}
			keeper.Init()
			records := make([]registrar.Record, batch)
			sent, bytes, request := 0, 0, uint64(0)
			for b.Loop() {
				for i := range records {
					request += 0x9e3779b97f4a7c15
					records[i] = registrar.Record{Request: request, Origin: registrar.Origin{Pool: "some-pool", Version: "v1", Joinable: true}}
				}
				payload, err := proto.Marshal(&duplicatorpb.KeepRequest{Streams: coordinator.EncodeStreams(records)})
				if err != nil {
					b.Fatal(err)
				}
				if _, err := keeper.Handle(payload); err != nil {
					b.Fatal(err)
				}
				sent, bytes = sent+batch, bytes+len(payload)
			}
			b.ReportMetric(float64(bytes)/float64(sent), "bytes/origin")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(sent), "ns/origin")
		})
	}
}
