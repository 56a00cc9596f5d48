package connlimiter

import (
	"errors"
	"io"
)

// minBodyBuffer is the size of the first buffer of a body of unknown length.
const minBodyBuffer = 4 << 10

// ReadBody reads a whole body, whose length may be known (else -1), and pays for its buffer. C may be nil. Besides errors of the reader, it
// returns those of Conn.Reserve.
func ReadBody(c *Conn, r io.Reader, length int64) ([]byte, error) {
	// One more byte lets the reader return io.EOF without another buffer.
	body, err := growBody(c, nil, max(length+1, minBodyBuffer))
	if err != nil {
		return nil, err
	}
	for {
		if len(body) == cap(body) {
			if body, err = growBody(c, body, 2*int64(cap(body))); err != nil {
				return nil, err
			}
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// growBody copies a body to a larger buffer.
func growBody(c *Conn, body []byte, size int64) ([]byte, error) {
	if c != nil {
		if err := c.Reserve(size); err != nil {
			return nil, err
		}
		defer c.Release(int64(cap(body)))
	}
	return append(make([]byte, 0, size), body...), nil
}
