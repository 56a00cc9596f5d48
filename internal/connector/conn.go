package connector

import (
	"errors"
	"io"

	"github.com/cloudwego/hertz/pkg/network"
)

// watchedConn keeps the first read error of a connection other than io.EOF. Hertz takes any error for the end of a response without a
// length, and the connection reports a reset only once.
type watchedConn struct {
	network.Conn
	readErr error
}

// Peek implements network.Reader.
func (c *watchedConn) Peek(n int) ([]byte, error) {
	b, err := c.Conn.Peek(n)
	c.record(err)
	return b, err
}

// Read implements io.Reader.
func (c *watchedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.record(err)
	return n, err
}

func (c *watchedConn) record(err error) {
	if c.readErr == nil && err != nil && !errors.Is(err, io.EOF) {
		c.readErr = err
	}
}
