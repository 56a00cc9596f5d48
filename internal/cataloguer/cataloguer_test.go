package cataloguer_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/cataloguer"
)

type source func() ([]cataloguer.Entry, error)

func (s source) Read(context.Context) ([]cataloguer.Entry, error) { return s() }

// Guards against an empty list replacing the last one while the platform's list cannot be read, which would stop all service, and
// against notifications about an unchanged list.
func TestLostList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		list, listErr := []cataloguer.Entry{{ID: "a", Slots: 1}}, error(nil)
		set := func(l []cataloguer.Entry, err error) {
			mu.Lock()
			defer mu.Unlock()
			list, listErr = l, err
		}
		var changes [][]cataloguer.Entry
		c := &cataloguer.Cataloguer{
			Source: source(func() ([]cataloguer.Entry, error) {
				mu.Lock()
				defer mu.Unlock()
				return list, listErr
			}),
			OnChange: func(l []cataloguer.Entry) { changes = append(changes, l) },
		}
		ctx, cancel := context.WithCancel(t.Context())
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			_ = c.Run(ctx)
		}()
		time.Sleep(5 * time.Second)
		set(nil, errors.New("no answer"))
		time.Sleep(5 * time.Second)
		if !c.HasList() {
			t.Error("no list is available after a failed read, want the last one")
		}
		set([]cataloguer.Entry{{ID: "a", Slots: 1, Leaving: true}}, nil)
		time.Sleep(3 * time.Second)
		cancel()
		<-stopped
		want := [][]cataloguer.Entry{{{ID: "a", Slots: 1}}, {{ID: "a", Slots: 1, Leaving: true}}}
		if diff := cmp.Diff(want, changes); diff != "" {
			t.Errorf("changes (-want +got):\n%s", diff)
		}
	})
}

// Guards against reads that are too far apart, with any jitter. A host must detect a leaving endpoint within the time in which
// that endpoint must receive its last request.
func TestInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var reads []time.Time
		c := &cataloguer.Cataloguer{
			Source:   source(func() ([]cataloguer.Entry, error) { reads = append(reads, time.Now()); return nil, nil }),
			OnChange: func([]cataloguer.Entry) {},
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_ = c.Run(ctx)
		for i := 1; i < len(reads); i++ {
			if pause := reads[i].Sub(reads[i-1]); pause > cataloguer.DefaultInterval {
				t.Fatalf("a pause of %v between two reads", pause)
			}
		}
	})
}

// Guards against a list that counts as read before it is in force. A coordinator relies on the age of the list that it uses.
func TestReadIsReportedOnceItsListIsInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var steps []string
		lists := [][]cataloguer.Entry{{{ID: "a"}}, {{ID: "a"}}, {{ID: "b"}}}
		reads := 0
		ctx, cancel := context.WithCancel(t.Context())
		c := &cataloguer.Cataloguer{
			Source: source(func() ([]cataloguer.Entry, error) {
				if reads++; reads > len(lists) {
					cancel()
					return nil, context.Canceled
				}
				return lists[reads-1], nil
			}),
			OnChange: func(l []cataloguer.Entry) { steps = append(steps, "in force "+l[0].ID) },
			OnRead:   func() { steps = append(steps, "read") },
		}
		_ = c.Run(ctx)
		if diff := cmp.Diff([]string{"in force a", "read", "read", "in force b", "read"}, steps); diff != "" {
			t.Errorf("steps (-want +got):\n%s", diff)
		}
	})
}
