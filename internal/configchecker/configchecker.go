// Package configchecker finds what is wrong, useless or contradictory in an ingress table before it is sent, and what differs from the table in
// force. Errors come from the table's own validation.
package configchecker

import (
	"cmp"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/dragonflycroft/dragonflycroft/internal/router"
)

// Severity is how serious a finding is.
type Severity string

// The severities.
const (
	// Error means that the table is refused.
	Error Severity = "error"
	// Warning means that an entry can never match or that limits contradict each other.
	Warning Severity = "warning"
	// Change means a difference from the table in force.
	Change Severity = "change"
)

// Finding is one result of a check.
type Finding struct {
	Severity Severity `json:"severity"`
	// Line is the line of the entry in the document; 0 if it is not known.
	Line int `json:"line,omitempty"`
	// Path is the entry, such as rules.NAME.
	Path    string `json:"path"`
	Message string `json:"message"`
}

// Limits are what a host accepts at most, whatever a table says.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
}

// Check returns what is wrong with a table.
func Check(t *router.Table, limits Limits) []Finding {
	var out []Finding
	var invalid *router.InvalidError
	if err := t.Validate(); errors.As(err, &invalid) {
		out = append(out, Finding{Severity: Error, Path: invalid.Path, Message: invalid.Reason})
	}
	warn := func(path, format string, args ...any) {
		out = append(out, Finding{Severity: Warning, Path: path, Message: fmt.Sprintf(format, args...)})
	}
	used := map[string]bool{}
	for _, r := range t.Rules {
		checkRule(&r, warn)
		for _, target := range r.Targets {
			used[target.Pool] = used[target.Pool] || target.Weight > 0
		}
	}
	for _, p := range t.Pools {
		if !used[p.Name] {
			warn("pools."+p.Name, "no rule sends requests to it")
		}
	}
	for _, w := range t.Workspaces {
		checkWorkspace(&w, warn)
	}
	switch x := router.NewIndex(t); {
	case !x.RequiresKeys():
		warn("workspaces", "there is no list, so that requests need no key")
	case x.KeyCount() == 0:
		warn("workspaces", "no workspace has a key, so that only public rules are served")
	}
	if limits.HeaderBytes > 0 && t.Limits.MaxHeaderBytes > limits.HeaderBytes {
		warn("limits", "heads of %d bytes are allowed, but hosts accept at most %d", t.Limits.MaxHeaderBytes, limits.HeaderBytes)
	}
	if limits.BodyBytes > 0 && t.Limits.MaxBodyBytes > limits.BodyBytes {
		warn("limits", "bodies of %d bytes are allowed, but hosts of this memory hold at most %d", t.Limits.MaxBodyBytes, limits.BodyBytes)
	}
	return out
}

func checkRule(r *router.Rule, warn func(path, format string, args ...any)) {
	path := "rules." + r.Name
	if r.LatencyTarget > r.Timeout {
		warn(path, "the latency target of %v is above the timeout of %v", r.LatencyTarget, r.Timeout)
	}
	if r.Kind == router.Streaming && r.EventGap > r.Timeout {
		warn(path, "the gap of %v between two events is above the timeout of %v", r.EventGap, r.Timeout)
	}
	if r.Kind != router.Streaming && (r.EventGap > 0 || r.Resumable) {
		warn(path, "resumption and the gap between two events have no effect, since it is not streaming")
	}
	for _, target := range r.Targets {
		if target.Weight == 0 {
			warn(path, "its target %q has weight 0 and gets no requests", target.Pool)
		}
	}
	if r.Host == "" {
		warn(path, "it has no host, so that no request matches it")
	}
}

func checkWorkspace(w *router.Workspace, warn func(path, format string, args ...any)) {
	path := "workspaces." + w.Name
	switch {
	case len(w.Keys) == 0:
		warn(path, "it has no key, so that no request matches it")
	case slices.Contains(w.Keys, ""):
		warn(path, "an empty key matches no request")
	}
	if w.Rate <= 0 && w.Burst > 0 {
		warn(path, "its burst has no effect without a rate")
	}
	if w.Rate > 0 && w.Rate+w.Burst < w.DefaultCost {
		warn(path, "a request costs %v, but its rate of %v and burst of %v never allow so much", w.DefaultCost, w.Rate, w.Burst)
	}
}

// Compare returns what differs between the table in force and the next one.
func Compare(inForce, next *router.Table) []Finding {
	var out []Finding
	if next.Revision <= inForce.Revision {
		out = append(out, Finding{
			Severity: Error, Path: "version", Message: fmt.Sprintf("%d is not above %d, which is in force, so that nothing would change", next.Revision, inForce.Revision),
		})
	}
	out = append(out, compare("rules", inForce.Rules, next.Rules, func(r router.Rule) string { return r.Name })...)
	out = append(out, compare("pools", inForce.Pools, next.Pools, func(p router.Pool) string { return p.Name })...)
	out = append(out, compare("workspaces", inForce.Workspaces, next.Workspaces, func(w router.Workspace) string { return w.Name })...)
	if before, after := router.NewIndex(inForce).RequiresKeys(), router.NewIndex(next).RequiresKeys(); before != after {
		out = append(out, Finding{Severity: Change, Path: "workspaces", Message: fmt.Sprintf("keys required: %t, then %t", before, after)})
	}
	if fields := changedFields(inForce.Limits, next.Limits); len(fields) > 0 {
		out = append(out, Finding{Severity: Change, Path: "limits", Message: strings.Join(fields, "; ")})
	}
	return out
}

// compare returns the entries of a list that were added, removed or changed.
func compare[T any](list string, before, after []T, name func(T) string) []Finding {
	var out []Finding
	known := map[string]T{}
	for _, e := range before {
		known[name(e)] = e
	}
	for _, e := range after {
		path := list + "." + name(e)
		old, found := known[name(e)]
		delete(known, name(e))
		if !found {
			out = append(out, Finding{Severity: Change, Path: path, Message: "added"})
		} else if fields := changedFields(old, e); len(fields) > 0 {
			out = append(out, Finding{Severity: Change, Path: path, Message: strings.Join(fields, "; ")})
		}
	}
	for removed := range known {
		out = append(out, Finding{Severity: Change, Path: list + "." + removed, Message: "removed"})
	}
	slices.SortFunc(out, func(a, b Finding) int { return cmp.Compare(a.Path, b.Path) })
	return out
}

// changedFields returns the fields of a struct that differ. Keys are secrets, so only their number is stated.
func changedFields(before, after any) []string {
	var out []string
	x, y := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range x.NumField() {
		name, old, changed := x.Type().Field(i).Name, x.Field(i).Interface(), y.Field(i).Interface()
		switch {
		case reflect.DeepEqual(old, changed):
		case name == "Keys":
			out = append(out, fmt.Sprintf("%s changed (%d, then %d)", name, x.Field(i).Len(), y.Field(i).Len()))
		case x.Field(i).Kind() == reflect.Pointer:
			out = append(out, name+" changed")
		default:
			out = append(out, fmt.Sprintf("%s %v, then %v", name, old, changed))
		}
	}
	return out
}
