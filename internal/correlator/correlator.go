// Package correlator assembles the timeline of one request from the log files of several hosts.
package correlator

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
)

const (
	// maxLineBytes bounds a line. A longer line is an error.
	maxLineBytes = 1 << 20
	// maxContextLines bounds the lines about hosts, configuration and endpoints that are shown with the request.
	maxContextLines = 20
)

// headerPattern matches a log line in klog format: severity, month and day, time, thread, source position and message.
var headerPattern = regexp.MustCompile(`^([IWEF])(\d{4} \d{2}:\d{2}:\d{2}\.\d{6})\s+\d+ (\S+)\] (.*)$`)

// contextPrefixes are the prefixes of messages about changes in the state of a host.
var contextPrefixes = []string{
	"forwarder: configuration in force", "forwarder: started", "forwarder: stopping", "cataloguer: endpoint", "cataloguer: list",
	"controller: leadership", "controller: voters changed", "platform: settings reloaded",
	"proxier: paths",
}

// Line is one log line.
type Line struct {
	// Time is the month, day and time of the line, which sort chronologically as strings.
	Time string
	Host string
	Text string
}

// Timeline is the part of the logs that concerns one request.
type Timeline struct {
	// Lines are the lines that mention the request, in chronological order.
	Lines []Line
	// Context holds the last state changes, before the end of the request, on the hosts that mention it.
	Context []Line
	// Skipped is the number of lines that are not in klog format.
	Skipped int
}

// Log is the log of one host.
type Log struct {
	Host   string
	Reader io.Reader
}

// Correlate reads logs and returns the timeline of a request ID. It returns an error if reading a log fails.
func Correlate(id string, logs []Log) (*Timeline, error) {
	timeline := &Timeline{}
	var contextLines []Line
	hosts := map[string]bool{}
	for _, l := range logs {
		scanner := bufio.NewScanner(l.Reader)
		scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
		for scanner.Scan() {
			fields := headerPattern.FindStringSubmatch(scanner.Text())
			if fields == nil {
				timeline.Skipped++
				continue
			}
			line := Line{Time: fields[2], Host: l.Host, Text: strings.ReplaceAll(fields[4], `"`, "")}
			switch {
			case mentionsRequest(fields[4], id):
				timeline.Lines = append(timeline.Lines, line)
				hosts[l.Host] = true
			case isContext(line.Text):
				contextLines = append(contextLines, line)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, fmt.Errorf("read log of host %s: %w", l.Host, err)
		}
	}
	byTime := func(a, b Line) int { return strings.Compare(a.Time, b.Time) }
	slices.SortStableFunc(timeline.Lines, byTime)
	slices.SortStableFunc(contextLines, byTime)
	if len(timeline.Lines) > 0 {
		end := timeline.Lines[len(timeline.Lines)-1].Time
		contextLines = slices.DeleteFunc(contextLines, func(l Line) bool { return l.Time > end || !hosts[l.Host] })
		timeline.Context = contextLines[max(0, len(contextLines)-maxContextLines):]
	}
	return timeline, nil
}

// mentionsRequest reports whether a message contains the request ID, as a quoted or plain value.
func mentionsRequest(text, id string) bool {
	return strings.Contains(text, `request="`+id+`"`) || strings.Contains(text, "request="+id+" ") || strings.HasSuffix(text, "request="+id)
}

func isContext(text string) bool {
	return slices.ContainsFunc(contextPrefixes, func(c string) bool { return strings.HasPrefix(text, c) })
}

// Write prints the timeline as text.
func (t *Timeline) Write(w io.Writer) error {
	var b strings.Builder
	section := func(title string, lines []Line) {
		fmt.Fprintf(&b, "%s\n", title)
		for _, l := range lines {
			fmt.Fprintf(&b, "  %s %-12s %s\n", l.Time, l.Host, l.Text)
		}
	}
	section("What its hosts believed before:", t.Context)
	section("The request:", t.Lines)
	if t.Skipped > 0 {
		fmt.Fprintf(&b, "%d lines could not be read.\n", t.Skipped)
	}
	_, err := io.WriteString(w, b.String())
	return err
}
