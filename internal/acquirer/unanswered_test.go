package acquirer_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dragonflycroft/dragonflycroft/internal/acquirer"
	"github.com/dragonflycroft/dragonflycroft/internal/admitter"
	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/coordinator/coordinatorpb"
	"github.com/dragonflycroft/dragonflycroft/internal/sharder"
)

// forgetfulNetwork leads to a coordinator that answers each ping and no placement request.
type forgetfulNetwork struct{}

func (forgetfulNetwork) Call(_ context.Context, _, _ string, _, resp proto.Message) error {
	if r, ok := resp.(*coordinatorpb.ReadyReply); ok {
		r.Ready = true
	}
	return nil
}

func (forgetfulNetwork) OpenStream(ctx context.Context, _, _ string) (acquirer.Stream, error) {
	return &forgetfulStream{ctx: ctx, pings: make(chan uint64, 1000)}, nil
}

func (forgetfulNetwork) DropSession(string) {}

type forgetfulStream struct {
	ctx   context.Context
	pings chan uint64
}

func (s *forgetfulStream) Send(m proto.Message) error {
	if r, ok := m.(*coordinatorpb.Report); ok && r.GetAnswer() {
		s.pings <- r.GetSeq()
	}
	return nil
}

func (s *forgetfulStream) Recv(m proto.Message) error {
	select {
	case <-s.ctx.Done():
		return io.EOF
	case seq := <-s.pings:
		proto.Merge(m, &coordinatorpb.Orders{Heard: seq})
		return nil
	}
}

func (s *forgetfulStream) Close() error { return nil }

// Guards against a request that is neither placed nor refused, until its caller gives up, because the coordinator answers the pings
// but has lost the placement request.
func TestForgottenPlacementRequestIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		endpoints := []balancer.Endpoint{{ID: "e", Addr: "e", Zone: "z0", Pool: "p", Slots: 1}}
		b := balancer.New("z0")
		b.SetEndpoints(time.Now(), endpoints)
		a := &acquirer.Acquirer{
			Zone: "z0", Network: forgetfulNetwork{}, Incarnation: func() uint64 { return 1 }, Local: admitter.New(b),
			ControlHosts: func() []sharder.Host { return []sharder.Host{{ID: "c", Zone: "z0", Addr: "c"}} },
			FillReport:   func(*coordinatorpb.Report, bool) bool { return false }, ApplyOrders: func(*coordinatorpb.Orders) {},
		}
		a.Init()
		a.SetEndpoints(endpoints)
		done := make(chan error, 1)
		go func() { done <- a.Run(ctx) }()
		a.Checks("p")
		time.Sleep(2 * time.Second)
		if !a.Checks("p") {
			t.Fatal("the coordinator is not connected")
		}
		caller, giveUp := context.WithTimeout(ctx, 10*time.Second)
		_, err := a.Acquire(caller, admitter.Request{Pool: "p", Patience: 500 * time.Millisecond})
		giveUp()
		var refused *admitter.RefusedError
		if !errors.As(err, &refused) || refused.Reason != admitter.Waited || refused.RetryAfter <= 0 {
			t.Errorf("error %v, want a refusal with a retry delay", err)
		}
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}
