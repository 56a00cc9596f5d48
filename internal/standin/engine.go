package standin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/connector"
	"github.com/dragonflycroft/dragonflycroft/internal/emulator"
)

const (
	// sampleInterval is how often the load is sampled for lagging reports.
	sampleInterval = 100 * time.Millisecond
	// keepAliveInterval is how often a stream without a new chunk sends an SSE comment.
	keepAliveInterval   = 500 * time.Millisecond
	defaultOutputTokens = 32
)

// Engine is a stand-in model engine. Set the exported fields before Start.
type Engine struct {
	Name       string
	ListenAddr string
	Model      emulator.Options
	// Models are the models loaded at the start.
	Models        []string
	ChecksFencing bool
	// LoadLag is the age of the load reports, CacheLag that of the cache events.
	LoadLag  time.Duration
	CacheLag time.Duration
	// CacheGapEvery drops every n-th cache event; 0 drops none.
	CacheGapEvery int
	// RestartAfter is the time from a crash to the next start; 0 means that the engine stays down.
	RestartAfter time.Duration
	Records      *Records

	server  httpServer
	mu      sync.Mutex
	core    *emulator.Engine
	started time.Time
	runs    map[string]*run
	samples []loadSample
	events  []cacheSample
	kv      map[string][]byte
	models  []string
	role    string
	fence   uint64
	crashes int
	wake    chan struct{}
	stop    chan struct{}
	closed  bool
	wg      sync.WaitGroup
}

type loadSample struct {
	at                       time.Time
	running, waiting, tokens int
}

type cacheSample struct {
	at    time.Time
	event connector.CacheEvent
}

// run is one dispatched request; changed is closed and replaced whenever chunks are added.
type run struct {
	id      string
	digest  string
	tokens  int
	chunks  []string
	usage   *connector.Usage
	ended   bool
	changed chan struct{}
	crash   bool
}

func (r *run) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Answer returns the whole answer of n tokens to a request body. It depends on the messages only, since the fields that
// control streaming may be changed on the way.
func Answer(body []byte, n int) string {
	var b strings.Builder
	var req chatRequest
	_ = json.Unmarshal(body, &req)
	digest := digestOf(req.prompt())
	for i := range n {
		b.WriteString(tokenOf(digest, i))
	}
	return b.String()
}

func digestOf(prompt string) string {
	sum := sha256.Sum256([]byte(prompt))
	return hex.EncodeToString(sum[:4])
}

func tokenOf(digest string, i int) string { return fmt.Sprintf("%s-%d ", digest, i) }

// Start binds the address and serves until Close.
func (e *Engine) Start() error {
	e.mu.Lock()
	e.core = emulator.New(e.Model)
	e.started = time.Now()
	e.runs = make(map[string]*run)
	e.kv = make(map[string][]byte)
	e.models = slices.Clone(e.Models)
	e.wake = make(chan struct{}, 1)
	e.stop = make(chan struct{})
	e.mu.Unlock()
	e.server.routes = e.register
	if err := e.server.listen(e.ListenAddr); err != nil {
		return err
	}
	e.wg.Go(e.drive)
	return nil
}

// Addr returns the bound address.
func (e *Engine) Addr() string { return e.server.boundAddr() }

// Close stops the engine and waits.
func (e *Engine) Close() error {
	e.mu.Lock()
	if e.closed || e.stop == nil {
		e.mu.Unlock()
		return nil
	}
	e.closed = true
	close(e.stop)
	e.endRuns()
	e.mu.Unlock()
	e.server.stop()
	e.wg.Wait()
	return nil
}

func (e *Engine) now() time.Duration { return time.Since(e.started) }

// SetSpeed changes the speed to factor of the nominal one.
func (e *Engine) SetSpeed(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	e.core.SetSpeed(e.now(), factor)
	e.poke()
}

// SetSilent makes the engine accept connections and answer nothing.
func (e *Engine) SetSilent(silent bool) {
	e.server.withListener(func(l *faultListener) { l.muted.Store(silent) })
}

// MuteOpen makes the open connections silent for good; new ones work.
func (e *Engine) MuteOpen() { e.server.withListener((*faultListener).muteOpen) }

// ResetOpen breaks the open connections; runs go on.
func (e *Engine) ResetOpen() { e.server.withListener((*faultListener).resetOpen) }

// Crashes returns how often the engine has crashed.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// Crash loses all runs and connections, and starts the engine again after RestartAfter.
func (e *Engine) Crash() {
	e.mu.Lock()
	if e.closed {
		e.mu.Unlock()
		return
	}
	e.crashes++
	e.core.Crash(e.now())
	e.endRuns()
	e.runs = make(map[string]*run)
	e.mu.Unlock()
	e.server.stop()
	if e.RestartAfter <= 0 {
		return
	}
	e.wg.Go(func() {
		select {
		case <-time.After(e.RestartAfter):
			_ = e.server.listen(e.ListenAddr)
		case <-e.stop:
		}
	})
}

