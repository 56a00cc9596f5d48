package distributor_test

import (
	"fmt"
	"testing"

	"github.com/dragonflycroft/dragonflycroft/internal/distributor"
	"github.com/dragonflycroft/dragonflycroft/internal/marshaller"
)

// Guards against a host without a parent, with two parents, or at a greater depth than expected for the number of hosts.
func TestEveryHostHasOneParent(t *testing.T) {
	for size, levels := range map[int]int{1: 0, 2: 1, 9: 1, 17: 1, 18: 2, 60: 2, 273: 2, 274: 3, 640: 3} {
		var members []marshaller.Member
		for i := range size {
			members = append(members, marshaller.Member{Host: fmt.Sprintf("h%03d", i)})
		}
		leader := members[size/2].Host
		parents := map[string]string{}
		for _, m := range members {
			_, children := distributor.Position(leader, m.Host, members)
			if len(children) > distributor.FanOut {
				t.Errorf("%d hosts: %s has %d children", size, m.Host, len(children))
			}
			for _, c := range children {
				if parents[c.Host] != "" {
					t.Errorf("%d hosts: %s has two parents", size, c.Host)
				}
				parents[c.Host] = m.Host
			}
		}
		deepest := 0
		for _, m := range members {
			parent, _ := distributor.Position(leader, m.Host, members)
			if parent.Host != parents[m.Host] {
				t.Errorf("%d hosts: parent of %s is %q, but %q lists it as a child", size, m.Host, parent.Host, parents[m.Host])
			}
			depth := 0
			for at := m.Host; at != leader; at = parents[at] {
				if depth++; depth > size {
					t.Fatalf("%d hosts: %s is not connected to the leader", size, m.Host)
				}
			}
			deepest = max(deepest, depth)
		}
		if deepest != levels {
			t.Errorf("%d hosts: %d levels, want %d", size, deepest, levels)
		}
	}
}
