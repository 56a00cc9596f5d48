package configurer_test

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/rogpeppe/go-internal/txtar"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
)

// readSections returns the sections of a txtar file by name.
func readSections(t testing.TB, file string) map[string]string {
	t.Helper()
	archive, err := txtar.ParseFile(file)
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]string{}
	for _, f := range archive.Files {
		out[f.Name] = strings.TrimSpace(string(f.Data))
	}
	return out
}

func files(t testing.TB, pattern string) []string {
	t.Helper()
	found, err := filepath.Glob(pattern)
	if err != nil || len(found) == 0 {
		t.Fatalf("no files match %s: %v", pattern, err)
	}
	return found
}

func problems(err error) string {
	var invalid *configurer.InvalidError
	if !errors.As(err, &invalid) {
		return ""
	}
	lines := make([]string, 0, len(invalid.Problems))
	for _, p := range invalid.Problems {
		lines = append(lines, strings.TrimPrefix(p.Path+": "+p.Message, ": "))
	}
	return strings.Join(lines, "\n")
}

// Guards against invalid documents that are accepted, and against problems that are reported one at a time or with a wrong path.
func TestValidate(t *testing.T) {
	for _, file := range files(t, "testdata/validate/*.txtar") {
		t.Run(filepath.Base(file), func(t *testing.T) {
			s := readSections(t, file)
			_, err := configurer.Decode([]byte(s["document"]))
			if diff := cmp.Diff(s["problems"], problems(err)); diff != "" {
				t.Errorf("problems (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against patches that are merged incorrectly, and against invalid ones that change the document.
func TestPatch(t *testing.T) {
	for _, file := range files(t, "testdata/patch/*.txtar") {
		t.Run(filepath.Base(file), func(t *testing.T) {
			s := readSections(t, file)
			_, got, err := configurer.ApplyPatch([]byte(s["document"]), []byte(s["patch"]))
			if diff := cmp.Diff(s["problems"], problems(err)); diff != "" {
				t.Errorf("problems (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(s["want"], string(got)); diff != "" {
				t.Errorf("document (-want +got):\n%s", diff)
			}
			if err != nil {
				return
			}
			if _, again, err := configurer.ApplyPatch(got, []byte(`{}`)); err != nil || string(again) != string(got) {
				t.Errorf("the canonical form decodes as %s, %v", again, err)
			}
		})
	}
}

// Guards against a patch that makes the decoder panic, hang, or accept what validation rejects, and against a canonical form that
// changes when it is decoded and encoded again.
func FuzzPatch(f *testing.F) {
	for _, file := range files(f, "testdata/patch/*.txtar") {
		s := readSections(f, file)
		f.Add(s["document"], s["patch"])
	}
	f.Fuzz(func(t *testing.T, document, patch string) {
		cfg, got, err := configurer.ApplyPatch([]byte(document), []byte(patch))
		if err != nil {
			var invalid *configurer.InvalidError
			if !errors.As(err, &invalid) || len(invalid.Problems) == 0 {
				t.Fatalf("got %v, want an InvalidError with problems", err)
			}
			return
		}
		if remaining := configurer.Validate(cfg); len(remaining) > 0 {
			t.Fatalf("accepted an invalid document: %v", remaining)
		}
		_, again, err := configurer.ApplyPatch(got, []byte(`{}`))
		if err != nil || string(again) != string(got) {
			t.Fatalf("canonical form is not stable: %v\n%s\n%s", err, got, again)
		}
	})
}

// Guards against a key that is attributed to another caller.
func TestCallerByKey(t *testing.T) {
	digest := func(key string) string {
		sum := sha256.Sum256([]byte(key))
		return hex.EncodeToString(sum[:])
	}
	x := configurer.NewIndex(&configurer.Config{Workspaces: []configurer.Workspace{{
		Name: "w", Callers: []configurer.Caller{{Name: "a", KeySHA256: digest("key-a")}, {Name: "b", KeySHA256: strings.ToUpper(digest("key-b"))}},
	}}})
	for key, want := range map[string]string{"key-a": "a", "key-b": "b", "key-c": "", "": "", digest("key-a"): ""} {
		got, ok := x.CallerByKey(key)
		if ok != (want != "") || (ok && got.Caller.Name != want) {
			t.Errorf("key %q: found=%t %v, want %q", key, ok, got.Caller, want)
		}
	}
}

// Guards against a call that is matched to a wrong route and so gets the idempotence of that route.
func TestRoute(t *testing.T) {
	s := configurer.Service{Routes: []configurer.Route{
		{Method: "GET", Path: "/*", Idempotent: true}, {Method: "POST", Path: "/order/*"}, {Method: "POST", Path: "/order/check", Idempotent: true},
	}}
	for call, want := range map[string]string{"GET /x": "/*", "POST /order/1": "/order/*", "POST /order/check": "/order/check", "POST /x": ""} {
		method, path, _ := strings.Cut(call, " ")
		got := ""
		if r := s.Route(method, path); r != nil {
			got = r.Path
		}
		if got != want {
			t.Errorf("%s: route %q, want %q", call, got, want)
		}
	}
}
