package scheduler_test

import (
	"testing"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
)

func listConfig() *configurer.Config {
	return &configurer.Config{
		Tiers:      []configurer.Tier{{Name: "snappy", FirstTokenTargetMS: 740, TokenGapTargetMS: 46, Share: 1}},
		Workspaces: []configurer.Workspace{{Name: "w"}},
		Pools:      []configurer.Pool{{Name: "chat", Kind: configurer.KindModel, Models: []string{"m"}}},
		Endpoints: []configurer.Endpoint{
			{Name: "e1", Pool: "chat", Zone: "z1", Models: []string{"m"}},
			{Name: "e2", Pool: "chat", Zone: "z1", Models: []string{"m"}},
		},
	}
}

// TestNewHolderWaitsForTheHostList guards against a new holder that grants work, before it has read the platform's host list,
// to an endpoint that started to leave long before.
func TestNewHolderWaitsForTheHostList(t *testing.T) {
	for _, test := range []struct {
		name   string
		listed bool
		want   string
	}{
		{"list read", true, "e2"},
		{"list not to be had", false, "e1"},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := scheduler.New(scheduler.Options{Pool: "chat", HostListTimeout: 3 * time.Second, Hosts: []string{"h"}})
			var granted []string
			step := func(now time.Duration, ev scheduler.Event) {
				for _, a := range s.Step(now, ev) {
					if g, ok := a.(scheduler.Grant); ok {
						granted = append(granted, g.Endpoint)
					}
				}
			}
			step(0, scheduler.Configure{Version: 1, Config: listConfig()})
			step(0, scheduler.HostSynced{Host: "h", Zone: "z1"})
			d := scheduler.Descriptor{
				RequestID: "r", Workspace: "w", Caller: "c", Tier: "snappy", Kind: "chat", Model: "m", PromptTokens: 10, MaxOutputTokens: 10,
				Zone: "z1",
			}
			step(0, scheduler.Submit{Host: "h", Descriptor: d})
			step(2*time.Second, scheduler.Tick{})
			if len(granted) != 0 {
				t.Fatalf("granted %v before the first host list arrived", granted)
			}
			if test.listed {
				step(2*time.Second, scheduler.HostsListed{Live: []string{"e2"}, Leaving: []string{"e1"}})
			}
			step(3*time.Second, scheduler.Tick{})
			if len(granted) != 1 || test.listed && granted[0] != test.want {
				t.Fatalf("granted %v, want one grant at %s", granted, test.want)
			}
		})
	}
}
