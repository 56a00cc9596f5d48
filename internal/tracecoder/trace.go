// Package tracecoder defines, reads and writes the recorded traces with which scheduling policies are replayed.
//
// A trace is a file of JSON lines: one header, then requests and changes ordered by time. docs/traces.md documents the
// schema.
package tracecoder

import (
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/emulator"
)

// Version is the schema version that this package reads and writes.
const Version = 1

// BlockTokens is the number of prompt tokens in one block, as in the prefix caches of the emulated engines.
const BlockTokens = emulator.BlockTokens

// Trace is one decoded trace.
type Trace struct {
	Header   Header
	Requests []Request
	Changes  []Change
}

// Header describes the system and the conditions under which the requests are replayed.
type Header struct {
	Record     string             `json:"record"`
	Version    int                `json:"version"`
	Name       string             `json:"name"`
	User       string             `json:"user"`
	Shape      string             `json:"shape"`
	Seed       uint64             `json:"seed"`
	DurationUS int64              `json:"duration_us"`
	Config     *configurer.Config `json:"config"`
	Hosts      []Host             `json:"hosts"`
	// Engines maps the names of endpoints of model pools to built-in hardware generations of the emulator.
	Engines map[string]string `json:"engines"`
	// LargeCallers lists the callers, as workspace/caller, that send far more requests than the others.
	LargeCallers []string `json:"large_callers,omitempty"`
	// Weights maps each class to the value of one of its answered requests in the service measure.
	Weights    map[string]float64 `json:"weights,omitempty"`
	Conditions Conditions         `json:"conditions"`
	Flood      *Flood             `json:"flood,omitempty"`
}

// Host is an entry host.
type Host struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
}

// Conditions define how old and incomplete the scheduler's information about the endpoints is.
type Conditions struct {
	ReportAgeUS  int64   `json:"report_age_us"`
	ListAgeUS    int64   `json:"list_age_us"`
	CacheDelayUS int64   `json:"cache_delay_us"`
	CacheGapRate float64 `json:"cache_gap_rate"`
	// RestartUS is the time that a crashed endpoint takes to restart; 0 means that it does not restart.
	RestartUS int64 `json:"restart_us"`
}

// Flood gives the time window and the tier of the flood in a trace.
type Flood struct {
	FromUS int64  `json:"from_us"`
	ToUS   int64  `json:"to_us"`
	Tier   string `json:"tier"`
}

// Request is one request with its true lengths and the behaviour of its caller.
type Request struct {
	Record    string `json:"record"`
	AtUS      int64  `json:"at_us"`
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Caller    string `json:"caller"`
	Tier      string `json:"tier"`
	// Class is the kind of work; it selects the weight in the service measure.
	Class string `json:"class"`
	Pool  string `json:"pool"`
	Model string `json:"model,omitempty"`
	// PromptTokens and OutputTokens are the true lengths; the scheduler does not receive OutputTokens in advance.
	PromptTokens    int `json:"prompt_tokens,omitempty"`
	OutputTokens    int `json:"output_tokens,omitempty"`
	MaxOutputTokens int `json:"max_output_tokens,omitempty"`
	// Prefix lists the segments of the prompt that other prompts share, each as NAME*BLOCKS.
	Prefix []string `json:"prefix,omitempty"`
	// ServiceUS is the time that a plain service takes for the call.
	ServiceUS int64 `json:"service_us,omitempty"`
	// Once marks a non-idempotent order; Key is its idempotency key.
	Once bool   `json:"once,omitempty"`
	Key  string `json:"key,omitempty"`
	// DeadlineUS is how long the caller waits for the whole answer before it gives up, retries included.
	DeadlineUS int64 `json:"deadline_us"`
	// TargetUS is the time within which a long answer is useful; 0 means that only the tier's targets apply.
	TargetUS int64 `json:"target_us,omitempty"`
	// Retries is how often the caller retries after a refusal or a broken run.
	Retries int `json:"retries,omitempty"`
	// PoisonUS is the time after which the request crashes the endpoint that runs it; 0 means never.
	PoisonUS int64 `json:"poison_us,omitempty"`
	// Flood marks the requests that make up the flood.
	Flood bool `json:"flood,omitempty"`
}

// Kinds of changes.
const (
	ChangeSpeed    = "speed"     // the endpoint runs at Factor of its nominal speed
	ChangeCrash    = "crash"     // the endpoint's process exits unexpectedly
	ChangeLeave    = "leave"     // the endpoint is going to stop
	ChangeStop     = "stop"      // the endpoint stops
	ChangeStart    = "start"     // the endpoint starts again
	ChangeZoneDown = "zone_down" // all hosts and endpoints of the zone stop responding
	ChangeHostDown = "host_down" // an entry host fails
	ChangeHostCut  = "host_cut"  // an entry host is disconnected from all other hosts for ForUS
)

// Change is a failure, recovery or change of speed of an endpoint, or a failure of a zone or an entry host.
type Change struct {
	Record   string  `json:"record"`
	AtUS     int64   `json:"at_us"`
	Change   string  `json:"change"`
	Endpoint string  `json:"endpoint,omitempty"`
	Zone     string  `json:"zone,omitempty"`
	Host     string  `json:"host,omitempty"`
	Factor   float64 `json:"factor,omitempty"`
	ForUS    int64   `json:"for_us,omitempty"`
}

// Micros converts a time of the trace, in microseconds, to a duration.
func Micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

// WithoutFlood returns a copy of the trace without the requests of the flood.
func (t *Trace) WithoutFlood() *Trace {
	rest := &Trace{Header: t.Header, Changes: t.Changes}
	for _, r := range t.Requests {
		if !r.Flood {
			rest.Requests = append(rest.Requests, r)
		}
	}
	return rest
}
