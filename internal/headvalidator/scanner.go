package headvalidator

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/textproto"
	"strings"
)

// Source is a buffered connection.
type Source interface {
	// Peek returns the next n bytes without consuming them.
	Peek(n int) ([]byte, error)
	// Len returns the number of buffered bytes.
	Len() int
}

// Head is a valid head.
type Head struct {
	Status int
	// Length is the number of bytes up to the body.
	Length int
	// Folded is the last line that goes on with the field before it, or empty. Not all parsers join such lines correctly.
	Folded string
}

// TooLongError reports a head that is not complete within a number of bytes.
type TooLongError struct{ Limit int }

// Error implements error.
func (e *TooLongError) Error() string {
	return fmt.Sprintf("no complete response head within %d bytes", e.Limit)
}

// Await waits for a complete head of up to limit bytes, and consumes nothing. It returns an *InvalidError as soon as a line is not valid, a
// *TooLongError, or the error of the source; io.ErrUnexpectedEOF at its end.
func Await(s Source, limit int) (Head, error) {
	for c := (scanner{}); ; {
		b, err := s.Peek(s.Len())
		if err != nil {
			return Head{}, err
		}
		if complete, err := c.scan(b); err != nil || complete {
			return c.head, err
		}
		if len(b) > limit {
			return Head{}, &TooLongError{Limit: limit}
		}
		if _, err := s.Peek(len(b) + 1); errors.Is(err, io.EOF) {
			return Head{}, io.ErrUnexpectedEOF
		} else if err != nil {
			return Head{}, err
		}
	}
}

// scanner checks a head line by line. The length of its head is that of the lines checked so far.
type scanner struct {
	head Head
	// fields is the number of fields, and name the name of the last one.
	fields  int
	name    string
	framing framing
}

// scan checks the lines that b adds to the bytes of earlier calls, and reports whether the head is complete.
func (c *scanner) scan(b []byte) (complete bool, err error) {
	for {
		line, _, found := bytes.Cut(b[c.head.Length:], []byte("\n"))
		if !found {
			return false, nil
		}
		c.head.Length += len(line) + 1
		text := string(bytes.TrimSuffix(line, []byte("\r")))
		switch {
		case c.head.Status == 0:
			if c.framing.minor, c.head.Status, err = parseStatusLine(text); err != nil {
				return false, err
			}
		case text == "":
			return true, nil
		default:
			if err = c.checkFieldLine(text); err != nil {
				return false, err
			}
		}
	}
}

// checkFieldLine checks a line after the status line. Parsers join a folded line to the field before it.
func (c *scanner) checkFieldLine(line string) error {
	folded := line[0] == ' ' || line[0] == '\t'
	name, value, found := strings.Cut(line, ":")
	switch {
	case folded && c.fields == 0, !folded && !found:
		return &InvalidError{Part: Field, Value: line}
	case folded && isFraming(c.name):
		return &InvalidError{Part: Framing, Value: line}
	case folded:
		c.head.Folded = line
		return validateField(c.name, line)
	}
	c.fields++
	c.name = name
	if err := validateField(name, value); err != nil {
		return err
	}
	return c.framing.check(name, textproto.TrimString(value))
}
