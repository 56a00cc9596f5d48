package headvalidator_test

import (
	"bufio"
	_ "embed"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/headvalidator"
)

// Each line of the file is a case: its name, the bytes that arrive, and the result: the status and the length of the head, or the part and
// the value that are invalid.
//
//go:embed testdata/heads.txt
var heads string

// limit is the largest head of the tests.
const limit = 1 << 10

// source is a Source that ends.
type source struct{ *bufio.Reader }

// Len implements headvalidator.Source.
func (s source) Len() int { return s.Buffered() }

// await returns the result of Await in the form of the file.
func await(r io.Reader) string {
	head, err := headvalidator.Await(source{bufio.NewReaderSize(r, 2*limit)}, limit)
	var invalid *headvalidator.InvalidError
	switch {
	case errors.As(err, &invalid):
		return fmt.Sprintf("%s %s", invalid.Part, invalid.Value)
	case err != nil:
		return err.Error()
	}
	return fmt.Sprintf("%d %d", head.Status, head.Length)
}

// Guards against an invalid head that is accepted, and against a result that depends on the parts in which a head arrives.
func TestHeads(t *testing.T) {
	for line := range strings.Lines(heads) {
		if strings.TrimSpace(line) == "" || strings.HasPrefix(line, "#") {
			continue
		}
		var name, head, want string
		if _, err := fmt.Sscanf(line, "%s %q %q", &name, &head, &want); err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(want, await(strings.NewReader(head))); diff != "" {
				t.Errorf("whole (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(want, await(iotest.OneByteReader(strings.NewReader(head)))); diff != "" {
				t.Errorf("byte by byte (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a head without an end, and against a head of the largest length that is refused.
func TestLength(t *testing.T) {
	const begin = "HTTP/1.1 200 OK\r\nX-Long: "
	longest := begin + strings.Repeat("x", limit-len(begin)-4) + "\r\n\r\n"
	endless := begin + strings.Repeat("x", 2*limit)
	got := []string{await(strings.NewReader(longest)), await(strings.NewReader(endless)), await(iotest.OneByteReader(strings.NewReader(endless)))}
	want := []string{"200 1024", "no complete response head within 1024 bytes", "no complete response head within 1024 bytes"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("longest head, endless head, byte by byte (-want +got):\n%s", diff)
	}
}
