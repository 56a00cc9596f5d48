package answerer

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against chunks that are appended out of order, twice or after the end.
func TestAppend(t *testing.T) {
	a := New(Meta{RequestID: "r"}, nil)
	for i, want := range []bool{true, true, true} {
		if err := a.Append(i, fmt.Sprint(i)); (err == nil) != want {
			t.Errorf("chunk %d: %v", i, err)
		}
	}
	for _, index := range []int{0, 2, 4, -1} {
		var wrong *IndexError
		if err := a.Append(index, "x"); !errors.As(err, &wrong) || wrong.Want != 3 {
			t.Errorf("chunk %d: %v", index, err)
		}
	}
	if !a.Finish(End{Outcome: Done}) || a.Finish(End{Outcome: Unknown}) || a.Append(3, "x") == nil {
		t.Error("an answer changed after its end")
	}
	if text, end, err := a.WaitWhole(t.Context()); text != "012" || end.Outcome != Done || err != nil {
		t.Errorf("%q %v %v", text, end, err)
	}
}

// Guards against readers that miss or repeat chunks, for any start index and any time of the start.
func TestReaders(t *testing.T) {
	a := New(Meta{}, nil)
	var wg sync.WaitGroup
	for from := range 8 {
		wg.Go(func() {
			r := a.NewReader(from)
			defer r.Close()
			for want := from; ; want++ {
				chunk, end, err := r.Next(context.Background())
				if err != nil || end != nil && want != 100 {
					t.Errorf("reader from %d ended at %d: %v %v", from, want, end, err)
				}
				if chunk == nil {
					return
				}
				if chunk.Index != want {
					t.Errorf("chunk %d, want %d", chunk.Index, want)
				}
			}
		})
	}
	for i := range 100 {
		if err := a.Append(i, "x"); err != nil {
			t.Error(err)
		}
	}
	a.Finish(End{Outcome: Done})
	wg.Wait()
	if a.Readers() != 0 {
		t.Errorf("%d readers are left", a.Readers())
	}
}

// Guards against retained answers that exceed the memory limit or the retention time, and against the eviction of answers in
// progress.
func TestStoreIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Store{MaxBytes: 10_000, Retention: time.Minute}
		add := func(id string) *Answer {
			a, _ := s.Add(New(Meta{RequestID: id, Workspace: "w", Key: id, Pool: "p"}, nil))
			return a
		}
		running := add("running")
		for i := range 100 {
			a := add(fmt.Sprint(i))
			_ = a.Append(0, strings.Repeat("x", 472))
			a.Finish(End{Outcome: Done})
			s.MarkEnded(fmt.Sprint(i), a, RetainByKey)
		}
		if n := len(s.EndedByKey("p")); n != 10 || s.Get("99") == nil || s.Get("89") != nil || s.Get("running") != running {
			t.Errorf("%d answers are kept", n)
		}
		time.Sleep(time.Minute)
		s.Sweep()
		if n := len(s.EndedByKey("p")); n != 0 || s.bytes != 0 || s.Active() != 1 {
			t.Errorf("%d answers and %d bytes are kept", n, s.bytes)
		}
		if existing, added := s.Add(New(Meta{RequestID: "other", Workspace: "w", Key: "running"}, nil)); added || existing != running {
			t.Error("a key was given to two requests")
		}
	})
}
