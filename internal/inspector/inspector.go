// Package inspector checks the raw head of an HTTP request before the request is processed.
package inspector

import "bytes"

// AmbiguousLength reports whether a request head specifies the length of the body more than once. A proxy in between may use
// another of the lengths, so that one side treats bytes as part of the body that the other treats as a further request (request
// smuggling).
func AmbiguousLength(head []byte) bool {
	lengthHeaders := 0
	for line := range bytes.SplitSeq(head, []byte("\n")) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		name = bytes.TrimSpace(name)
		if bytes.EqualFold(name, []byte("Content-Length")) || bytes.EqualFold(name, []byte("Transfer-Encoding")) {
			lengthHeaders++
		}
	}
	return lengthHeaders > 1
}
