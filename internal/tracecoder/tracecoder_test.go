package tracecoder_test

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/tracecoder"
)

func readSample(t testing.TB) string {
	t.Helper()
	data, err := os.ReadFile("testdata/sample.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// Guards against a decoder and an encoder that disagree on the schema.
func TestRoundTrip(t *testing.T) {
	first, err := tracecoder.Decode(strings.NewReader(readSample(t)))
	if err != nil {
		t.Fatal(err)
	}
	var buf bytes.Buffer
	if err := tracecoder.Encode(&buf, first); err != nil {
		t.Fatal(err)
	}
	second, err := tracecoder.Decode(&buf)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(first, second); diff != "" {
		t.Errorf("decoded again (-first +second):\n%s", diff)
	}
	if len(first.Requests) != 3 || len(first.Changes) != 2 || first.Requests[0].PromptTokens != 300 {
		t.Errorf("decoded %d requests and %d changes: %+v", len(first.Requests), len(first.Changes), first.Requests)
	}
}

// Guards against invalid lines that are accepted or reported with a wrong line number.
func TestInvalidLines(t *testing.T) {
	tests := []struct {
		name, old, new string
		line           int
	}{
		{"empty file", readSample(t), "", 1},
		{"unknown field", `"at_us":1000`, `"at_us":1000,"colour":"red"`, 2},
		{"unknown tier", `"tier":"counter","class":"chat"`, `"tier":"none","class":"chat"`, 2},
		{"unknown endpoint", `"endpoint":"m1","factor"`, `"endpoint":"m9","factor"`, 3},
		{"time goes back", `"at_us":5000`, `"at_us":10`, 4},
		{"no tokens", `"output_tokens":20`, `"output_tokens":0`, 2},
		{"order without key", `"key":"k1",`, ``, 4},
		{"taken id", `"id":"r2"`, `"id":"r1"`, 4},
		{"second header", `{"record":"change","at_us":2000`, `{"record":"header","at_us":2000`, 3},
		{"wrong prefix", `sys*2`, `sys*0`, 2},
		{"unknown generation", `"m1":"g1"`, `"m1":"g9"`, 1},
		{"not JSON", `{"record":"request","at_us":1000`, `record: request`, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			text := strings.Replace(readSample(t), test.old, test.new, 1)
			if text == readSample(t) {
				t.Fatal("the sample does not contain the text to replace")
			}
			_, err := tracecoder.Decode(strings.NewReader(text))
			var lineErr *tracecoder.LineError
			if !errors.As(err, &lineErr) || lineErr.Line != test.line {
				t.Errorf("error %v, want one at line %d", err, test.line)
			}
		})
	}
}

// Guards against requests that share a prefix but not its block hashes, and against equal hashes of different prefixes.
func TestBlocks(t *testing.T) {
	blocks := func(prefix ...string) []uint64 { return (&tracecoder.Request{Prefix: prefix}).Blocks() }
	short, long := blocks("sys*2", "thread*1"), blocks("sys*2", "thread*3")
	if len(short) != 3 || len(long) != 5 {
		t.Fatalf("%d and %d blocks, want 3 and 5", len(short), len(long))
	}
	if diff := cmp.Diff(short, long[:3]); diff != "" {
		t.Errorf("shared blocks differ:\n%s", diff)
	}
	whole := (&tracecoder.Request{ID: "r1", PromptTokens: 7 * tracecoder.BlockTokens, Prefix: []string{"sys*2", "thread*1"}}).Blocks()
	if diff := cmp.Diff(short, whole[:3]); diff != "" || len(whole) != 7 {
		t.Errorf("%d blocks of the whole prompt, want 7; shared ones differ:\n%s", len(whole), diff)
	}
	if other := blocks("sys*2", "other*1"); other[1] != short[1] || other[2] == short[2] {
		t.Error("blocks do not depend on their whole prefix")
	}
}

// Guards against input that crashes the decoder, and against traces that change when they are encoded and decoded again.
func FuzzDecode(f *testing.F) {
	paths, err := filepath.Glob("testdata/*.jsonl")
	if err != nil {
		f.Fatal(err)
	}
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte("{\"record\":\"header\"}\n"))
	f.Add([]byte("{\"record\":\"request\"}\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		first, err := tracecoder.Decode(bytes.NewReader(data))
		if err != nil {
			return
		}
		var once, twice bytes.Buffer
		if err := tracecoder.Encode(&once, first); err != nil {
			t.Fatal(err)
		}
		second, err := tracecoder.Decode(bytes.NewReader(once.Bytes()))
		if err != nil {
			t.Fatalf("an encoded trace cannot be decoded: %v", err)
		}
		if err := tracecoder.Encode(&twice, second); err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(once.Bytes(), twice.Bytes()) {
			t.Fatalf("the trace differs after a second encoding:\n%s\n%s", once.Bytes(), twice.Bytes())
		}
	})
}
