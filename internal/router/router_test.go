package router_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/router"
)

// The longest prefix of a host decides; a wrong one sends requests to another pool.
func TestRule(t *testing.T) {
	x := router.NewIndex(&router.Table{Rules: []router.Rule{
		{Name: "a", Host: "h.example", PathPrefix: "/a/"},
		{Name: "ab", Host: "h.example", PathPrefix: "/a/b/"},
		{Name: "other", Host: "other.example", PathPrefix: "/a/"},
	}})
	got := map[string]string{}
	for _, at := range [][2]string{
		{"h.example", "/a/x"}, {"h.example", "/a/b/x"}, {"h.example", "/a/b"}, {"H.Example:80", "/a/"}, {"h.example", "/b/"}, {"none", "/a/"},
	} {
		if r := x.Rule(at[0], at[1]); r != nil {
			got[at[0]+at[1]] = r.Name
		}
	}
	want := map[string]string{"h.example/a/x": "a", "h.example/a/b/x": "ab", "h.example/a/b": "a", "H.Example:80/a/": "a"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("rules (-want +got):\n%s", diff)
	}
}

// Shares follow the weights, and one request has the same pool on every host.
func TestChoose(t *testing.T) {
	r := &router.Rule{Targets: []router.Target{{Pool: "a", Weight: 90}, {Pool: "b", Weight: 10}, {Pool: "none", Weight: 0}}}
	got := map[string]int{}
	const requests = 10_000
	for i := range requests {
		id := string(rune(i)) + "x"
		pool := r.Choose(id)
		got[pool]++
		if again := r.Choose(id); again != pool {
			t.Fatalf("request %q has the pools %q and %q", id, pool, again)
		}
	}
	if share := float64(got["b"]) / requests; share < 0.08 || share > 0.12 || got["none"] != 0 {
		t.Errorf("shares %v, want 0.9, 0.1 and none", got)
	}
}

func TestKeys(t *testing.T) {
	x := router.NewIndex(&router.Table{Workspaces: []router.Workspace{{Name: "w", Keys: []string{"k1", "k2"}}}})
	if w := x.WorkspaceByKey("k2"); w == nil || w.Name != "w" || x.WorkspaceByKey("") != nil || x.WorkspaceByKey("k") != nil {
		t.Errorf("key k2 belongs to %v", w)
	}
}
