package dragonflycroft

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
)

// apiExample is a request from the API documentation and what its response must contain.
type apiExample struct {
	request string
	answer  string
}

func readExamples(t *testing.T, path string) (examples []apiExample) {
	t.Helper()
	page, err := os.ReadFile(path)
	must(t, err)
	for _, part := range strings.Split(string(page), "```http\n")[1:] {
		request, rest, _ := strings.Cut(part, "```")
		_, answer, ok := strings.Cut(rest, "```answer\n")
		if !ok {
			t.Fatalf("no answer after %q", request)
		}
		answer, _, _ = strings.Cut(answer, "```")
		examples = append(examples, apiExample{request: request, answer: answer})
	}
	return examples
}

// Guards against examples in the API documentation that do not work as written.
func TestAPIExamples(t *testing.T) {
	s := newSystem(t, 1, 1, fastOptions())
	id := ""
	examples := readExamples(t, "docs/api.md")
	if len(examples) == 0 {
		t.Fatal("docs/api.md has no examples")
	}
	for _, x := range examples {
		head, body, _ := strings.Cut(strings.ReplaceAll(x.request, "{id}", id), "\n\n")
		lines := strings.Split(strings.TrimSpace(head), "\n")
		method, path, _ := strings.Cut(lines[0], " ")
		req, err := http.NewRequestWithContext(t.Context(), method, s.nodes[0].url+path, bytes.NewBufferString(body))
		must(t, err)
		for _, line := range lines[1:] {
			name, value, _ := strings.Cut(line, ": ")
			req.Header.Set(name, value)
		}
		resp, err := s.client.Do(req)
		must(t, err)
		data, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		must(t, err)
		id = resp.Header.Get("X-Dragonflycroft-Request-Id")
		checkExample(t, x, resp, string(data))
	}
}

func checkExample(t *testing.T, x apiExample, resp *http.Response, body string) {
	t.Helper()
	status, rest, _ := strings.Cut(x.answer, "\n")
	if !strings.HasPrefix(resp.Status, status+" ") {
		t.Errorf("%s\nstatus %s, want %s; body %s", x.request, resp.Status, status, body)
	}
	scanner := bufio.NewScanner(strings.NewReader(rest))
	for scanner.Scan() {
		line := scanner.Text()
		if name, value, ok := strings.Cut(line, ": "); ok && strings.HasPrefix(name, "X-") {
			if got := resp.Header.Get(name); got != value {
				t.Errorf("%s\n%s is %q, want %q", x.request, name, got, value)
			}
		} else if !strings.Contains(body, line) {
			t.Errorf("%s\nbody lacks %q: %s", x.request, line, body)
		}
	}
}
