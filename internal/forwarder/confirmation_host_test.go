package forwarder_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/heartbeater"
	"github.com/dragonflycroft/dragonflycroft/internal/router"
)

// blockingDecoder decodes tables. It blocks on those of a revision above the held one until release is closed.
type blockingDecoder struct {
	release chan struct{}
	blocked chan struct{}
	once    sync.Once
	held    uint64
}

func (d *blockingDecoder) decode(document []byte) (*router.Table, error) {
	t, err := decode(document)
	if err == nil && t.Revision > d.held {
		d.once.Do(func() { close(d.blocked) })
		<-d.release
	}
	return t, err
}

// Guards against a host that takes the confirmation of a new version for one of the table that it still uses: a key that the new
// version has removed would be accepted until the new table is decoded, however long ago the old version was confirmed.
func TestConfirmationDoesNotCoverThePreviousTable(t *testing.T) {
	peer, caller, ready, controlAddr := freeAddr(t), freeAddr(t), freeAddr(t), freeAddr(t)
	endpoints := source{addr: startEndpoint(t)}
	c := startControl(t, controlAddr, endpoints)
	decoder := &blockingDecoder{release: make(chan struct{}), blocked: make(chan struct{}), held: 1}
	h := newHost("h1", peer, caller, ready, controlAddr, endpoints)
	h.Decode = decoder.decode
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- h.Run(ctx) }()
	submit := func(revision uint64, keys ...string) {
		t.Helper()
		importCtx, done := context.WithTimeout(context.Background(), 10*time.Second)
		defer done()
		if _, err := c.participant.Client().ImportConfig(importCtx, revision, document(t, revision, keys...), "operator"); err != nil {
			t.Fatal(err)
		}
	}
	submit(1, "kept", "removed")
	waitForStatus(t, caller, "removed", http.StatusOK, 5*time.Second)
	submit(2, "kept")
	select {
	case <-decoder.blocked:
	case <-time.After(10 * time.Second):
		t.Fatal("the host did not decode the new version within 10s")
	}
	time.Sleep(heartbeater.ConfirmationTTL)
	if status, _ := get(t, caller, "removed"); status != http.StatusServiceUnavailable {
		t.Errorf("a removed key got status %d by the table of a version that is no longer confirmed, want 503", status)
	}
	close(decoder.release)
	waitForStatus(t, caller, "kept", http.StatusOK, 5*time.Second)
	waitForStatus(t, caller, "removed", http.StatusUnauthorized, time.Second)
	cancel()
	if err := <-stopped; err != nil {
		t.Errorf("graceful shutdown returned %v", err)
	}
}
