// Package inspector judges the raw head of an HTTP request before anything is done with it.
package inspector

import "bytes"

// Ambiguous reports whether a head states the length of the body more than once. Another program on the way may have read it
// with another length, and what one takes for the body is a further request to the other.
func Ambiguous(head []byte) bool {
	stated := 0
	for line := range bytes.SplitSeq(head, []byte("\n")) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		name = bytes.TrimSpace(name)
		if bytes.EqualFold(name, []byte("Content-Length")) || bytes.EqualFold(name, []byte("Transfer-Encoding")) {
			stated++
		}
	}
	return stated > 1
}
