// Package logwriter writes log lines without ever holding up the one who logs, within a budget of lines and bytes a second.
package logwriter

import (
	"bytes"
	"expvar"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// DefaultLines is the budget of a second. A busy entry host writes about a hundred lines.
	DefaultLines = 400
	// DefaultBytes is the budget of a second, at about 500 bytes a line.
	DefaultBytes = 200 << 10
	// burstSeconds is how much of the budget may be used at once.
	burstSeconds = 2
	// routineShare is the part of the budget that lines of routine may use. The rest is for refusals and failures.
	routineShare = 0.6
	// queued bounds the lines that wait for a slow reader.
	queued = 1024
	// reportInterval is the time between two lines that tell how many were dropped.
	reportInterval = time.Second
)

var countDropped = expvar.NewMap("logwriter_dropped_lines")

// Writer passes lines on to Output. Set the exported fields before the first Write.
type Writer struct {
	Output io.Writer
	// Lines and Bytes are the budget of a second; 0 means the default.
	Lines float64
	Bytes float64
	// Routine reports whether a line may be dropped before others; it may be nil.
	Routine func(line []byte) bool

	once    sync.Once
	lines   chan []byte
	stopped chan struct{}
	done    chan struct{}

	mu       sync.Mutex
	at       time.Time
	lineLeft float64
	byteLeft float64
	dropped  map[string]int
	reported time.Time
}

func (w *Writer) start() {
	if w.Lines <= 0 {
		w.Lines = DefaultLines
	}
	if w.Bytes <= 0 {
		w.Bytes = DefaultBytes
	}
	w.lineLeft, w.byteLeft, w.at, w.reported = burstSeconds*w.Lines, burstSeconds*w.Bytes, time.Now(), time.Now()
	w.lines, w.stopped, w.done = make(chan []byte, queued), make(chan struct{}), make(chan struct{})
	w.dropped = map[string]int{}
	go w.drain()
}

// Write implements io.Writer. It never blocks and always succeeds; a line that does not fit is counted.
func (w *Writer) Write(line []byte) (int, error) {
	w.once.Do(w.start)
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	passed := now.Sub(w.at).Seconds()
	w.at = now
	w.lineLeft = min(w.lineLeft+passed*w.Lines, burstSeconds*w.Lines)
	w.byteLeft = min(w.byteLeft+passed*w.Bytes, burstSeconds*w.Bytes)
	reserved := 0.0
	if w.Routine != nil && w.Routine(line) {
		reserved = 1 - routineShare
	}
	switch {
	case w.lineLeft-1 < reserved*w.Lines*burstSeconds || w.byteLeft-float64(len(line)) < reserved*w.Bytes*burstSeconds:
		w.drop("budget")
	case !w.enqueue(bytes.Clone(line)):
		w.drop("slow_reader")
	default:
		w.lineLeft--
		w.byteLeft -= float64(len(line))
	}
	w.report(now)
	return len(line), nil
}

func (w *Writer) enqueue(line []byte) bool {
	select {
	case w.lines <- line:
		return true
	default:
		return false
	}
}

func (w *Writer) drop(reason string) {
	countDropped.Add(reason, 1)
	w.dropped[reason]++
}

// report tells how many lines were dropped. The caller holds the lock.
func (w *Writer) report(now time.Time) {
	if len(w.dropped) == 0 || now.Sub(w.reported) < reportInterval {
		return
	}
	line := fmt.Appendf(nil, "W%s logwriter: lines dropped budget=%d slow_reader=%d\n", now.Format("0102 15:04:05.000000"),
		w.dropped["budget"], w.dropped["slow_reader"])
	if w.enqueue(line) {
		clear(w.dropped)
		w.reported = now
	}
}

func (w *Writer) drain() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.put(line)
		case <-w.stopped:
			for {
				select {
				case line := <-w.lines:
					w.put(line)
				default:
					return
				}
			}
		}
	}
}

func (w *Writer) put(line []byte) {
	if _, err := w.Output.Write(line); err != nil {
		// There is no other place to report it to than the counters.
		countDropped.Add("write_failed", 1)
	}
}

// Close writes what is queued and waits, for at most the time given.
func (w *Writer) Close(limit time.Duration) {
	w.once.Do(w.start)
	close(w.stopped)
	select {
	case <-w.done:
	case <-time.After(limit):
	}
}
