package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes the record of a run: what was sent, answered and run.
type recorder struct {
	mu     sync.Mutex
	began  time.Time
	file   *os.File
	out    *bufio.Writer
	failed bool
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{began: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// event writes one line with the time since the start.
func (r *recorder) event(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	_ = r.out.Flush()
}

// fail records that the case could not run.
func (r *recorder) fail(format string, args ...any) {
	r.event("could not run: "+format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed = true
}

func (r *recorder) couldNotRun() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failed
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
