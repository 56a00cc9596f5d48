package exchanger

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/dragonflycroft/dragonflycroft/internal/headvalidator"
)

// LostEndError reports a response without a length whose connection failed, so that the end of its body was not received.
type LostEndError struct {
	Addr string
	Err  error
}

// Error implements error.
func (e *LostEndError) Error() string {
	return fmt.Sprintf("connection to %s failed within a response without a length: %v", e.Addr, e.Err)
}

// Unwrap returns the cause.
func (e *LostEndError) Unwrap() error { return e.Err }

// unframedBody is the body of a response that ends with its connection. The kernel reports a reset only once: if the write of the request
// gets it, the read of the response returns io.EOF.
type unframedBody struct {
	io.Reader
	addr   string
	upload *upload
}

// Read implements io.Reader.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		if cause := b.upload.abort(); cause != nil {
			err = &LostEndError{Addr: b.addr, Err: cause}
		}
	}
	return n, err
}

// framedBody is the body of a response with a length or chunks. Its trailer is checked like its head.
type framedBody struct{ response *http.Response }

// Read implements io.Reader.
func (b *framedBody) Read(p []byte) (int, error) {
	n, err := b.response.Body.Read(p)
	if errors.Is(err, io.EOF) {
		if invalid := headvalidator.ValidateFields(b.response.Trailer); invalid != nil {
			err = invalid
		}
	}
	return n, err
}
