package transporter

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
)

// frameHeaderBytes is the length prefix of a frame, a big-endian unsigned integer.
const frameHeaderBytes = 4

// FrameSizeError reports a frame above the limit.
type FrameSizeError struct {
	Size  int
	Limit int
}

// Error implements error.
func (e *FrameSizeError) Error() string {
	return fmt.Sprintf("frame of %d bytes is above the limit of %d bytes", e.Size, e.Limit)
}

func writeFrame(w io.Writer, m proto.Message, limit int) error {
	buf := make([]byte, frameHeaderBytes, frameHeaderBytes+proto.Size(m))
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, m)
	if err != nil {
		return eris.Wrap(err, "encode frame")
	}
	size := len(buf) - frameHeaderBytes
	if size > limit {
		return &FrameSizeError{Size: size, Limit: limit}
	}
	binary.BigEndian.PutUint32(buf, uint32(size))
	_, err = w.Write(buf)
	return err
}

func readFrame(r io.Reader, m proto.Message, limit int) error {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return err
	}
	size := int(binary.BigEndian.Uint32(header[:]))
	if size > limit {
		return &FrameSizeError{Size: size, Limit: limit}
	}
	buf := make([]byte, size)
	if _, err := io.ReadFull(r, buf); err != nil {
		return err
	}
	return eris.Wrap(proto.Unmarshal(buf, m), "decode frame")
}
