package inspector_test

import (
	"testing"

	"github.com/dragonflycroft/dragonflycroft/internal/inspector"
)

func TestAmbiguous(t *testing.T) {
	for head, want := range map[string]bool{
		"POST / HTTP/1.1\r\nContent-Length: 1":                                 false,
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked":                        false,
		"GET / HTTP/1.1\r\nHost: h":                                            false,
		"POST / HTTP/1.1\r\nContent-Length: 1\r\ntransfer-encoding: chunked":   true,
		"POST / HTTP/1.1\r\nContent-Length: 1\r\ncontent-length: 1":            true,
		"POST / HTTP/1.1\r\nContent-Length : 1\r\nContent-Length: 2":           true,
		"POST / HTTP/1.1\r\nX-Content-Length: 1\r\nContent-Length: 2":          false,
		"POST / HTTP/1.1\nTransfer-Encoding: chunked\nTransfer-Encoding: gzip": true,
	} {
		if got := inspector.AmbiguousLength([]byte(head)); got != want {
			t.Errorf("Ambiguous(%q) = %t, want %t", head, got, want)
		}
	}
}

func FuzzAmbiguous(f *testing.F) {
	f.Add([]byte("POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, head []byte) {
		twice := append(append(append([]byte{}, head...), head...), "\r\nContent-Length: 1\r\nContent-Length: 2\r\n"...)
		if !inspector.AmbiguousLength(twice) {
			t.Errorf("head with two lengths is not reported as ambiguous: %q", twice)
		}
	})
}
