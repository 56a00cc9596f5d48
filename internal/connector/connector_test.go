package connector_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/connector"
	"github.com/dragonflycroft/dragonflycroft/internal/emulator"
	"github.com/dragonflycroft/dragonflycroft/internal/standin"
)

const body = `{"model":"m","messages":[{"role":"user","content":"how much fill does a chair take"}],"metadata":{"standin_output_tokens":"50"}}`

func timeouts() connector.Timeouts {
	return connector.Timeouts{Connect: time.Second, FirstByte: time.Second, Gap: 2 * time.Second}
}

func startEngine(t *testing.T, e *standin.Engine) (*standin.Engine, *connector.HTTPEngine) {
	t.Helper()
	e.Name, e.ListenAddr, e.Models = "engine-1", "127.0.0.1:0", []string{"m"}
	e.Model, _ = emulator.HardwareOptions("g4")
	e.Records = &standin.Records{}
	if err := e.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = e.Close() })
	return e, connector.NewEngine(e.Name, e.Addr(), timeouts())
}

// collect reads a stream to its end and returns the text and the next index.
func collect(ctx context.Context, s connector.Stream) (text string, next int, err error) {
	var b strings.Builder
	for {
		chunk, err := s.Next(ctx)
		if errors.Is(err, io.EOF) {
			return b.String(), next, nil
		}
		if err != nil {
			return b.String(), next, err
		}
		b.WriteString(chunk.Text)
		next = chunk.Index + 1
	}
}

// Guards against a response that is truncated, joined incorrectly, or dispatched again after its connection failed.
func TestResumeDeliversCompleteResponse(t *testing.T) {
	for name, breakConnections := range map[string]func(*standin.Engine){
		"reset":  (*standin.Engine).ResetOpen,
		"silent": (*standin.Engine).DropWritesOnOpen,
	} {
		t.Run(name, func(t *testing.T) {
			engine, client := startEngine(t, &standin.Engine{})
			sent := 0
			s, err := client.Dispatch(t.Context(), connector.Call{RequestID: "r1", Body: []byte(body)}, func() { sent++ })
			if err != nil {
				t.Fatal(err)
			}
			first, err := s.Next(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			breakConnections(engine)
			rest, next, err := collect(t.Context(), s)
			var interrupted *connector.InterruptedError
			if !errors.As(err, &interrupted) {
				t.Fatalf("got %v, want an InterruptedError", err)
			}
			next = max(next, first.Index+1)
			resumed, err := client.Resume(t.Context(), "r1", next)
			if err != nil {
				t.Fatal(err)
			}
			tail, _, err := collect(t.Context(), resumed)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(standin.Answer([]byte(body), 50), first.Text+rest+tail); diff != "" {
				t.Errorf("response (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(map[string]int{"r1": 1}, engine.Records.Dispatches()); diff != "" || sent != 1 {
				t.Errorf("dispatches, sent=%d (-want +got):\n%s", sent, diff)
			}
		})
	}
}

// Guards against reporting a call as possibly run when nothing was sent, or as not run when it may have run.
func TestErrorTypeShowsWhetherCallMayHaveRun(t *testing.T) {
	engine, client := startEngine(t, &standin.Engine{})
	engine.SetDropWrites(true)
	_, err := client.Dispatch(t.Context(), connector.Call{RequestID: "r2", Body: []byte(body)}, func() {})
	var interrupted *connector.InterruptedError
	if !errors.As(err, &interrupted) || interrupted.Cause != connector.CauseTimeout {
		t.Errorf("unresponsive engine: got %v, want cause silent", err)
	}
	engine.Crash()
	sent := false
	_, err = client.Dispatch(t.Context(), connector.Call{RequestID: "r3", Body: []byte(body)}, func() { sent = true })
	var notSent *connector.NotSentError
	if !errors.As(err, &notSent) || sent {
		t.Errorf("engine down: got %v (sent=%v), want a NotSentError", err, sent)
	}
}

// Guards against a cancelled run that continues, and against orders with a stale fence that take effect.
func TestCancelAndOrders(t *testing.T) {
	engine, client := startEngine(t, &standin.Engine{ChecksFencing: true})
	long := strings.Replace(body, `"50"`, `"100000"`, 1)
	s, err := client.Dispatch(t.Context(), connector.Call{RequestID: "r4", Body: []byte(long)}, func() {})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Next(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := client.Cancel(t.Context(), "r4"); err != nil {
		t.Fatal(err)
	}
	if _, _, err := collect(t.Context(), s); err == nil {
		t.Error("the stream of a cancelled run ended without an error")
	}
	if diff := cmp.Diff(map[string]int{"r4": 1}, engine.Records.Canceled()); diff != "" {
		t.Errorf("cancelled (-want +got):\n%s", diff)
	}
	if err := client.Order(t.Context(), connector.Order{Kind: connector.OrderLoad, Model: "n", Fence: 7}); err != nil {
		t.Fatal(err)
	}
	err = client.Order(t.Context(), connector.Order{Kind: connector.OrderUnload, Model: "n", Fence: 6})
	var refused *connector.OrderRefusedError
	if !errors.As(err, &refused) || refused.Current != 7 {
		t.Errorf("got %v, want an OrderRefusedError with current fence 7", err)
	}
	got, err := client.Inventory(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	want := connector.Inventory{Models: []string{"m", "n"}, Fence: 7}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("inventory (-want +got):\n%s", diff)
	}
}

// Guards against a service response that is lost on its way back, and against a dropped response that isn't reported as an
// InterruptedError.
func TestServiceCall(t *testing.T) {
	records := &standin.Records{}
	service := &standin.Service{Name: "orders-1", ListenAddr: "127.0.0.1:0", Records: records}
	if err := service.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = service.Close() })
	client := connector.NewService("orders-1", service.Addr(), timeouts())
	call := connector.Call{RequestID: "r5", Method: http.MethodPost, Path: "/charge", Body: []byte("{}")}
	got, err := client.Do(t.Context(), call, func() {})
	if err != nil {
		t.Fatal(err)
	}
	if got.Status != http.StatusOK || !strings.Contains(string(got.Body), `"path":"/charge"`) {
		t.Errorf("got status %d body %s", got.Status, got.Body)
	}
	service.DropReplies(1)
	call.RequestID = "r6"
	_, err = client.Do(t.Context(), call, func() {})
	var interrupted *connector.InterruptedError
	if !errors.As(err, &interrupted) {
		t.Errorf("got %v, want an InterruptedError", err)
	}
	if diff := cmp.Diff(map[string]int{"r5": 1, "r6": 1}, records.Executions()); diff != "" {
		t.Errorf("executions (-want +got):\n%s", diff)
	}
}
