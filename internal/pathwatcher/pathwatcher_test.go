package pathwatcher_test

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/pathwatcher"
)

// play runs a script and returns its lines with the results. Each line is a time and an event: "failure" asks whether a check is
// needed, and "check TRIED REACHED" records one.
func play(t *testing.T, lines []string) (out []string) {
	t.Helper()
	w := &pathwatcher.Watcher{}
	start := time.Unix(1000, 0)
	for _, line := range lines {
		event, _, _ := strings.Cut(line, " -> ")
		fields := strings.Fields(event)
		after, err := time.ParseDuration(fields[0])
		if err != nil {
			t.Fatal(err)
		}
		now, result := start.Add(after), ""
		switch fields[1] {
		case "failure":
			result = "no check"
			if w.NeedsCheck(now) {
				result = "check"
			}
		case "check":
			tried, reached := 0, 0
			if _, err := fmt.Sscan(strings.Join(fields[2:], " "), &tried, &reached); err != nil {
				t.Fatal(err)
			}
			lasted := w.LostFor(now)
			result = "no change"
			if changed := w.RecordCheck(now, tried, reached); changed && w.Lost() {
				result = "lost"
			} else if changed {
				result = fmt.Sprintf("restored after %v", lasted)
			}
		}
		out = append(out, event+" -> "+result)
	}
	return out
}

// Guards against a host that takes the failure of one endpoint for the loss of its paths, that checks at each failure, or that
// believes in a loss after an endpoint was reached.
func TestScripts(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			f, err := os.Open(path)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = f.Close() }()
			var lines []string
			for s := bufio.NewScanner(f); s.Scan(); {
				if line := strings.TrimSpace(s.Text()); line != "" && line[0] != '#' {
					lines = append(lines, line)
				}
			}
			if diff := cmp.Diff(lines, play(t, lines)); diff != "" {
				t.Errorf("script (-want +got):\n%s", diff)
			}
		})
	}
}
