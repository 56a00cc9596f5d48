package headvalidator

import (
	"strconv"
	"strings"
)

const (
	codingName = "Transfer-Encoding"
	lengthName = "Content-Length"
	// lengthBits is the size of a length without a sign.
	lengthBits = 63
)

// framing checks the fields that state where the body of a response ends. Parsers ignore what they can't use of them, and then take the end
// of the connection, or something else, for the end of the body.
type framing struct {
	// minor is the minor version.
	minor  string
	coded  bool
	length string
}

func isFraming(name string) bool {
	return strings.EqualFold(name, codingName) || strings.EqualFold(name, lengthName)
}

// check returns an *InvalidError for a field with which the end of the body is not known. A length beside the coding is overridden by it.
func (f *framing) check(name, value string) error {
	valid := true
	switch {
	case strings.EqualFold(name, codingName):
		// HTTP/1.0 has no transfer codings, so that a recipient or a proxy in between may have ignored it.
		valid = f.minor != "0" && !f.coded && strings.EqualFold(value, "chunked")
		f.coded = true
	case strings.EqualFold(name, lengthName):
		_, err := strconv.ParseUint(value, 10, lengthBits)
		valid = err == nil && (f.length == "" || f.length == value)
		f.length = value
	}
	if !valid {
		return &InvalidError{Part: Framing, Value: name + ": " + value}
	}
	return nil
}
