// Package framer writes and reads length-prefixed protobuf frames.
package framer

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
)

// headerBytes is the size of the length prefix of a frame, a big-endian unsigned integer.
const headerBytes = 4

// SizeError reports a frame whose payload exceeds the limit. Sizes are in bytes.
type SizeError struct {
	Size  int
	Limit int
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("frame of %d bytes is above the limit of %d bytes", e.Size, e.Limit)
}

// Write writes m as one frame. It writes nothing and returns a *SizeError if the encoded message exceeds limit bytes.
func Write(w io.Writer, m proto.Message, limit int) error {
	buf := make([]byte, headerBytes, headerBytes+proto.Size(m))
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, m)
	if err != nil {
		return eris.Wrap(err, "encode frame")
	}
	size := len(buf) - headerBytes
	if size > limit {
		return &SizeError{Size: size, Limit: limit}
	}
	binary.BigEndian.PutUint32(buf, uint32(size))
	_, err = w.Write(buf)
	return err
}

// Read reads the next frame and decodes it into m. If its payload exceeds limit bytes, Read returns a *SizeError without reading
// the payload. It returns io.EOF if there is no further frame.
func Read(r io.Reader, m proto.Message, limit int) error {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return err
	}
	size := int(binary.BigEndian.Uint32(header[:]))
	if size > limit {
		return &SizeError{Size: size, Limit: limit}
	}
	buf := make([]byte, size)
	if _, err := io.ReadFull(r, buf); err != nil {
		return err
	}
	return eris.Wrap(proto.Unmarshal(buf, m), "decode frame")
}
