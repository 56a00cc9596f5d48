// Package framer writes and reads length-prefixed protobuf frames.
package framer

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
)

// headerBytes is the length prefix of a frame, a big-endian unsigned integer.
const headerBytes = 4

// SizeError reports a frame above the limit.
type SizeError struct {
	Size  int
	Limit int
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("frame of %d bytes is above the limit of %d bytes", e.Size, e.Limit)
}

// Write encodes m as one frame of at most limit bytes.
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

// Read decodes the next frame into m. A frame above limit bytes is a *SizeError and is not read.
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
