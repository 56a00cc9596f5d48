// Package headvalidator checks the heads of HTTP/1 responses before a parser reads them. Parsers repair some heads that are not valid, so
// that the body that they return is not the body that was sent.
package headvalidator

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

const (
	minStatus = http.StatusContinue
	// maxStatus is the largest status of the classes that HTTP defines.
	maxStatus = 599
	// statusDigits is the length of a status.
	statusDigits = 3
)

// Part is a part of a head.
type Part string

// The parts of a head that may be invalid.
const (
	Version Part = "version"
	Status  Part = "status"
	Field   Part = "field"
	// Framing is a field that states where the body ends.
	Framing Part = "framing"
)

// InvalidError reports a head that is not valid HTTP.
type InvalidError struct {
	Part  Part
	Value string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("response head with an invalid %s %.80q", e.Part, e.Value)
}

// ValidateStatus returns an *InvalidError if a response may not have a status. The switch to another protocol is never requested.
func ValidateStatus(status int) error {
	if status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols {
		return &InvalidError{Part: Status, Value: strconv.Itoa(status)}
	}
	return nil
}

// ValidateFields returns an *InvalidError if the name or a value of a field is not valid.
func ValidateFields(header http.Header) error {
	for name, values := range header {
		for _, value := range values {
			if err := validateField(name, value); err != nil {
				return err
			}
		}
	}
	return nil
}

func validateField(name, value string) error {
	if !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
		return &InvalidError{Part: Field, Value: name + ":" + value}
	}
	return nil
}

// parseStatusLine returns the minor version and the status of a status line. Like net/http, it accepts several blanks before the status.
func parseStatusLine(line string) (minor string, status int, err error) {
	version, rest, _ := strings.Cut(line, " ")
	minor, ok := strings.CutPrefix(version, "HTTP/1.")
	if !ok || len(minor) != 1 || !isDigits(minor) {
		return "", 0, &InvalidError{Part: Version, Value: version}
	}
	text, _, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	if status, err = strconv.Atoi(text); err != nil || len(text) != statusDigits || !isDigits(text) || ValidateStatus(status) != nil {
		return "", 0, &InvalidError{Part: Status, Value: text}
	}
	return minor, status, nil
}

func isDigits(text string) bool {
	return text != "" && strings.Trim(text, "0123456789") == ""
}
