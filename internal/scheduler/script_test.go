package scheduler_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rogpeppe/go-internal/txtar"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
)

// TestScripts runs the event scripts in testdata. A line such as "500ms submit r1 tier=snappy" is an event at a time; the lines
// below it that start with ">" are the expected actions. The head of each script describes the failure it guards against.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txtar"), func(t *testing.T) { runScript(t, f) })
	}
}

func runScript(t *testing.T, file string) {
	archive, err := txtar.ParseFile(file)
	if err != nil {
		t.Fatal(err)
	}
	files := make(map[string]string)
	for _, f := range archive.Files {
		files[f.Name] = string(f.Data)
	}
	if files["config.json"] == "" {
		shared, err := os.ReadFile("testdata/config.json")
		if err != nil {
			t.Fatal(err)
		}
		files["config.json"] = string(shared)
	}
	var cfg configurer.Config
	if err := json.Unmarshal([]byte(files["config.json"]), &cfg); err != nil {
		t.Fatal(err)
	}
	s := scheduler.New(scheduler.Options{Pool: "pool", Seed: 1, Hosts: []string{"h"}})
	var want, got []string
	for line := range strings.Lines(files["script"]) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		want = append(want, line)
		if strings.HasPrefix(line, ">") {
			continue
		}
		got = append(got, line)
		fields := strings.Fields(line)
		now, err := time.ParseDuration(fields[0])
		if err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		for _, a := range s.Step(now, parseEvent(t, fields[1:], &cfg)) {
			if text := formatAction(a); text != "" {
				got = append(got, "> "+text)
			}
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", strings.TrimSpace(string(archive.Comment)), diff)
	}
}

// formatAction returns an action as the scripts write it, or an empty string for an action that they leave out.
func formatAction(a scheduler.Action) string {
	switch a := a.(type) {
	case scheduler.Grant:
		return fmt.Sprintf("grant %s %s", a.RequestID, a.Endpoint)
	case scheduler.Refuse:
		return fmt.Sprintf("refuse %s %s %s", a.RequestID, a.Reason, a.RetryAfter)
	case scheduler.CancelRun:
		return fmt.Sprintf("cancel %s", a.RequestID)
	case scheduler.AskShedPermit:
		return fmt.Sprintf("ask %d", a.Tier)
	case scheduler.ShareSuspect:
		return fmt.Sprintf("suspect %s %d %s", a.Fingerprint, a.Crashes, a.RefusedFor)
	case scheduler.ConfirmClosed:
		return fmt.Sprintf("confirm %d", a.Below)
	}
	return ""
}

// parseEvent returns the event of a script line from its words after the time.
func parseEvent(t *testing.T, f []string, cfg *configurer.Config) scheduler.Event {
	number := func(s string) int {
		n, err := strconv.Atoi(s)
		if err != nil {
			t.Fatalf("%v: %v", f, err)
		}
		return n
	}
	arg := func(i int) string {
		if i < len(f) {
			return f[i]
		}
		return ""
	}
	list := func(s string) []string {
		return strings.FieldsFunc(s, func(r rune) bool { return r == ',' })
	}
	switch f[0] {
	case "config":
		c := *cfg
		c.Endpoints = nil
		for _, e := range cfg.Endpoints {
			e.Drain = strings.Contains(arg(2), e.Name)
			c.Endpoints = append(c.Endpoints, e)
		}
		return scheduler.Configure{Version: uint64(number(f[1])), Config: &c}
	case "synced":
		ev := scheduler.HostSynced{Host: f[1], Zone: "z1"}
		for _, a := range f[2:] {
			if fp, ok := strings.CutPrefix(a, "suspect="); ok {
				ev.Suspects = append(ev.Suspects, scheduler.Suspect{Fingerprint: fp, Crashes: 1})
				continue
			}
			id, endpoint, running := strings.Cut(a, "@")
			d := descriptor(t, []string{id})
			if running {
				ev.Running = append(ev.Running, scheduler.Run{Descriptor: d, Endpoint: endpoint})
			} else {
				ev.Waiting = append(ev.Waiting, d)
			}
		}
		return ev
	case "lost":
		return scheduler.HostLost{Host: f[1]}
	case "submit":
		return scheduler.Submit{Host: "h", Descriptor: descriptor(t, f[1:])}
	case "started":
		return scheduler.Started{Host: "h", RequestID: f[1], Endpoint: f[2]}
	case "declined":
		return scheduler.Declined{Host: "h", RequestID: f[1], Endpoint: f[2], Reason: scheduler.DeclineReason(f[3])}
	case "progress":
		return scheduler.Progress{RequestID: f[1], OutputTokens: number(f[2])}
	case "finished":
		return scheduler.Finished{RequestID: f[1], Outcome: f[2], PromptTokens: 100, OutputTokens: 50}
	case "cancelled":
		return scheduler.Cancelled{RequestID: f[1]}
	case "failed":
		return scheduler.EndpointFailed{Endpoint: f[1], Cause: scheduler.FailureCause(f[2]), RequestIDs: list(arg(3))}
	case "listed":
		age, err := time.ParseDuration(f[1])
		if err != nil {
			t.Fatal(err)
		}
		return scheduler.HostsListed{
			Age: age, Live: list(strings.TrimPrefix(f[2], "live=")), Leaving: list(strings.TrimPrefix(arg(3), "leaving=")),
		}
	case "load":
		return scheduler.LoadReported{Endpoint: f[1], Running: number(f[2])}
	case "cache":
		ev := scheduler.CacheChanged{Endpoint: f[1], Seq: uint64(number(f[2]))}
		for _, b := range list(arg(3)) {
			ev.Added = append(ev.Added, uint64(number(b)))
		}
		return ev
	case "closed":
		return scheduler.TiersClosed{Below: number(f[1])}
	case "permit":
		return scheduler.ShedPermitted{Tier: number(f[1]), Duration: 3 * time.Second}
	case "tick":
		return scheduler.Tick{}
	}
	t.Fatalf("unknown event %v", f)
	return nil
}

// descriptor returns a descriptor with defaults, from a request ID and its key=value fields.
func descriptor(t *testing.T, f []string) scheduler.Descriptor {
	d := scheduler.Descriptor{
		RequestID: f[0], Workspace: "w", Caller: "c", Tier: "snappy", Kind: "chat", Model: "m", Zone: "z1",
		PromptTokens: 100, MaxOutputTokens: 100,
	}
	for _, a := range f[1:] {
		k, v, _ := strings.Cut(a, "=")
		n, _ := strconv.Atoi(v)
		switch k {
		case "ws":
			d.Workspace = v
		case "caller":
			d.Caller = v
		case "tier":
			d.Tier = v
		case "model":
			d.Model = v
		case "adapter":
			d.Adapter = v
		case "prompt":
			d.PromptTokens = n
		case "out":
			d.MaxOutputTokens = n
		case "print":
			d.Fingerprint = v
		case "remaining":
			d.Remaining = time.Duration(n) * time.Millisecond
		case "blocks":
			for b := range strings.SplitSeq(v, ",") {
				n, _ := strconv.Atoi(b)
				d.PrefixBlocks = append(d.PrefixBlocks, uint64(n))
			}
		default:
			t.Fatalf("unknown descriptor field %s", k)
		}
	}
	return d
}
