package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/admitter"
	"github.com/dragonflycroft/dragonflycroft/internal/exchanger"
)

const (
	// streamSilence is the pause of a stream after which it is resumed elsewhere. It is below the two seconds after which
	// callers leave, so that the next endpoint can read the prompt in time.
	streamSilence = 1200 * time.Millisecond
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
	// maxMarkBytes is the length of the longest mark between two events.
	maxMarkBytes = 4
	// streamBuffer is the size of one read of a stream.
	streamBuffer = 4 << 10
)

// errNotWhole reports a stream that ended within an event.
var errNotWhole = eris.New("the stream ended within an event")

// relay passes whole events on as they arrive, and notes the id of the last one.
func (q *request) relay(grant *admitter.Grant, response *exchanger.Response, silence *time.Timer, limit time.Duration) (verdict, held, error) {
	control := http.NewResponseController(q.w)
	buffer := make([]byte, 0, streamBuffer)
	for {
		if len(buffer) == cap(buffer) {
			buffer = append(buffer, 0)[:len(buffer)]
		}
		// What was read before holds no end of an event, except for the beginning of its mark.
		searched := max(0, len(buffer)-maxMarkBytes+1)
		n, err := response.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if whole := lastEventEnd(buffer[searched:]); whole > 0 {
			whole += searched
			events, progress := q.fresh(buffer[:whole])
			if progress {
				// Only events are progress: an endpoint in trouble may send a byte, or a comment, now and then without end.
				silence.Reset(limit)
			}
			if err := q.write(control, response, events); err != nil {
				grant.EndAbandoned(time.Now())
				return interrupted, held{}, err
			}
			q.countEvents(events)
			grant.Event(time.Now())
			buffer = append(buffer[:0], buffer[whole:]...)
		}
		switch {
		case errors.Is(err, io.EOF) && len(buffer) == 0:
			if !q.streaming {
				if err := q.write(control, response, nil); err != nil {
					klog.V(1).Infof("gateway: empty stream not delivered request=%s reason=%q", q.id, err)
				}
			}
			response.Finish()
			grant.End(time.Now(), false)
			return answered, held{status: response.Status}, nil
		case errors.Is(err, io.EOF):
			return q.broken(grant, errNotWhole)
		case err != nil:
			return q.broken(grant, err)
		case len(buffer) > maxEventBytes:
			return q.broken(grant, eris.Errorf("an event has more than %d bytes", maxEventBytes))
		}
	}
}

// write passes events on, after the head if it is the first time. A resumed stream keeps the head of its first endpoint.
func (q *request) write(control *http.ResponseController, response *exchanger.Response, events []byte) error {
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

// fresh notes the id of the last event, and drops events at the front that the caller has already. It reports whether any
// event is new to the caller and no mere comment.
func (q *request) fresh(events []byte) (out []byte, progress bool) {
	have := q.lastEvent
	out = events
	for rest := events; len(rest) > 0; {
		end := eventEnd(rest)
		id := eventID(rest[:end])
		switch {
		case id == "":
			progress = progress || !isComment(rest[:end])
		case have != "" && !after(id, have):
			out = rest[end:]
		default:
			q.lastEvent, progress = id, true
		}
		rest = rest[end:]
	}
	return out, progress
}

// isComment reports whether an event has comment lines only, which servers send to keep a connection open.
func isComment(event []byte) bool {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if line = bytes.TrimSpace(line); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

func (q *request) countEvents(events []byte) {
	now := time.Now()
	if q.events > 0 {
		q.longestGap = max(q.longestGap, now.Sub(q.lastAt))
	}
	q.lastAt = now
	if q.events == 0 {
		q.firstEvent = time.Since(q.started)
		firstEventTimes.Observe(q.label(), q.firstEvent)
	}
	for len(events) > 0 {
		events = events[eventEnd(events):]
		q.events++
	}
}

// after compares two event ids, which are increasing numbers.
func after(id, than string) bool {
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(than, 10, 64)
	if errA != nil || errB != nil {
		return id != than
	}
	return a > b
}

// eventEnd returns the length of the first whole event, or 0.
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

// lastEventEnd returns the length of all whole events.
func lastEventEnd(b []byte) int {
	end := 0
	for _, mark := range []string{"\n\n", "\r\n\r\n"} {
		if at := bytes.LastIndex(b, []byte(mark)); at >= 0 {
			end = max(end, at+len(mark))
		}
	}
	return end
}

// eventID returns the id of an event, or an empty text.
func eventID(event []byte) string {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(id))
		}
	}
	return ""
}
