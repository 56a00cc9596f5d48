package tracecoder

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Limits of a trace. They prevent a damaged file from exhausting memory.
const (
	maxLineBytes = 4 << 20
	maxTokens    = 1 << 20
	maxBlocks    = 1 << 14
	maxTimeUS    = 24 * 3600 * 1_000_000
)

// LineError reports an invalid line of a trace. Lines are numbered from 1.
type LineError struct {
	Line int
	Err  error
}

// Error implements error.
func (e *LineError) Error() string { return fmt.Sprintf("trace line %d: %v", e.Line, e.Err) }

// Unwrap returns the underlying error.
func (e *LineError) Unwrap() error { return e.Err }

// Decode reads a trace and validates it. It reports an invalid line as a *LineError.
func Decode(r io.Reader) (*Trace, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	d := decoder{trace: &Trace{}}
	line := 0
	for scanner.Scan() {
		line++
		if err := d.decodeLine(scanner.Bytes()); err != nil {
			return nil, &LineError{Line: line, Err: err}
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, &LineError{Line: line + 1, Err: err}
	}
	if line == 0 {
		return nil, &LineError{Line: 1, Err: errors.New("the header is missing")}
	}
	return d.trace, nil
}

type decoder struct {
	trace   *Trace
	checker *checker
	lastUS  int64
}

func (d *decoder) decodeLine(data []byte) error {
	var kind struct {
		Record string `json:"record"`
	}
	if err := json.Unmarshal(data, &kind); err != nil {
		return err
	}
	if (d.checker == nil) != (kind.Record == "header") {
		return fmt.Errorf("record %q: a trace needs exactly one header, on its first line", kind.Record)
	}
	switch kind.Record {
	case "header":
		if err := decodeStrict(data, &d.trace.Header); err != nil {
			return err
		}
		check, err := newChecker(&d.trace.Header)
		d.checker = check
		return err
	case "request":
		var r Request
		if err := decodeStrict(data, &r); err != nil {
			return err
		}
		d.trace.Requests = append(d.trace.Requests, r)
		return errors.Join(d.checkTime(r.AtUS), d.checker.request(&r))
	case "change":
		var c Change
		if err := decodeStrict(data, &c); err != nil {
			return err
		}
		d.trace.Changes = append(d.trace.Changes, c)
		return errors.Join(d.checkTime(c.AtUS), d.checker.change(&c))
	}
	return fmt.Errorf("unknown record %q", kind.Record)
}

func (d *decoder) checkTime(at int64) error {
	if at < d.lastUS || at > maxTimeUS {
		return fmt.Errorf("at_us %d: earlier than the record before it or more than one day", at)
	}
	d.lastUS = at
	return nil
}

func decodeStrict(data []byte, into any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data follows the record")
	}
	return nil
}

// Encode writes a trace as JSON lines, with requests and changes merged by time. Equal traces give equal bytes.
func Encode(w io.Writer, t *Trace) error {
	enc := json.NewEncoder(w)
	if err := enc.Encode(t.Header); err != nil {
		return err
	}
	changes := t.Changes
	for _, r := range t.Requests {
		for len(changes) > 0 && changes[0].AtUS <= r.AtUS {
			if err := enc.Encode(changes[0]); err != nil {
				return err
			}
			changes = changes[1:]
		}
		if err := enc.Encode(r); err != nil {
			return err
		}
	}
	for _, c := range changes {
		if err := enc.Encode(c); err != nil {
			return err
		}
	}
	return nil
}

// Blocks returns the hashes of all whole blocks of a request's prompt: first those of the shared segments, then those of the
// text that is unique to the request.
func (r *Request) Blocks() []uint64 {
	var c blockHasher
	for _, segment := range r.Prefix {
		name, n, err := splitSegment(segment)
		if err != nil {
			return c.blocks
		}
		c.extend(name, n)
	}
	c.extend(r.ID, r.PromptTokens/BlockTokens-len(c.blocks))
	return c.blocks
}

// blockHasher computes the hashes of consecutive blocks. Each hash covers the whole prefix up to the end of its block.
type blockHasher struct {
	blocks []uint64
	last   uint64
}

func (c *blockHasher) extend(name string, n int) {
	var buf [16]byte
	for i := range max(n, 0) {
		binary.LittleEndian.PutUint64(buf[:8], c.last)
		binary.LittleEndian.PutUint64(buf[8:], uint64(i))
		h := xxhash.New()
		_, _ = h.Write(buf[:])
		_, _ = h.WriteString(name)
		c.last = h.Sum64()
		c.blocks = append(c.blocks, c.last)
	}
}

func splitSegment(segment string) (name string, blocks int, err error) {
	name, count, ok := strings.Cut(segment, "*")
	if ok {
		blocks, err = strconv.Atoi(count)
	}
	if !ok || err != nil || name == "" || blocks < 1 || blocks > maxBlocks {
		return "", 0, fmt.Errorf("prefix %q: want NAME*BLOCKS", segment)
	}
	return name, blocks, nil
}