// endRuns ends all runs without a result; their streams break.
func (e *Engine) endRuns() {
	for _, r := range e.runs {
		r.ended = true
		r.notify()
	}
}

func (e *Engine) poke() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// drive advances the emulated engine in real time.
func (e *Engine) drive() {
	sample := time.NewTicker(sampleInterval)
	defer sample.Stop()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		e.mu.Lock()
		crashed := e.advance()
		wait := time.Hour
		if next, ok := e.core.Next(); ok {
			wait = max(0, next-e.now())
		}
		e.mu.Unlock()
		if crashed {
			e.wg.Go(e.Crash)
		}
		timer.Reset(wait)
		select {
		case <-timer.C:
		case <-e.wake:
		case <-sample.C:
			e.mu.Lock()
			e.sample()
			e.mu.Unlock()
		case <-e.stop:
			return
		}
	}
}

func (e *Engine) sample() {
	running, waiting, tokens := e.core.Load()
	e.samples = append(e.samples, loadSample{at: time.Now(), running: running, waiting: waiting, tokens: tokens})
	horizon := time.Now().Add(-e.LoadLag - 2*sampleInterval)
	for len(e.samples) > 1 && e.samples[1].at.Before(horizon) {
		e.samples = e.samples[1:]
	}
}

// advance applies the outputs that are due. It reports whether a run asked for a crash.
func (e *Engine) advance() (crash bool) {
	for _, out := range e.core.Advance(e.now()) {
		r := e.runs[out.ID]
		if r == nil {
			continue
		}
		var text strings.Builder
		for range out.Tokens {
			text.WriteString(tokenOf(r.digest, r.tokens))
			r.tokens++
		}
		r.chunks = append(r.chunks, text.String())
		if out.Done {
			r.usage, r.ended = &out.Usage, true
			e.Records.finish(r.id)
		}
		crash = crash || r.crash
		r.notify()
	}
	for _, event := range e.core.TakeCacheEvents() {
		if e.CacheGapEvery > 0 && event.Seq%uint64(e.CacheGapEvery) == 0 {
			continue
		}
		e.events = append(e.events, cacheSample{at: time.Now(), event: event})
	}
	return crash
}

// chatRequest is the part of an OpenAI chat completion request that the stand-in reads.
type chatRequest struct {
	Model    string `json:"model"`
	Messages []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
	MaxTokens int `json:"max_tokens"`
	Metadata  struct {
		OutputTokens int  `json:"standin_output_tokens,string"`
		Crash        bool `json:"standin_crash,string"`
	} `json:"metadata"`
}

func (r *chatRequest) prompt() string {
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Content)
	}
	return b.String()
}

func (e *Engine) submit(requestID string, body []byte) (*run, error) {
	var req chatRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, fmt.Errorf("decode request: %w", err)
	}
	prompt := req.prompt()
	output := req.Metadata.OutputTokens
	if output <= 0 {
		output = defaultOutputTokens
	}
	if req.MaxTokens > 0 {
		output = min(output, req.MaxTokens)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !slices.Contains(e.models, req.Model) {
		return nil, &modelError{model: req.Model}
	}
	r := &run{id: requestID, digest: digestOf(prompt), changed: make(chan struct{}), crash: req.Metadata.Crash}
	e.runs[requestID] = r
	e.Records.dispatched(e.Name, requestID)
	e.advance()
	e.core.Submit(e.now(), emulator.Job{
		ID:           requestID,
		PromptTokens: max(1, len(prompt)/4),
		OutputTokens: output,
		PrefixBlocks: connector.PrefixBlocks(prompt),
	})
	e.poke()
	return r, nil
}

type modelError struct{ model string }

// Error implements error.
func (m *modelError) Error() string { return fmt.Sprintf("model %q is not loaded", m.model) }

// next waits until chunk index exists or the run has ended.
func (e *Engine) next(ctx context.Context, r *run, index int) (text string, ok bool, timedOut bool) {
	timer := time.NewTimer(keepAliveInterval)
	defer timer.Stop()
	for {
		e.mu.Lock()
		if index < len(r.chunks) {
			text = r.chunks[index]
			e.mu.Unlock()
			return text, true, false
		}
		ended, changed := r.ended, r.changed
		e.mu.Unlock()
		if ended {
			return "", false, false
		}
		select {
		case <-changed:
		case <-timer.C:
			return "", false, true
		case <-ctx.Done():
			return "", false, false
		}
	}
}
