// Package emulator models a model engine with continuous batching, and a plain service, in virtual time.
//
// It starts no goroutine and reads no clock. A step of the engine decodes one token for each decoding sequence and prefills up
// to ChunkTokens prompt tokens, so prefill and decode delay each other as they do on real engines. Requests are admitted in
// the order of their arrival, without priorities.
package emulator

import (
	"math/rand/v2"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/connector"
)

// BlockTokens is the default number of prompt tokens in one block of the prefix cache.
const BlockTokens = 64

const (
	defaultChunkTokens = 512
	defaultMaxBatch    = 32
	// stepJitter is the largest relative deviation of one step's time. Kernel launch and sampling times of real engines
	// vary by a few percent.
	stepJitter = 0.03
)

// Options configure an Engine. Zero values of MaxBatch, BlockTokens and ChunkTokens select defaults.
type Options struct {
	Name string
	// PrefillTokensPerSecond is the rate at which prompt tokens are processed.
	PrefillTokensPerSecond float64
	// DecodeTokensPerSecond is the rate of one sequence when it is alone in the batch.
	DecodeTokensPerSecond float64
	// BatchSlowdown is the added fraction of the decode time for each further sequence in the batch.
	BatchSlowdown float64
	// MaxBatch bounds the sequences that run at once.
	MaxBatch int
	// ChunkTokens bounds the prompt tokens that one step processes.
	ChunkTokens int
	// CacheBlocks bounds the prefix cache; 0 switches it off.
	CacheBlocks int
	// BlockTokens is the number of prompt tokens in one block of the prefix cache.
	BlockTokens int
	// Seed seeds the random variation of step times.
	Seed uint64
}

// Job is one request for an engine. OutputTokens is the number of tokens that the engine will generate.
type Job struct {
	ID           string
	PromptTokens int
	OutputTokens int
	// PrefixBlocks are the hashes of the prompt's blocks, each over the whole prefix up to the end of the block.
	PrefixBlocks []uint64
	// ServiceTime is the duration of a call to a plain service at nominal speed; engines ignore it.
	ServiceTime time.Duration
}

// Output is the output of one job in one step. Usage is set when Done is true.
type Output struct {
	ID string
	// At is the end of the step that produced the output.
	At     time.Duration
	Tokens int
	First  bool
	Done   bool
	Usage  connector.Usage
}

// Engine is the state of one emulated engine. It is not safe for concurrent use.
type Engine struct {
	opts     Options
	speed    float64
	rng      *rand.Rand
	queue    []*sequence
	batch    []*sequence
	stepping bool
	stepEnd  time.Duration
	cache    *prefixCache
}

type sequence struct {
	job      Job
	arrived  time.Duration
	cached   int // prompt tokens that the prefix cache covered
	computed int // prompt tokens that were processed
	chunk    int // prompt tokens in the step in progress
	decoding bool
	output   int
}

func (s *sequence) prefillLeft() int { return s.job.PromptTokens - s.cached - s.computed }

// New returns an idle engine at full speed.
func New(o Options) *Engine {
	if o.MaxBatch <= 0 {
		o.MaxBatch = defaultMaxBatch
	}
	if o.BlockTokens <= 0 {
		o.BlockTokens = BlockTokens
	}
	if o.ChunkTokens <= 0 {
		o.ChunkTokens = defaultChunkTokens
	}
	return &Engine{
		opts:  o,
		speed: 1,
		rng:   rand.New(rand.NewPCG(o.Seed, 0x656d756c)),
		cache: newPrefixCache(o.CacheBlocks),
	}
}

// Submit adds a job to the end of the engine's queue. Prompts and answers have at least one token.
func (e *Engine) Submit(now time.Duration, j Job) {
	j.PromptTokens = max(j.PromptTokens, 1)
	j.OutputTokens = max(j.OutputTokens, 1)
	e.queue = append(e.queue, &sequence{job: j, arrived: now})
	if !e.stepping {
		e.startStep(now)
	}
}

// Cancel ends a job. It returns the prompt tokens that were processed for it, and false when the job is unknown.
// Steps that end by now must have been processed with Advance before.
func (e *Engine) Cancel(_ time.Duration, id string) (wastedPrefill int, ok bool) {
	for i, s := range e.queue {
		if s.job.ID == id {
			e.queue = append(e.queue[:i], e.queue[i+1:]...)
			return 0, true
		}
	}
	for i, s := range e.batch {
		if s.job.ID == id {
			e.batch = append(e.batch[:i], e.batch[i+1:]...)
			return s.computed + s.chunk, true
		}
	}
	return 0, false
}

// Next returns the end of the step in progress, and false when the engine is idle.
func (e *Engine) Next() (time.Duration, bool) { return e.stepEnd, e.stepping }

