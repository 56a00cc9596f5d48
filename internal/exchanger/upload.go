package exchanger

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// upload is the writing of a request, which may go on while the response is read.
type upload struct {
	conn net.Conn
	done chan struct{}
	// err is set before done is closed.
	err error
}

// startUpload writes a request. A body of up to inlineBodyBytes is written before it returns, and the error is that of this write.
func startUpload(conn net.Conn, head, body []byte) (*upload, error) {
	u := &upload{conn: conn, done: make(chan struct{})}
	if len(body) <= inlineBodyBytes {
		_, u.err = conn.Write(append(head, body...))
		close(u.done)
		return u, u.err
	}
	go func() {
		defer close(u.done)
		buffers := net.Buffers{head, body}
		_, u.err = buffers.WriteTo(conn)
	}()
	return u, nil
}

// result reports whether the upload has ended, and its error.
func (u *upload) result() (ended bool, err error) {
	select {
	case <-u.done:
		return true, u.err
	default:
		return false, nil
	}
}

// abort ends the upload after the end of the response. It returns an error if the connection failed before that end.
func (u *upload) abort() error {
	if err := u.conn.SetWriteDeadline(time.Unix(1, 0)); err != nil {
		return err
	}
	<-u.done
	if errors.Is(u.err, os.ErrDeadlineExceeded) || errors.Is(u.err, syscall.EPIPE) {
		// The endpoint did not read the whole request. A reset after the end of the stream is reported as EPIPE.
		return nil
	}
	return u.err
}
