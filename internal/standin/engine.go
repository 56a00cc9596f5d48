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
	// sampleInterval is the interval between samples of the load, which delayed load reports are taken from.
	sampleInterval = 100 * time.Millisecond
	// keepAliveInterval is the time without a new chunk after which a stream sends an SSE comment.
	keepAliveInterval   = 500 * time.Millisecond
	defaultOutputTokens = 32
)

// Engine is a stand-in model engine. Set the exported fields before Start.
type Engine struct {
	Name       string
	ListenAddr string
	Model      emulator.Options
	// Models are the models that are loaded at the start.
	Models        []string
	ChecksFencing bool
	// LoadLag is the delay of load reports, CacheLag that of cache events.
	LoadLag  time.Duration
	CacheLag time.Duration
	// CacheGapEvery drops every n-th cache event; 0 drops none.
	CacheGapEvery int
	// RestartAfter is the time from a crash to the restart; 0 disables the restart.
	RestartAfter time.Duration
	Records      *Records

	server   httpServer
	mu       sync.Mutex
	emulated *emulator.Engine
	started  time.Time
	runs     map[string]*run
	samples  []loadSample
	events   []timedCacheEvent
	kv       map[string][]byte
	models   []string
	role     string
	fence    uint64
	crashes  int
	wake     chan struct{}
	stop     chan struct{}
	closed   bool
	wg       sync.WaitGroup
}

type loadSample struct {
	at                       time.Time
	running, waiting, tokens int
}

type timedCacheEvent struct {
	at    time.Time
	event connector.CacheEvent
}

// run is one dispatched request. changed is closed and replaced whenever chunks are added or the run ends.
type run struct {
	id            string
	digest        string
	tokens        int
	chunks        []string
	usage         *connector.Usage
	ended         bool
	changed       chan struct{}
	crashOnOutput bool
}

func (r *run) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Answer returns the complete answer of n tokens to a request body. It depends on the messages only, since hosts may change
// the fields that control streaming.
func Answer(body []byte, n int) string {
	var b strings.Builder
	var req chatRequest
	_ = json.Unmarshal(body, &req)
	digest := promptDigest(req.prompt())
	for i := range n {
		b.WriteString(tokenText(digest, i))
	}
	return b.String()
}

func promptDigest(prompt string) string {
	sum := sha256.Sum256([]byte(prompt))
	return hex.EncodeToString(sum[:4])
}

func tokenText(digest string, i int) string { return fmt.Sprintf("%s-%d ", digest, i) }

// Start binds the address and serves until Close.
func (e *Engine) Start() error {
	e.mu.Lock()
	e.emulated = emulator.New(e.Model)
	e.started = time.Now()
	e.runs = make(map[string]*run)
	e.kv = make(map[string][]byte)
	e.models = slices.Clone(e.Models)
	e.wake = make(chan struct{}, 1)
	e.stop = make(chan struct{})
	e.mu.Unlock()
	e.server.registerRoutes = e.registerRoutes
	if err := e.server.listen(e.ListenAddr); err != nil {
		return err
	}
	e.wg.Go(e.runLoop)
	return nil
}

// Addr returns the bound address.
func (e *Engine) Addr() string { return e.server.boundAddr() }

// Close stops the engine and waits until its goroutines have ended.
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

// SetSpeed changes the speed to factor of the nominal speed.
func (e *Engine) SetSpeed(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	e.emulated.SetSpeed(e.now(), factor)
	e.wakeLoop()
}

// SetDropWrites sets whether the engine drops every byte that it writes to its connections. It accepts connections in any case.
func (e *Engine) SetDropWrites(drop bool) {
	e.server.withListener(func(l *faultListener) { l.dropWrites.Store(drop) })
}

// DropWritesOnOpen drops every further byte written to the connections that are open now; new connections work.
func (e *Engine) DropWritesOnOpen() { e.server.withListener((*faultListener).dropWritesOnOpen) }

// ResetOpen closes the open connections with a TCP reset; runs continue.
func (e *Engine) ResetOpen() { e.server.withListener((*faultListener).resetOpen) }

// Crashes returns how often the engine has crashed.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// Crash drops all runs, the prefix cache and all connections, and starts serving again after RestartAfter.
func (e *Engine) Crash() {
	e.mu.Lock()
	if e.closed {
		e.mu.Unlock()
		return
	}
	e.crashes++
	e.emulated.Crash(e.now())
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

// endRuns ends all runs without a result, so that their streams are cut off. The caller holds the lock.
func (e *Engine) endRuns() {
	for _, r := range e.runs {
		r.ended = true
		r.notify()
	}
}

func (e *Engine) wakeLoop() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// runLoop advances the emulated engine in real time until Close.
func (e *Engine) runLoop() {
	sample := time.NewTicker(sampleInterval)
	defer sample.Stop()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		e.mu.Lock()
		crashed := e.advance()
		wait := time.Hour
		if next, ok := e.emulated.Next(); ok {
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
	running, waiting, tokens := e.emulated.Load()
	e.samples = append(e.samples, loadSample{at: time.Now(), running: running, waiting: waiting, tokens: tokens})
	horizon := time.Now().Add(-e.LoadLag - 2*sampleInterval)
	for len(e.samples) > 1 && e.samples[1].at.Before(horizon) {
		e.samples = e.samples[1:]
	}
}

// advance records the outputs that are due in their runs, and reports whether one of these runs requests a crash. The caller
// holds the lock.
func (e *Engine) advance() (crash bool) {
	for _, out := range e.emulated.Advance(e.now()) {
		r := e.runs[out.ID]
		if r == nil {
			continue
		}
		var text strings.Builder
		for range out.Tokens {
			text.WriteString(tokenText(r.digest, r.tokens))
			r.tokens++
		}
		r.chunks = append(r.chunks, text.String())
		if out.Done {
			r.usage, r.ended = &out.Usage, true
			e.Records.recordFinish(r.id)
		}
		crash = crash || r.crashOnOutput
		r.notify()
	}
	for _, event := range e.emulated.TakeCacheEvents() {
		if e.CacheGapEvery > 0 && event.Seq%uint64(e.CacheGapEvery) == 0 {
			continue
		}
		e.events = append(e.events, timedCacheEvent{at: time.Now(), event: event})
	}
	return crash
}

// chatRequest holds the fields of an OpenAI chat completion request that the stand-in reads.
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
		return nil, &modelNotLoadedError{model: req.Model}
	}
	r := &run{id: requestID, digest: promptDigest(prompt), changed: make(chan struct{}), crashOnOutput: req.Metadata.Crash}
	e.runs[requestID] = r
	e.Records.recordDispatch(e.Name, requestID)
	e.advance()
	e.emulated.Submit(e.now(), emulator.Job{
		ID:           requestID,
		PromptTokens: max(1, len(prompt)/4),
		OutputTokens: output,
		PrefixBlocks: connector.PrefixBlockHashes(prompt),
	})
	e.wakeLoop()
	return r, nil
}

type modelNotLoadedError struct{ model string }

// Error implements error.
func (m *modelNotLoadedError) Error() string { return fmt.Sprintf("model %q is not loaded", m.model) }

// waitChunk waits until the chunk with the given index exists and returns it. ok is false when the run has ended, ctx is done or
// keepAliveInterval has passed; timedOut is true in the last case.
func (e *Engine) waitChunk(ctx context.Context, r *run, index int) (text string, ok bool, timedOut bool) {
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
