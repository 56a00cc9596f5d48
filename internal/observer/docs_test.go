package observer_test

import (
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// Guards against metrics that the operator documentation does not describe, and against descriptions of metrics that no longer
// exist.
func TestMetricsAreDocumented(t *testing.T) {
	doc, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, table, found := strings.Cut(string(doc), "### Metrics")
	if !found {
		t.Fatal("docs/OPERATIONS.md has no section about metrics")
	}
	table, _, _ = strings.Cut(table, "| alarm |")
	out, err := exec.Command("grep", "-rhoE", `(observer\.NewHistogram|expvar\.New(Map|Int))\("[a-z_]+"\)`,
		"../gateway", "../cataloguer", "../acquirer", "../coordinator", "../logwriter", "--include=*.go").Output()
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, m := range regexp.MustCompile(`"([a-z_]+)"`).FindAllStringSubmatch(string(out), -1) {
		if !strings.HasPrefix(m[1], "test_") {
			names = append(names, m[1])
		}
	}
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		if !strings.Contains(table, "`"+name+"`") {
			t.Errorf("metric %s is missing from the table in docs/OPERATIONS.md", name)
		}
	}
	for _, m := range regexp.MustCompile("`((?:gateway|cataloguer|asker|coordinator|logwriter)_[a-z_]+)`").FindAllStringSubmatch(table, -1) {
		if !slices.Contains(names, m[1]) {
			t.Errorf("the table in docs/OPERATIONS.md lists %s, which no package publishes", m[1])
		}
	}
}
