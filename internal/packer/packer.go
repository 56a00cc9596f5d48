// Package packer shortens configuration documents for slow links between hosts.
package packer

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/rotisserie/eris"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
)

// minPacked is the length in bytes below which a document is not packed: it fits into a few packets as it is.
const minPacked = 4 << 10

// Pack returns a shorter form of a document, or the document itself if it is short.
func Pack(document []byte) ([]byte, error) {
	if len(document) < minPacked {
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

// Unpack returns the document of a packed form. A document that is not packed is returned as it is.
func Unpack(packed []byte) ([]byte, error) {
	// A document is JSON, which does not begin with the mark of gzip.
	if !bytes.HasPrefix(packed, []byte{0x1f, 0x8b}) {
		return packed, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(packed))
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
