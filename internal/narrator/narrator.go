// Package narrator tells the story of one request from the log files of several hosts.
package narrator

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
)

const (
	// maxLineBytes bounds a line; longer ones are skipped and counted.
	maxLineBytes = 1 << 20
	// contextLines bounds the lines about hosts, configuration and endpoints that are shown around the request.
	contextLines = 20
)

// header is the beginning of a line: severity, month and day, time, thread and place in the code.
var header = regexp.MustCompile(`^([IWEF])(\d{4} \d{2}:\d{2}:\d{2}\.\d{6})\s+\d+ (\S+)\] (.*)$`)

// changes are the beginnings of lines that tell what a host believes.
var changes = []string{
	"forwarder: configuration in force", "forwarder: started", "forwarder: stopping", "cataloguer: endpoint", "cataloguer: list",
	"controller: leadership", "controller: voters changed", "platform: settings reloaded",
}

// Line is one log line.
type Line struct {
	// At is the month, day and time of the line, which sort as text.
	At   string
	Host string
	Text string
}

// Story is what the logs say of a request.
type Story struct {
	// Lines name the request, in order of time.
	Lines []Line
	// Changes are the last lines before the end of the request that tell what its hosts and endpoints did.
	Changes []Line
	// Skipped counts the lines that could not be read.
	Skipped int
}

// Log is the log of one host.
type Log struct {
	Host   string
	Reader io.Reader
}

// Tell reads logs and returns the story of a request id.
func Tell(id string, logs []Log) (*Story, error) {
	s := &Story{}
	var around []Line
	hosts := map[string]bool{}
	for _, l := range logs {
		scanner := bufio.NewScanner(l.Reader)
		scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
		for scanner.Scan() {
			fields := header.FindStringSubmatch(scanner.Text())
			if fields == nil {
				s.Skipped++
				continue
			}
			line := Line{At: fields[2], Host: l.Host, Text: strings.ReplaceAll(fields[4], `"`, "")}
			switch {
			case mentions(fields[4], id):
				s.Lines = append(s.Lines, line)
				hosts[l.Host] = true
			case isChange(line.Text):
				around = append(around, line)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, fmt.Errorf("log of %s: %w", l.Host, err)
		}
	}
	byTime := func(a, b Line) int { return strings.Compare(a.At, b.At) }
	slices.SortStableFunc(s.Lines, byTime)
	slices.SortStableFunc(around, byTime)
	if len(s.Lines) > 0 {
		end := s.Lines[len(s.Lines)-1].At
		around = slices.DeleteFunc(around, func(l Line) bool { return l.At > end || !hosts[l.Host] })
		s.Changes = around[max(0, len(around)-contextLines):]
	}
	return s, nil
}

// mentions reports whether a line names the request, as a quoted or plain value.
func mentions(text, id string) bool {
	return strings.Contains(text, `request="`+id+`"`) || strings.Contains(text, "request="+id+" ") || strings.HasSuffix(text, "request="+id)
}

func isChange(text string) bool {
	return slices.ContainsFunc(changes, func(c string) bool { return strings.HasPrefix(text, c) })
}

// Write prints a story.
func (s *Story) Write(w io.Writer) error {
	var b strings.Builder
	section := func(title string, lines []Line) {
		fmt.Fprintf(&b, "%s\n", title)
		for _, l := range lines {
			fmt.Fprintf(&b, "  %s %-12s %s\n", l.At, l.Host, l.Text)
		}
	}
	section("What its hosts believed before:", s.Changes)
	section("The request:", s.Lines)
	if s.Skipped > 0 {
		fmt.Fprintf(&b, "%d lines could not be read.\n", s.Skipped)
	}
	_, err := io.WriteString(w, b.String())
	return err
}
