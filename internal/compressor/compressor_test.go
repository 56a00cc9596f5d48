package compressor_test

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/compressor"
	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
)

// TestPack guards against a document that is altered by compression, and against a compressed document that exhausts the memory
// of the host that decompresses it.
func TestPack(t *testing.T) {
	type result struct {
		Whole, Shorter, Refused bool
	}
	got := map[string]result{}
	for name, document := range map[string][]byte{
		"short": []byte(`{"a":1}`), "long": bytes.Repeat([]byte(`{"name":"r"},`), 10_000),
		"beyond the limit": bytes.Repeat([]byte("0"), configurer.MaxDocumentBytes+1),
	} {
		packed, err := compressor.Compress(document)
		if err != nil {
			t.Fatal(err)
		}
		unpacked, err := compressor.Decompress(packed)
		got[name] = result{Whole: bytes.Equal(document, unpacked), Shorter: len(packed) < len(document), Refused: err != nil}
	}
	packed, _ := compressor.Compress(bytes.Repeat([]byte("abc"), 10_000))
	_, err := compressor.Decompress(packed[:len(packed)/2])
	got["cut off"] = result{Refused: err != nil}
	want := map[string]result{
		"short": {Whole: true}, "long": {Whole: true, Shorter: true}, "beyond the limit": {Shorter: true, Refused: true},
		"cut off": {Refused: true},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("compressed and decompressed (-want +got):\n%s", diff)
	}
}
