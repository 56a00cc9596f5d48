package scenariorunner_test

import (
	"flag"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/dragonflycroft/dragonflycroft/internal/scenariorunner"
	"github.com/google/go-cmp/cmp"
)

// long also selects the scenarios that take minutes: go test ./internal/scenariorunner -long -timeout 30m
var long = flag.Bool("long", false, "run the long scenarios too")

// Checks the guarantees of the system on real processes: each scenario injects failures, and then the records of the endpoints
// are compared with the outcomes that callers received.
func TestScenarios(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "dragonflycroft")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/dragonflycroft").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	openSources(t)
	config, err := os.ReadFile("../../examples/kessler.json")
	if err != nil {
		t.Fatal(err)
	}
	pattern := "testdata/short/*.txt"
	if *long {
		pattern = "testdata/*/*.txt"
	}
	files, err := filepath.Glob(pattern)
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenarios: %v", err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".txt")
		t.Run(name, func(t *testing.T) { runScenario(t, binary, config, file) })
	}
}

// openSources opens all source files of the module. The program is built by a separate command, so the test cache does not track
// its sources as dependencies, but it tracks files that a test opens: a changed source makes the cached result invalid.
func openSources(t *testing.T) {
	err := filepath.WalkDir("../..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != ".go" {
			return err
		}
		f, err := os.Open(path)
		if err != nil {
			return err
		}
		return f.Close()
	})
	if err != nil {
		t.Fatal(err)
	}
}

func runScenario(t *testing.T, binary string, config []byte, file string) {
	dir := t.TempDir()
	r := &scenariorunner.Runner{Binary: binary, Dir: dir, Config: config, Logf: t.Logf}
	report, err := r.RunFile(t.Context(), file)
	if err != nil {
		copyLogs(t, dir)
		t.Fatal(err)
	}
	t.Logf("%s", report)
	if diff := cmp.Diff([]string(nil), report.Breaches()); diff != "" {
		copyLogs(t, dir)
		t.Errorf("breaches (-want +got):\n%s", diff)
	}
}

// copyLogs copies the logs of the hosts to the folder in SCENARIO_LOGS, if set, for the analysis of a failure.
func copyLogs(t *testing.T, dir string) {
	target := os.Getenv("SCENARIO_LOGS")
	if target == "" {
		return
	}
	logs, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	for _, log := range logs {
		data, err := os.ReadFile(log)
		if err != nil {
			t.Log(err)
			continue
		}
		name := strings.ReplaceAll(t.Name(), "/", "_") + "_" + filepath.Base(log)
		if err := os.WriteFile(filepath.Join(target, name), data, 0o644); err != nil {
			t.Log(err)
		}
	}
}
