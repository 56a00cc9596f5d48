package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/rogpeppe/go-internal/txtar"
)

// Guards against wrong command lines that are accepted, reported one at a time or without the flag's name, and against exit
// codes that differ from the documented ones. Each file holds the arguments, the environment and the expected output.
func TestCommandLines(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatalf("no cases: %v", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) {
			archive, err := txtar.ParseFile(file)
			if err != nil {
				t.Fatal(err)
			}
			dir := t.TempDir()
			sections := make(map[string]string)
			for _, f := range archive.Files {
				sections[f.Name] = string(f.Data)
				if err := os.WriteFile(filepath.Join(dir, filepath.Base(f.Name)), f.Data, 0o600); err != nil {
					t.Fatal(err)
				}
			}
			for line := range strings.Lines(sections["env"]) {
				name, value, _ := strings.Cut(strings.TrimSpace(line), "=")
				t.Setenv(name, value)
			}
			t.Chdir(dir)
			var stdout, stderr bytes.Buffer
			code := run(strings.Fields(sections["args"]), &stdout, &stderr)
			got := fmt.Sprintf("exit %d\n%s%s", code, &stdout, &stderr)
			if diff := cmp.Diff(sections["want"], got); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against help texts that lack the exit codes, flags, environment variables or first steps.
func TestHelp(t *testing.T) {
	for _, test := range []struct{ args, want string }{
		{"--help", "Exit codes:"},
		{"serve --help", "DRAGONFLYCROFT_CALLER_LISTEN"},
		{"serve --help", "First start of three control hosts"},
		{"demo --help", "--duration"},
		{"config patch --help", "--base"},
	} {
		var stdout, stderr bytes.Buffer
		if code := run(strings.Fields(test.args), &stdout, &stderr); code != exitOK || !strings.Contains(stdout.String(), test.want) {
			t.Errorf("%s: exit %d, %q is missing in\n%s%s", test.args, code, test.want, &stdout, &stderr)
		}
	}
}

// Guards against operator commands that omit the version, the patch id or the response, and against ones that fail because the
// first host is down.
func TestOperatorCommands(t *testing.T) {
	var calls []string
	answer := func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		calls = append(calls, fmt.Sprintf("%s %s %s %s %s", r.Method, r.URL, r.Header.Get("If-Match"), r.Header.Get("X-Dragonflycroft-Patch-Id"), body))
		if r.Header.Get("Authorization") != "Bearer secret" {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		if r.Header.Get("If-Match") == `"6"` {
			w.WriteHeader(http.StatusPreconditionFailed)
			_, _ = io.WriteString(w, `{"error":{"reason":"stale_version"}}`)
			return
		}
		w.Header().Set("ETag", `"7"`)
		_, _ = io.WriteString(w, `{"limits":{}}`)
	}
	host := httptest.NewServer(http.HandlerFunc(answer))
	defer host.Close()
	down := httptest.NewServer(http.NotFoundHandler())
	down.Close()
	t.Setenv("DRAGONFLYCROFT_OPERATOR", strings.TrimPrefix(down.URL, "http://")+","+strings.TrimPrefix(host.URL, "http://"))
	t.Setenv("DRAGONFLYCROFT_TOKEN", "secret")
	patch := filepath.Join(t.TempDir(), "patch")
	if err := os.WriteFile(patch, []byte(`{"limits":{"max_waiting":9}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		args, call, want string
		code             int
	}{
		{"config get", "GET /v1/config   ", `"version": 7`, exitOK},
		{"config patch --base=7 --id=p1 --file=" + patch, `PATCH /v1/config "7" p1 {"limits":{"max_waiting":9}}`, "limits", exitOK},
		{"config patch --base=6 --id=p2 --file=" + patch, `PATCH /v1/config "6" p2 {"limits":{"max_waiting":9}}`, "stale_version", exitRefused},
		{"config history --from=3 --limit=2", "GET /v1/config/history?from=3&limit=2   ", "limits", exitOK},
		{"members list", "GET /v1/members   ", "limits", exitOK},
		{"members add d --addr=127.0.0.1:1", `POST /v1/members   {"action":"add","addr":"127.0.0.1:1","id":"d"}`, "limits", exitOK},
		{"members add d --promote", `POST /v1/members   {"action":"promote","id":"d"}`, "limits", exitOK},
		{"members remove d", "DELETE /v1/members/d   ", "limits", exitOK},
		{"status", "GET /v1/status   ", "limits", exitOK},
		{"drain model-01", `POST /v1/drain/model-01   {"drain":true}`, "limits", exitOK},
		{"drain --undo model-01", `POST /v1/drain/model-01   {"drain":false}`, "limits", exitOK},
		{"status --token=wrong", "GET /v1/status   ", "401", exitRefused},
	} {
		calls = nil
		var stdout, stderr bytes.Buffer
		code := run(strings.Fields(test.args), &stdout, &stderr)
		out := stdout.String() + stderr.String()
		if code != test.code || !strings.Contains(out, test.want) || strings.Contains(out, "secret") {
			t.Errorf("%s: exit %d, want %d and %q in\n%s", test.args, code, test.code, test.want, out)
		}
		if diff := cmp.Diff([]string{test.call}, calls); diff != "" {
			t.Errorf("%s: %s", test.args, diff)
		}
	}
	t.Setenv("DRAGONFLYCROFT_OPERATOR", strings.TrimPrefix(down.URL, "http://"))
	if code := run([]string{"status"}, io.Discard, io.Discard); code != exitUnreachable {
		t.Errorf("no host: exit %d", code)
	}
}

// Guards against a demo key whose digest is not in the example configuration.
func TestExampleKeys(t *testing.T) {
	data, err := os.ReadFile("../../examples/kessler.json")
	if err != nil {
		t.Fatal(err)
	}
	sum := sha256.Sum256([]byte("example-counter-desk-staff"))
	if !strings.Contains(string(data), hex.EncodeToString(sum[:])) {
		t.Error("the key of the demo is not in the example")
	}
}
