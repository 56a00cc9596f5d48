// Package compressor compresses configuration documents for slow links between hosts.
package compressor

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/rotisserie/eris"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
)

// minCompressBytes is the size in bytes below which a document is not compressed: it fits into a few packets uncompressed.
const minCompressBytes = 4 << 10

// Compress returns a document compressed with gzip, or the document itself if it is smaller than 4 KiB.
func Compress(document []byte) ([]byte, error) {
	if len(document) < minCompressBytes {
		return document, nil
	}
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if _, err := w.Write(document); err != nil {
		return nil, eris.Wrap(err, "pack document")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "pack document")
	}
	return out.Bytes(), nil
}

// Decompress decompresses a result of Compress. Data that is not compressed is returned unchanged. Decompress returns an error if
// the document exceeds configurer.MaxDocumentBytes.
func Decompress(data []byte) ([]byte, error) {
	// A document is JSON, which cannot begin with the magic number of gzip.
	if !bytes.HasPrefix(data, []byte{0x1f, 0x8b}) {
		return data, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, eris.Wrap(err, "unpack document")
	}
	document, err := io.ReadAll(io.LimitReader(r, configurer.MaxDocumentBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "unpack document")
	}
	if len(document) > configurer.MaxDocumentBytes {
		return nil, eris.Errorf("the document has more than %d bytes", configurer.MaxDocumentBytes)
	}
	return document, nil
}
