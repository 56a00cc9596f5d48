// Package distributor distributes the configuration along a tree of hosts, so that the load on the control leader does not
// grow with the number of hosts.
package distributor

import (
	"slices"
	"strings"

	"github.com/dragonflycroft/dragonflycroft/internal/marshaller"
)

// FanOut is the maximum number of children of a host. With 16, 640 hosts are at most three levels below the leader.
const FanOut = 16

// Position returns the parent and the children of a host in the tree. The leader is the root; the other members follow level
// by level, sorted by host id. The parent of a host that is not a member is the leader.
func Position(leader, self string, members []marshaller.Member) (parent marshaller.Member, children []marshaller.Member) {
	order := treeOrder(leader, members)
	index := slices.IndexFunc(order, func(m marshaller.Member) bool { return m.Host == self })
	if index < 0 {
		return order[0], nil
	}
	first := index*FanOut + 1
	if first < len(order) {
		children = order[first:min(first+FanOut, len(order))]
	}
	if index == 0 {
		return marshaller.Member{}, children
	}
	return order[(index-1)/FanOut], children
}

// LeaderAndChildren returns the leader followed by its direct children.
func LeaderAndChildren(leader string, members []marshaller.Member) []marshaller.Member {
	order := treeOrder(leader, members)
	return order[:min(len(order), FanOut+1)]
}

// treeOrder returns the members in the order of the tree's levels: the leader, then the others sorted by host id.
func treeOrder(leader string, members []marshaller.Member) []marshaller.Member {
	order := make([]marshaller.Member, 1, len(members)+1)
	order[0] = marshaller.Member{Host: leader}
	for _, m := range members {
		if m.Host == leader {
			order[0] = m
			continue
		}
		order = append(order, m)
	}
	slices.SortFunc(order[1:], func(a, b marshaller.Member) int { return strings.Compare(a.Host, b.Host) })
	return order
}
