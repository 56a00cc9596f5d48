package narrator_test

import (
	"bytes"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/rogpeppe/go-internal/txtar"

	"github.com/dragonflycroft/dragonflycroft/internal/narrator"
)

// Each file holds the logs of some hosts, the id of a failed request and the story that on-call engineers must find, as
// docs/OPERATIONS.md tells it. A line that loses the inputs of its decision breaks a story.
func TestStories(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatalf("no stories: %v", err)
	}
	for _, path := range files {
		t.Run(filepath.Base(path), func(t *testing.T) {
			archive, err := txtar.ParseFile(path)
			if err != nil {
				t.Fatal(err)
			}
			var logs []narrator.Log
			id, want := "", ""
			for _, f := range archive.Files {
				switch f.Name {
				case "id":
					id = strings.TrimSpace(string(f.Data))
				case "story":
					want = string(f.Data)
				default:
					logs = append(logs, narrator.Log{Host: strings.TrimSuffix(f.Name, ".log"), Reader: bytes.NewReader(f.Data)})
				}
			}
			story, err := narrator.Tell(id, logs)
			if err != nil {
				t.Fatal(err)
			}
			var got bytes.Buffer
			if err := story.Write(&got); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(want, got.String()); diff != "" {
				t.Errorf("story (-want +got):\n%s", diff)
			}
		})
	}
}
