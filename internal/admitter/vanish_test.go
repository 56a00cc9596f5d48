package admitter_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/admitter"
	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
)

// Guards against a request that waits for a pool which disappears from the list and is neither granted an endpoint nor refused.
func TestWaitForVanishedPoolEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balancer.New("z")
		b.SetEndpoints(time.Now(), []balancer.Endpoint{{ID: "e", Addr: "e", Zone: "z", Pool: "p", Slots: 1}})
		a := admitter.New(b)
		for {
			if _, err := a.Acquire(t.Context(), admitter.Request{Pool: "p"}); err != nil {
				break
			}
		}
		result := make(chan error, 1)
		go func() {
			_, err := a.Acquire(t.Context(), admitter.Request{Pool: "p", Patience: 3 * time.Second})
			result <- err
		}()
		synctest.Wait()
		if _, waiting := a.Room(time.Now(), "p"); waiting != 1 {
			t.Fatalf("%d requests wait, want 1", waiting)
		}
		a.Update(func(b *balancer.Balancer) { b.SetEndpoints(time.Now(), nil) })
		time.Sleep(4 * time.Second)
		synctest.Wait()
		select {
		case err := <-result:
			var refused *admitter.RefusedError
			if !errors.As(err, &refused) || refused.RetryAfter <= 0 {
				t.Errorf("error %v, want a refusal with a retry delay", err)
			}
		default:
			t.Fatal("the request still waits after its patience")
		}
	})
}
