package gateway

import (
	"bytes"
	"net"
	"sync"
)

type connKey struct{}

// maxRecorded bounds the bytes of a request head that are kept for the check of its framing.
const maxRecorded = 32 << 10

// guardListener keeps the raw head of each request. The HTTP library drops a Content-Length beside a Transfer-Encoding, so
// that a handler cannot see that a request had both: another program on the way may have read it with the other length.
type guardListener struct{ net.Listener }

// Accept implements net.Listener.
func (l *guardListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &guardConn{Conn: c, recording: true}, nil
}

type guardConn struct {
	net.Conn

	mu        sync.Mutex
	recording bool
	head      []byte
}

// Read implements net.Conn.
func (c *guardConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.mu.Lock()
		if c.recording && len(c.head)+n <= maxRecorded {
			c.head = append(c.head, b[:n]...)
		}
		c.mu.Unlock()
	}
	return n, err
}

// framing is the result of a check of a request head.
type framing int

const (
	// framingClear means that the head states the length of the body in one way.
	framingClear framing = iota
	// framingAmbiguous means that the head states it in two ways.
	framingAmbiguous
	// framingUnseen means that the head arrived together with the request before it.
	framingUnseen
)

// check judges the head of the request that is handled now and stops recording until next is called.
func (c *guardConn) check() framing {
	c.mu.Lock()
	defer c.mu.Unlock()
	head := c.head
	c.recording, c.head = false, nil
	end := bytes.Index(head, []byte("\r\n\r\n"))
	if end < 0 {
		return framingUnseen
	}
	lengths, encodings := 0, 0
	for line := range bytes.SplitSeq(head[:end], []byte("\r\n")) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			encodings++
		}
	}
	if lengths+encodings > 1 {
		return framingAmbiguous
	}
	return framingClear
}

// next begins to record the head of the next request.
func (c *guardConn) next() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recording, c.head = true, nil
}
