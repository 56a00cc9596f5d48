package gateway_test

import (
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/router"
)

// Guards against routes that open when the last workspace is taken away, so that requests with a revoked key run, and against keys that are
// required by a table that never had workspaces.
func TestKeysWithoutWorkspaces(t *testing.T) {
	e := startFakeEndpoint(t, "e1", func(_ int, r *http.Request) ([]string, bool) {
		return []string{response(r, http.StatusOK, signed, "done")}, false
	})
	h := startTestHost(t, e)
	withKeys := *h.index.Load().Table()
	got := map[string]int{}
	for _, c := range []struct {
		name  string
		table router.Table
	}{
		{"workspaces", withKeys},
		{"empty list", router.Table{Revision: 2, RequiresKeys: true, Rules: withKeys.Rules, Pools: withKeys.Pools}},
		{"workspaces again", withKeys},
		{"no list", router.Table{Revision: 3, Rules: withKeys.Rules, Pools: withKeys.Pools}},
	} {
		index := router.NewIndex(&c.table)
		h.gateway.SetTable(index)
		h.index.Store(index)
		for _, key := range []string{"k", "unknown"} {
			status, _, _, _ := h.send(t, postRequest("/order/", key))
			got[c.name+", key "+key] = status
		}
		public := c.table
		public.Rules = append([]router.Rule(nil), public.Rules...)
		public.Rules[0].Public = true
		index = router.NewIndex(&public)
		h.index.Store(index)
		status, _, _, _ := h.send(t, postRequest("/order/", "unknown"))
		got[c.name+", public rule"] = status
	}
	want := map[string]int{
		"workspaces, key k": 200, "workspaces, key unknown": 401, "workspaces, public rule": 200,
		"empty list, key k": 401, "empty list, key unknown": 401, "empty list, public rule": 200,
		"workspaces again, key k": 200, "workspaces again, key unknown": 401, "workspaces again, public rule": 200,
		"no list, key k": 200, "no list, key unknown": 200, "no list, public rule": 200,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("statuses (-want +got):\n%s", diff)
	}
}
