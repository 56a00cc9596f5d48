package sequencer_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/replicator"
	"github.com/dragonflycroft/dragonflycroft/internal/sequencer"
)

// TestAppendWindow checks that no write fails with several appends in flight, and logs the throughput for each window in
// virtual time, with links of 0.5 ms and syncs of 1 ms.
func TestAppendWindow(t *testing.T) {
	for _, window := range []int{1, 2, 4, 8} {
		for _, writers := range []int{1, 64} {
			dir := t.TempDir()
			synctest.Test(t, func(t *testing.T) {
				files := map[string]*faultFS{}
				c := newCluster(t, dir, 3, func(s *sequencer.Sequencer) {
					withFaultFS(files)(s)
					s.AdjustOptions = func(o *replicator.Options) { o.Window = window }
				})
				defer c.crashAll()
				leader := c.leader()
				started := time.Now()
				const each = 20
				var wg sync.WaitGroup
				for w := range writers {
					wg.Go(func() {
						for i := range each {
							if _, err := leader.Propose(context.Background(), fmt.Appendf(nil, "%d/%d", w, i)); err != nil {
								t.Error(err)
							}
						}
					})
				}
				wg.Wait()
				took := time.Since(started)
				t.Logf("window=%d writers=%d: %.0f commits/s, %.2f ms per commit", window, writers,
					float64(writers*each)/took.Seconds(), took.Seconds()*1000/each)
			})
		}
	}
}
