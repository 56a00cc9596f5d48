// Package logwriter writes log lines without blocking the caller, within a rate limit of lines and bytes per second.
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
	// DefaultLinesPerSecond is the default number of lines per second. A busy entry host writes about 100.
	DefaultLinesPerSecond = 400
	// DefaultBytesPerSecond is the default number of bytes per second, for lines of about 500 bytes.
	DefaultBytesPerSecond = 200 << 10
	// burstSeconds is the size of the burst, in seconds of the rate limit.
	burstSeconds = 2
	// lowPriorityShare is the share of the burst that low-priority lines may use. The rest is reserved for refusals and failures.
	lowPriorityShare = 0.6
	// maxQueuedLines bounds the lines that wait for a slow reader of the output.
	maxQueuedLines = 1024
	// reportInterval is the minimum time between two lines with the number of dropped lines.
	reportInterval = time.Second
)

var countDropped = expvar.NewMap("logwriter_dropped_lines")

// Writer writes lines to Output in a separate goroutine. Set the exported fields before the first Write.
type Writer struct {
	Output io.Writer
	// LinesPerSecond and BytesPerSecond are the rate limit per second; 0 means the default.
	LinesPerSecond float64
	BytesPerSecond float64
	// LowPriority reports whether a line has low priority, so that it is dropped before others; it may be nil.
	LowPriority func(line []byte) bool

	once    sync.Once
	queue   chan []byte
	closing chan struct{}
	done    chan struct{}

	mu         sync.Mutex
	refilledAt time.Time
	lineTokens float64
	byteTokens float64
	dropped    map[string]int
	reportedAt time.Time
}

func (w *Writer) start() {
	if w.LinesPerSecond <= 0 {
		w.LinesPerSecond = DefaultLinesPerSecond
	}
	if w.BytesPerSecond <= 0 {
		w.BytesPerSecond = DefaultBytesPerSecond
	}
	w.lineTokens, w.byteTokens, w.refilledAt, w.reportedAt = burstSeconds*w.LinesPerSecond, burstSeconds*w.BytesPerSecond, time.Now(), time.Now()
	w.queue, w.closing, w.done = make(chan []byte, maxQueuedLines), make(chan struct{}), make(chan struct{})
	w.dropped = map[string]int{}
	go w.writeQueued()
}

// Write queues a line. It never blocks and never returns an error; a line that exceeds the rate limit or finds the queue full is
// dropped and counted.
func (w *Writer) Write(line []byte) (int, error) {
	w.once.Do(w.start)
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	elapsed := now.Sub(w.refilledAt).Seconds()
	w.refilledAt = now
	w.lineTokens = min(w.lineTokens+elapsed*w.LinesPerSecond, burstSeconds*w.LinesPerSecond)
	w.byteTokens = min(w.byteTokens+elapsed*w.BytesPerSecond, burstSeconds*w.BytesPerSecond)
	reserved := 0.0
	if w.LowPriority != nil && w.LowPriority(line) {
		reserved = 1 - lowPriorityShare
	}
	switch {
	case w.lineTokens-1 < reserved*w.LinesPerSecond*burstSeconds || w.byteTokens-float64(len(line)) < reserved*w.BytesPerSecond*burstSeconds:
		w.drop("budget")
	case !w.enqueue(bytes.Clone(line)):
		w.drop("slow_reader")
	default:
		w.lineTokens--
		w.byteTokens -= float64(len(line))
	}
	w.reportDropped(now)
	return len(line), nil
}

func (w *Writer) enqueue(line []byte) bool {
	select {
	case w.queue <- line:
		return true
	default:
		return false
	}
}

func (w *Writer) drop(reason string) {
	countDropped.Add(reason, 1)
	w.dropped[reason]++
}

// reportDropped queues a line with the number of dropped lines. The caller holds the lock.
func (w *Writer) reportDropped(now time.Time) {
	if len(w.dropped) == 0 || now.Sub(w.reportedAt) < reportInterval {
		return
	}
	line := fmt.Appendf(nil, "W%s logwriter: lines dropped budget=%d slow_reader=%d\n", now.Format("0102 15:04:05.000000"),
		w.dropped["budget"], w.dropped["slow_reader"])
	if w.enqueue(line) {
		clear(w.dropped)
		w.reportedAt = now
	}
}

func (w *Writer) writeQueued() {
	defer close(w.done)
	for {
		select {
		case line := <-w.queue:
			w.writeLine(line)
		case <-w.closing:
			for {
				select {
				case line := <-w.queue:
					w.writeLine(line)
				default:
					return
				}
			}
		}
	}
}

func (w *Writer) writeLine(line []byte) {
	if _, err := w.Output.Write(line); err != nil {
		// The log itself is unavailable, so that the failure is only counted.
		countDropped.Add("write_failed", 1)
	}
}

// Close writes the queued lines and waits until they are written or the timeout has passed.
func (w *Writer) Close(timeout time.Duration) {
	w.once.Do(w.start)
	close(w.closing)
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}
