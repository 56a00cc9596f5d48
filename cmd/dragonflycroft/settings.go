package main

import (
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
)

// minKeyBytes is the minimum length of the shared key, so that it cannot be guessed.
const minKeyBytes = 16

// settingsError lists all problems of the settings.
type settingsError struct{ problems []string }

// Error implements error.
func (e *settingsError) Error() string {
	return "wrong settings:\n  " + strings.Join(e.problems, "\n  ")
}

// checker parses settings and collects their problems, so that all of them are reported at once.
type checker struct{ problems []string }

func (c *checker) addProblem(flag, format string, args ...any) {
	c.problems = append(c.problems, "--"+flag+" "+fmt.Sprintf(format, args...))
}

func (c *checker) err() error {
	if len(c.problems) == 0 {
		return nil
	}
	return &settingsError{problems: c.problems}
}

func (c *checker) duration(flag, text string, minimum time.Duration) time.Duration {
	d, err := time.ParseDuration(text)
	switch {
	case err != nil:
		c.addProblem(flag, "is %q, which is no duration such as 500ms or 2s", text)
	case d < minimum:
		c.addProblem(flag, "is %v; it must be at least %v", d, minimum)
	}
	return d
}

var sizePattern = regexp.MustCompile(`^([0-9]+)(B|KiB|MiB|GiB)?$`)

// size parses a number of bytes.
func (c *checker) size(flag, text string, minimum int64) int64 {
	parts := sizePattern.FindStringSubmatch(text)
	if parts == nil {
		c.addProblem(flag, "is %q, which is no size such as 65536 or 8MiB", text)
		return 0
	}
	shift := map[string]uint{"KiB": 10, "MiB": 20, "GiB": 30}[parts[2]]
	n, err := strconv.ParseInt(parts[1], 10, 64)
	if err != nil || n > (1<<40)>>shift {
		c.addProblem(flag, "is %q, which is too large", text)
		return 0
	}
	if n <<= shift; n < minimum {
		c.addProblem(flag, "is %d bytes; it must be at least %d", n, minimum)
	}
	return n
}

func (c *checker) number(flag, text string, minimum int) int {
	n, err := strconv.Atoi(text)
	switch {
	case err != nil:
		c.addProblem(flag, "is %q, which is no number", text)
	case n < minimum:
		c.addProblem(flag, "is %d; it must be at least %d", n, minimum)
	}
	return n
}

// address checks IP:PORT. Host names are not accepted, so that connections to other hosts do not depend on DNS.
func (c *checker) address(flag, text string) {
	host, port, err := net.SplitHostPort(text)
	if err != nil || net.ParseIP(host) == nil {
		c.addProblem(flag, "is %q, which is no IP:PORT", text)
		return
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		c.addProblem(flag, "is %q, whose port is not between 0 and 65535", text)
	}
}

var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9_-]{0,62}$`)

func (c *checker) name(flag, text string) {
	if !namePattern.MatchString(text) {
		c.addProblem(flag, "is %q; a name has 1 to 63 letters, digits, - and _", text)
	}
}

// pairs parses NAME=VALUE,NAME=VALUE.
func (c *checker) pairs(flag, text string) map[string]string {
	out := make(map[string]string)
	for part := range strings.SplitSeq(text, ",") {
		if part = strings.TrimSpace(part); part == "" {
			continue
		}
		name, value, ok := strings.Cut(part, "=")
		if !ok || name == "" || value == "" {
			c.addProblem(flag, "has the part %q, which is not NAME=VALUE", part)
			continue
		}
		if _, duplicate := out[name]; duplicate {
			c.addProblem(flag, "names %q twice", name)
		}
		out[name] = value
	}
	return out
}

// digests checks that the values are SHA-256 digests in hexadecimal.
func (c *checker) digests(flag string, pairs map[string]string) {
	for name, value := range pairs {
		if raw, err := hex.DecodeString(value); err != nil || len(raw) != 32 {
			c.addProblem(flag, "has no SHA-256 digest in hexadecimal for %q", name)
		}
	}
}

// document reads and decodes a configuration document.
func (c *checker) document(flag, path string) *configurer.Config {
	data, err := os.ReadFile(path)
	if err != nil {
		c.addProblem(flag, "cannot be read: %v", err)
		return nil
	}
	cfg, err := configurer.Decode(data)
	if err != nil {
		c.addProblem(flag, "%s: %v", path, err)
		return nil
	}
	return cfg
}