// Advance processes all steps that end by now and returns their outputs in order.
func (e *Engine) Advance(now time.Duration) []Output {
	var outputs []Output
	for e.stepping && e.stepEnd <= now {
		outputs = e.finishStep(outputs)
		e.startStep(e.stepEnd)
	}
	return outputs
}

// SetSpeed changes the speed to factor of the nominal speed; the rest of the step in progress is stretched accordingly.
// A factor that is not positive is ignored. Steps that end by now must have been taken with Advance before.
func (e *Engine) SetSpeed(now time.Duration, factor float64) {
	if factor <= 0 {
		return
	}
	if e.stepping && e.stepEnd > now {
		left := float64(e.stepEnd - now)
		e.stepEnd = now + max(1, time.Duration(left*e.speed/factor))
	}
	e.speed = factor
}

// Crash drops all jobs and the prefix cache, and returns the ids of the jobs. Afterwards the engine is idle, and its cache
// events have a gap in their sequence numbers.
func (e *Engine) Crash(time.Duration) (lost []string) {
	for _, s := range e.batch {
		lost = append(lost, s.job.ID)
	}
	for _, s := range e.queue {
		lost = append(lost, s.job.ID)
	}
	e.batch, e.queue, e.stepping = nil, nil, false
	e.cache.reset()
	return lost
}

// Load returns the numbers of running and waiting jobs, and the number of tokens that the running ones hold in the KV cache.
func (e *Engine) Load() (running, waiting, tokens int) {
	for _, s := range e.batch {
		tokens += s.cached + s.computed + s.output
	}
	return len(e.batch), len(e.queue), tokens
}

// TakeCacheEvents returns the cache events since the last call. Sequence numbers start at 1 and are contiguous
// except after a crash.
func (e *Engine) TakeCacheEvents() []connector.CacheEvent { return e.cache.takeEvents() }

func (e *Engine) startStep(at time.Duration) {
	e.admit(at)
	if len(e.batch) == 0 && len(e.queue) > 0 {
		at = e.queue[0].arrived
		e.admit(at)
	}
	e.stepping = len(e.batch) > 0
	if !e.stepping {
		return
	}
	budget, decoding := e.opts.ChunkTokens, 0
	for _, s := range e.batch {
		s.chunk = min(s.prefillLeft(), budget)
		budget -= s.chunk
		s.decoding = s.prefillLeft() == 0
		if s.decoding {
			decoding++
		}
	}
	e.stepEnd = at + e.stepTime(e.opts.ChunkTokens-budget, decoding)
}

// stepTime returns the duration of a step. It converts each product to float64 explicitly, which forbids fused multiply-add,
// so that replays give the same result on all platforms.
func (e *Engine) stepTime(prefill, decoding int) time.Duration {
	seconds := 0.0
	if prefill > 0 {
		seconds = float64(prefill) / e.opts.PrefillTokensPerSecond
	}
	if decoding > 0 {
		growth := float64(e.opts.BatchSlowdown * float64(decoding-1))
		seconds += float64((1 + growth) / e.opts.DecodeTokensPerSecond)
	}
	jitter := float64(stepJitter * float64(2*e.rng.Float64()-1))
	seconds = float64(seconds*(1+jitter)) / e.speed
	return max(1, time.Duration(float64(seconds*float64(time.Second))))
}

func (e *Engine) admit(at time.Duration) {
	for len(e.batch) < e.opts.MaxBatch && len(e.queue) > 0 && e.queue[0].arrived <= at {
		s := e.queue[0]
		e.queue = e.queue[1:]
		// The last prompt token is always processed, since its result is the first output token.
		s.cached = min(e.cache.lookup(s.job.PrefixBlocks)*e.opts.BlockTokens, s.job.PromptTokens-1)
		e.batch = append(e.batch, s)
	}
}

func (e *Engine) finishStep(outputs []Output) []Output {
	remaining := e.batch[:0]
	for _, s := range e.batch {
		prefilled := s.chunk > 0
		s.computed += s.chunk
		s.chunk = 0
		if s.prefillLeft() > 0 {
			remaining = append(remaining, s)
			continue
		}
		if prefilled {
			e.cache.insert(s.job.PrefixBlocks)
		}
		s.output++
		out := Output{ID: s.job.ID, At: e.stepEnd, Tokens: 1, First: s.output == 1}
		if s.output >= s.job.OutputTokens {
			out.Done = true
			out.Usage = connector.Usage{PromptTokens: s.job.PromptTokens, CachedTokens: s.cached, OutputTokens: s.output}
		} else {
			remaining = append(remaining, s)
		}
		outputs = append(outputs, out)
	}
	clear(e.batch[len(remaining):])
	e.batch = remaining
	return outputs
}
