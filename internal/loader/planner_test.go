package loader_test

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/connector"
	"github.com/dragonflycroft/dragonflycroft/internal/loader"
)

func config(checks bool, models ...[]string) *configurer.Config {
	cfg := &configurer.Config{Pools: []configurer.Pool{{Name: "chat", Kind: configurer.KindModel}}}
	for i, m := range models {
		cfg.Endpoints = append(cfg.Endpoints, configurer.Endpoint{
			Name: string(rune('a' + i)), Pool: "chat", Models: m, ChecksFencing: checks,
		})
	}
	return cfg
}

func options() loader.Options {
	return loader.Options{
		Epoch: 7, LoadInterval: 10 * time.Second, PreviousLease: time.Second, OrderDelay: 5 * time.Second, OrderTimeout: time.Minute,
	}
}

func order(endpoint string, kind connector.OrderKind, model, reason string) loader.PlannedOrder {
	return loader.PlannedOrder{Endpoint: endpoint, Order: connector.Order{Kind: kind, Model: model, Fence: 7}, Reason: reason}
}

const (
	missing      = "configured model is missing"
	unconfigured = "model is not configured"
)

// Guards against loads above the bandwidth of the weight store, and against a second order to an engine before the first is
// confirmed or has timed out.
func TestLoadsArePacedAndConfirmed(t *testing.T) {
	p := loader.New(options())
	p.Configure(config(true, []string{"m"}, []string{"m"}))
	p.Observe("a", connector.Inventory{}, nil)
	p.Observe("b", connector.Inventory{}, nil)
	steps := []struct {
		at   time.Duration
		want []loader.PlannedOrder
	}{
		{0, []loader.PlannedOrder{order("a", connector.OrderLoad, "m", missing)}},
		{time.Second, nil},
		{10 * time.Second, []loader.PlannedOrder{order("b", connector.OrderLoad, "m", missing)}},
		{30 * time.Second, nil},
		{70 * time.Second, []loader.PlannedOrder{order("a", connector.OrderLoad, "m", missing)}},
	}
	for _, step := range steps {
		if diff := cmp.Diff(step.want, p.Plan(step.at)); diff != "" {
			t.Errorf("at %v (-want +got):\n%s", step.at, diff)
		}
	}
}

// Guards against unloading a model from the last endpoint that serves it.
func TestLastEndpointOfAModelIsKept(t *testing.T) {
	p := loader.New(options())
	p.Configure(config(true, []string{"n"}, []string{"m"}))
	p.Observe("a", connector.Inventory{Models: []string{"m", "n"}}, nil)
	p.Observe("b", connector.Inventory{}, errors.New("silent"))
	if got := p.Plan(0); got != nil {
		t.Errorf("planned %v while no other endpoint is known to serve the model", got)
	}
	p.Observe("b", connector.Inventory{Models: []string{"m"}}, nil)
	want := []loader.PlannedOrder{order("a", connector.OrderUnload, "m", unconfigured)}
	if diff := cmp.Diff(want, p.Plan(time.Second)); diff != "" {
		t.Errorf("orders (-want +got):\n%s", diff)
	}
}

// Guards against orders that overlap with those of the previous leader at engines that ignore fencing numbers, and against
// orders to engines that have accepted an order of a newer leader.
func TestFencing(t *testing.T) {
	p := loader.New(options())
	p.Configure(config(false, []string{"m"}))
	p.Observe("a", connector.Inventory{}, nil)
	if got := p.Plan(0); got != nil {
		t.Errorf("planned %v while orders of the previous leader may still take effect", got)
	}
	if got := p.Plan(6 * time.Second); len(got) != 1 {
		t.Errorf("planned %d orders after the wait, want 1", len(got))
	}
	p = loader.New(options())
	p.Configure(config(true, []string{"m"}))
	p.Observe("a", connector.Inventory{Fence: 8}, nil)
	if got := p.Plan(time.Minute); got != nil {
		t.Errorf("planned %v for an engine with a newer fence", got)
	}
}
