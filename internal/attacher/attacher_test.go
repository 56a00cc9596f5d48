package attacher

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/answerer"
	"github.com/dragonflycroft/dragonflycroft/internal/connector"
	"github.com/dragonflycroft/dragonflycroft/internal/transporter"
)

// startOwner starts a host that serves one answer and returns its transport.
func startOwner(t *testing.T, a *answerer.Answer) *transporter.Transport {
	t.Helper()
	tr := &transporter.Transport{HostID: "owner", ListenAddr: "127.0.0.1:0", Key: []byte("key")}
	if err := tr.Listen(); err != nil {
		t.Fatal(err)
	}
	tr.HandleStream(Method, func(ctx context.Context, _ transporter.Peer, s *transporter.Stream) error {
		return Serve(ctx, s, func(id, workspace string) *answerer.Answer {
			if m := a.Meta(); id != m.RequestID || workspace != m.Workspace {
				return nil
			}
			return a
		})
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = tr.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		_ = tr.Close()
		wg.Wait()
	})
	return tr
}

// TestLongAttachment guards against an attachment that ends during a long pause in its answer, loses a part of the final state,
// or remains open after the answer has ended.
func TestLongAttachment(t *testing.T) {
	meta := answerer.Meta{RequestID: "r", Workspace: "w", Kind: answerer.KindChat, Model: "m", Created: time.Unix(5, 0)}
	owned := answerer.New(meta, nil)
	tr := startOwner(t, owned)
	copied := answerer.New(answerer.Meta{Workspace: "w"}, nil)
	end := answerer.End{
		Outcome: answerer.Done, Reason: "x", Message: "y", RetryAfter: time.Second,
		Usage:    &connector.Usage{PromptTokens: 1, CachedTokens: 2, OutputTokens: 3},
		Response: &connector.Response{Status: 201, Header: map[string]string{"A": "b"}, Body: []byte("c")},
	}
	go func() {
		_ = owned.Append(0, "zero ")
		// Longer than the receive timeout, so that only keep-alive messages keep the attachment open.
		time.Sleep(2 * receiveTimeout)
		_ = owned.Append(1, "one")
		owned.Finish(end)
	}()
	if err := Follow(t.Context(), tr, tr.Addr(), "r", "w", copied); err != nil {
		t.Fatal(err)
	}
	text, got, err := copied.WaitWhole(t.Context())
	if err != nil || text != "zero one" {
		t.Errorf("copied answer = %q, error %v", text, err)
	}
	if diff := cmp.Diff(end, got); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(meta, copied.Meta()); diff != "" {
		t.Error(diff)
	}
	for owned.Readers() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// TestNotFound guards against sending an answer to another workspace, and against reporting a missing answer as a connection
// failure.
func TestNotFound(t *testing.T) {
	tr := startOwner(t, answerer.New(answerer.Meta{RequestID: "r", Workspace: "w"}, nil))
	for _, test := range []struct{ id, workspace string }{{"r", "other"}, {"q", "w"}} {
		var notFound *NotFoundError
		if err := Follow(t.Context(), tr, tr.Addr(), test.id, test.workspace, answerer.New(answerer.Meta{}, nil)); !errors.As(err, &notFound) {
			t.Errorf("%v: error %v, want *NotFoundError", test, err)
		}
	}
}
