package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/admitter"
	"github.com/dragonflycroft/dragonflycroft/internal/exchanger"
)

const (
	// streamIdleTimeout is the time without progress after which another endpoint is sought for a stream. It is below the two
	// seconds after which callers disconnect, so that the next endpoint has time to process the prompt.
	streamIdleTimeout = 1200 * time.Millisecond
	// maxEventBytes is the largest size of an event.
	maxEventBytes = 1 << 20
	// maxSeparatorBytes is the length of the longest separator between two events.
	maxSeparatorBytes = 4
	// streamReadBytes is the initial size of the buffer for a stream.
	streamReadBytes = 4 << 10
)

// errIncompleteEvent reports a stream that ended within an event, and errEmptyStream one that ended with its connection before the
// first event, which does not distinguish a complete stream from a crash.
var (
	errIncompleteEvent = eris.New("stream ended within an event")
	errEmptyStream     = eris.New("stream without a length ended before its first event")
)

// errNoContinuation reports a successful response that does not go on with the stream that another endpoint began.
var errNoContinuation = eris.New("response does not go on with the stream")

// relay forwards complete events as they arrive and records the ID of the last one.
func (q *request) relay(grant *admitter.Grant, response *exchanger.Response, f *failover) (sendOutcome, bufferedResponse, error) {
	if q.streaming && mediaType(response.Header) != mediaType(q.w.Header()) {
		return q.recordInterrupted(grant, errNoContinuation)
	}
	control := http.NewResponseController(q.w)
	buffer := make([]byte, 0, streamReadBytes)
	for {
		if len(buffer) == cap(buffer) {
			buffer = append(buffer, 0)[:len(buffer)]
		}
		// The bytes that were read before contain no complete separator, but may end with the beginning of one.
		searched := max(0, len(buffer)-maxSeparatorBytes+1)
		n, err := response.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if n > 0 {
			f.recordBytes()
		}
		if complete := lastEventEnd(buffer[searched:]); complete > 0 {
			complete += searched
			if q.sendEvents == 0 && (q.streaming || q.isTakeUp()) && !continues(buffer[:complete]) {
				return q.recordInterrupted(grant, errNoContinuation)
			}
			events, progress := q.newEvents(buffer[:complete])
			if progress {
				// Only events are progress: a faulty endpoint may go on sending single bytes or comments without end.
				f.recordProgress()
			}
			if len(events) > 0 {
				q.bindStream(grant, f)
			}
			if err := q.writeEvents(control, response, events); err != nil {
				grant.EndAbandoned(time.Now())
				return interrupted, bufferedResponse{}, err
			}
			q.recordEvents(events)
			grant.RecordEvent(time.Now())
			buffer = append(buffer[:0], buffer[complete:]...)
		}
		switch {
		case errors.Is(err, io.EOF) && !response.Framed() && q.sendEvents == 0:
			return q.recordInterrupted(grant, errEmptyStream)
		case errors.Is(err, io.EOF) && len(buffer) == 0:
			if !q.streaming {
				if err := q.writeEvents(control, response, nil); err != nil {
					klog.V(1).Infof("gateway: writing an empty stream failed request=%s reason=%q", q.id, err)
				}
			}
			response.MarkComplete()
			grant.End(time.Now(), false)
			return answered, bufferedResponse{status: response.Status}, nil
		case errors.Is(err, io.EOF):
			return q.recordInterrupted(grant, errIncompleteEvent)
		case err != nil:
			return q.recordInterrupted(grant, err)
		case len(buffer) > maxEventBytes:
			return q.recordInterrupted(grant, eris.Errorf("event exceeds %d bytes", maxEventBytes))
		}
	}
}

// mediaType returns the Content-Type of a response without its parameters.
func mediaType(h http.Header) string {
	kind, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(kind))
}

// continues reports whether the first event that is no comment has an ID. Otherwise it is not known which event it follows, or it is the
// text of an error.
func continues(events []byte) bool {
	for len(events) > 0 {
		end := eventEnd(events)
		if !isComment(events[:end]) {
			return eventID(events[:end]) != ""
		}
		events = events[end:]
	}
	return true
}

// writeEvents writes events to the caller, preceded by the response head at the first call. A resumed stream keeps the head of
// its first endpoint.
func (q *request) writeEvents(control *http.ResponseController, response *exchanger.Response, events []byte) error {
	if !q.streaming {
		q.copyHeader(response.Header)
		q.w.WriteHeader(response.Status)
		q.streaming = true
	}
	if _, err := q.w.Write(events); err != nil {
		return err
	}
	return control.Flush()
}

// newEvents records the ID of the last event and drops leading events that the caller has already received. Progress is true if
// any event is new to the caller and more than a comment.
func (q *request) newEvents(events []byte) (out []byte, progress bool) {
	delivered := q.lastEvent
	out = events
	for rest := events; len(rest) > 0; {
		end := eventEnd(rest)
		id := eventID(rest[:end])
		switch {
		case id == "":
			progress = progress || !isComment(rest[:end])
		case delivered != "" && !idAfter(id, delivered):
			out = rest[end:]
		default:
			q.lastEvent, progress = id, true
		}
		rest = rest[end:]
	}
	return out, progress
}

// isComment reports whether an event consists of comment lines only, which servers send as keep-alives.
func isComment(event []byte) bool {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if line = bytes.TrimSpace(line); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

func (q *request) recordEvents(events []byte) {
	now := time.Now()
	if q.events > 0 {
		q.longestGap = max(q.longestGap, now.Sub(q.lastEventAt))
	}
	q.lastEventAt = now
	if q.events == 0 {
		q.firstEvent = time.Since(q.started)
		firstEventTimes.Observe(q.metricLabel(), q.firstEvent)
	}
	for len(events) > 0 {
		events = events[eventEnd(events):]
		q.events++
		q.sendEvents++
	}
	if q.sendFirstEventAt.Before(q.sendBegan) {
		q.sendFirstEventAt = now
	}
	if now.Sub(q.sendFirstEventAt) >= survivalTime {
		q.recordSurvival(now)
	}
}

// idAfter reports whether an event ID follows another one. IDs are increasing numbers; any other IDs follow each other if they
// differ.
func idAfter(id, than string) bool {
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(than, 10, 64)
	if errA != nil || errB != nil {
		return id != than
	}
	return a > b
}

// eventEnd returns the length of the first complete event with its separator, or 0 if there is none.
func eventEnd(b []byte) int {
	lf, crlf := bytes.Index(b, []byte("\n\n")), bytes.Index(b, []byte("\r\n\r\n"))
	switch {
	case lf >= 0 && (crlf < 0 || lf < crlf):
		return lf + len("\n\n")
	case crlf >= 0:
		return crlf + len("\r\n\r\n")
	}
	return 0
}

// lastEventEnd returns the length of all complete events with their separators.
func lastEventEnd(b []byte) int {
	end := 0
	for _, separator := range []string{"\n\n", "\r\n\r\n"} {
		if at := bytes.LastIndex(b, []byte(separator)); at >= 0 {
			end = max(end, at+len(separator))
		}
	}
	return end
}

// eventID returns the ID of an event, or an empty string if it has none.
func eventID(event []byte) string {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(id))
		}
	}
	return ""
}
