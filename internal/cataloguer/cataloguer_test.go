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

// While the platform's list cannot be read, the last one stays in use; an empty one in its place would stop all service. A list
// without a change does not disturb the pools.
func TestLostList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		list, lost := []cataloguer.Entry{{ID: "a", Slots: 1}}, error(nil)
		set := func(l []cataloguer.Entry, err error) {
			mu.Lock()
			defer mu.Unlock()
			list, lost = l, err
		}
		var changes [][]cataloguer.Entry
		c := &cataloguer.Cataloguer{
			Source: source(func() ([]cataloguer.Entry, error) {
				mu.Lock()
				defer mu.Unlock()
				return list, lost
			}),
			Changed: func(l []cataloguer.Entry) { changes = append(changes, l) },
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = c.Run(ctx)
		}()
		time.Sleep(5 * time.Second)
		set(nil, errors.New("no answer"))
		time.Sleep(5 * time.Second)
		if !c.Known() {
			t.Error("a list that was read once is no longer known")
		}
		set([]cataloguer.Entry{{ID: "a", Slots: 1, Leaving: true}}, nil)
		time.Sleep(3 * time.Second)
		cancel()
		<-ended
		want := [][]cataloguer.Entry{{{ID: "a", Slots: 1}}, {{ID: "a", Slots: 1, Leaving: true}}}
		if diff := cmp.Diff(want, changes); diff != "" {
			t.Errorf("changes (-want +got):\n%s", diff)
		}
	})
}

// A leaving endpoint must be known within the time after which it may receive no more requests, whatever the jitter.
func TestInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var reads []time.Time
		c := &cataloguer.Cataloguer{
			Source:  source(func() ([]cataloguer.Entry, error) { reads = append(reads, time.Now()); return nil, nil }),
			Changed: func([]cataloguer.Entry) {},
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_ = c.Run(ctx)
		for i := 1; i < len(reads); i++ {
			if pause := reads[i].Sub(reads[i-1]); pause > cataloguer.DefaultInterval {
				t.Fatalf("a pause of %v between two readings", pause)
			}
		}
	})
}
