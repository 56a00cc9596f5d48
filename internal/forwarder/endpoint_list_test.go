package forwarder

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/cataloguer"
	"github.com/dragonflycroft/dragonflycroft/internal/router"
)

// Guards against a list of endpoints that stays in force after a newer one has been read: a new table is applied with the list that
// was current when it began to be applied, and another goroutine passes on a newer list meanwhile.
func TestNewerListDuringAChangeOfTheTable(t *testing.T) {
	began, proceed := make(chan struct{}), make(chan struct{})
	var inForce []string
	l := &endpointList{}
	l.Apply = func(endpoints []balancer.Endpoint, index *router.Index) {
		if index != nil && len(endpoints) == 2 {
			close(began)
			<-proceed
		}
		inForce = nil
		for _, e := range endpoints {
			inForce = append(inForce, e.ID)
		}
	}
	l.setEntries([]cataloguer.Entry{{ID: "gone"}, {ID: "kept"}})
	tableApplied, listApplied := make(chan struct{}), make(chan struct{})
	go func() {
		l.setIndex(router.NewIndex(&router.Table{}))
		close(tableApplied)
	}()
	<-began
	go func() {
		l.setEntries([]cataloguer.Entry{{ID: "kept"}})
		close(listApplied)
	}()
	// Without an order of the two changes, the newer list is applied within this time.
	select {
	case <-listApplied:
	case <-time.After(100 * time.Millisecond):
	}
	close(proceed)
	<-tableApplied
	<-listApplied
	if diff := cmp.Diff([]string{"kept"}, inForce); diff != "" {
		t.Errorf("endpoints in force (-want +got):\n%s", diff)
	}
}
