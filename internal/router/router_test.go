package router_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/router"
)

// Guards against a rule other than the one with the longest matching prefix, which would send requests to another pool.
func TestRule(t *testing.T) {
	x := router.NewIndex(&router.Table{Rules: []router.Rule{
		{Name: "a", Host: "h.example", PathPrefix: "/a/"},
		{Name: "ab", Host: "h.example", PathPrefix: "/a/b/"},
		{Name: "other", Host: "other.example", PathPrefix: "/a/"},
	}})
	got := map[string]string{}
	for _, target := range [][2]string{
		{"h.example", "/a/x"}, {"h.example", "/a/b/x"}, {"h.example", "/a/b"}, {"H.Example:80", "/a/"}, {"h.example", "/b/"}, {"none", "/a/"},
	} {
		if r := x.Rule(target[0], target[1]); r != nil {
			got[target[0]+target[1]] = r.Name
		}
	}
	want := map[string]string{"h.example/a/x": "a", "h.example/a/b/x": "ab", "h.example/a/b": "a", "H.Example:80/a/": "a"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("rules (-want +got):\n%s", diff)
	}
}

// Guards against shares that differ from the weights, and against a pool that differs between two lookups of a request.
func TestChoose(t *testing.T) {
	r := &router.Rule{Targets: []router.Target{{Pool: "a", Weight: 90}, {Pool: "b", Weight: 10}, {Pool: "none", Weight: 0}}}
	got := map[string]int{}
	const requests = 10_000
	for i := range requests {
		id := string(rune(i)) + "x"
		pool := r.ChoosePool(id)
		got[pool]++
		if again := r.ChoosePool(id); again != pool {
			t.Fatalf("request %q was assigned to pools %q and %q", id, pool, again)
		}
	}
	if share := float64(got["b"]) / requests; share < 0.08 || share > 0.12 || got["none"] != 0 {
		t.Errorf("requests by pool %v, want shares of 0.9 for a, 0.1 for b and 0 for none", got)
	}
}

func TestWorkspaceByKey(t *testing.T) {
	x := router.NewIndex(&router.Table{Workspaces: []router.Workspace{{Name: "w", Keys: []string{"k1", "k2"}}}})
	if w := x.WorkspaceByKey("k2"); w == nil || w.Name != "w" || x.WorkspaceByKey("") != nil || x.WorkspaceByKey("k") != nil {
		t.Errorf("key k2 maps to workspace %v, want w and no workspace for unknown keys", w)
	}
}
