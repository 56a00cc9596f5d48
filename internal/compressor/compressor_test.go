package compressor_test

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/compressor"
	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
)

// TestCompress guards against a document that is altered by compression, and against a compressed document that exhausts the
// memory of the host that decompresses it.
func TestCompress(t *testing.T) {
	type result struct {
		Whole, Shorter, Refused bool
	}
	got := map[string]result{}
	for name, document := range map[string][]byte{
		"short": []byte(`{"a":1}`), "long": bytes.Repeat([]byte(`{"name":"r"},`), 10_000),
		"beyond the limit": bytes.Repeat([]byte("0"), configurer.MaxDocumentBytes+1),
	} {
		compressed, err := compressor.Compress(document)
		if err != nil {
			t.Fatal(err)
		}
		decompressed, err := compressor.Decompress(compressed)
		got[name] = result{Whole: bytes.Equal(document, decompressed), Shorter: len(compressed) < len(document), Refused: err != nil}
	}
	compressed, _ := compressor.Compress(bytes.Repeat([]byte("abc"), 10_000))
	_, err := compressor.Decompress(compressed[:len(compressed)/2])
	got["cut off"] = result{Refused: err != nil}
	want := map[string]result{
		"short": {Whole: true}, "long": {Whole: true, Shorter: true}, "beyond the limit": {Shorter: true, Refused: true},
		"cut off": {Refused: true},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("compressed and decompressed (-want +got):\n%s", diff)
	}
}
