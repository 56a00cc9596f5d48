package correlator_test

import (
	"bytes"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/rogpeppe/go-internal/txtar"

	"github.com/dragonflycroft/dragonflycroft/internal/correlator"
)

// Guards against log lines that lose the inputs of a decision, so that on-call engineers cannot explain a failed request. Each
// file contains the logs of some hosts, the ID of a failed request and the expected timeline, as described in docs/OPERATIONS.md.
func TestTimelines(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatalf("no test files in testdata: %v", err)
	}
	for _, path := range files {
		t.Run(filepath.Base(path), func(t *testing.T) {
			archive, err := txtar.ParseFile(path)
			if err != nil {
				t.Fatal(err)
			}
			var logs []correlator.Log
			id, want := "", ""
			for _, f := range archive.Files {
				switch f.Name {
				case "id":
					id = strings.TrimSpace(string(f.Data))
				case "story":
					want = string(f.Data)
				default:
					logs = append(logs, correlator.Log{Host: strings.TrimSuffix(f.Name, ".log"), Reader: bytes.NewReader(f.Data)})
				}
			}
			timeline, err := correlator.Correlate(id, logs)
			if err != nil {
				t.Fatal(err)
			}
			var got bytes.Buffer
			if err := timeline.Write(&got); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(want, got.String()); diff != "" {
				t.Errorf("timeline (-want +got):\n%s", diff)
			}
		})
	}
}
