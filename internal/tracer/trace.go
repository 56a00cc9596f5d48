// Package tracer defines the recorded traces that the decision packages are replayed against.
//
// A trace is a file of JSON lines: one header, then requests and changes in the order of their time. docs/traces.md
// documents the schema.
package tracer

import (
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/emulator"
)

// Version is the version of the schema that this package reads and writes.
const Version = 1

// BlockTokens is the number of prompt tokens in one block, as in the prefix caches of the emulated engines.
const BlockTokens = emulator.BlockTokens

// Trace is one decoded trace.
type Trace struct {
	Header   Header
	Requests []Request
	Changes  []Change
}

// Header describes the system and the conditions that the requests meet.
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
	// Engines maps endpoints of model pools to the built-in hardware generations.
	Engines map[string]string `json:"engines"`
	// LargeCallers lists the callers, as workspace/caller, that ask for far more than the others.
	LargeCallers []string `json:"large_callers,omitempty"`
	// Weights are the values of one answered request of each class in the service measure.
	Weights    map[string]float64 `json:"weights,omitempty"`
	Conditions Conditions         `json:"conditions"`
	Flood      *Flood             `json:"flood,omitempty"`
}

// Host is an entry host.
type Host struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
}

// Conditions state how old and incomplete the scheduler's view of the endpoints is.
type Conditions struct {
	ReportAgeUS  int64   `json:"report_age_us"`
	ListAgeUS    int64   `json:"list_age_us"`
	CacheDelayUS int64   `json:"cache_delay_us"`
	CacheGapRate float64 `json:"cache_gap_rate"`
	// RestartUS is the time in which a crashed endpoint is up again; 0 means never.
	RestartUS int64 `json:"restart_us"`
}

// Flood names the window and the tier of the flood in a trace.
type Flood struct {
	FromUS int64  `json:"from_us"`
	ToUS   int64  `json:"to_us"`
	Tier   string `json:"tier"`
}

// Request is one request as its caller sent it, and how the caller behaves afterwards.
type Request struct {
	Record    string `json:"record"`
	AtUS      int64  `json:"at_us"`
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Caller    string `json:"caller"`
	Tier      string `json:"tier"`
	// Class is the kind of work in the users' words; it selects the weight in the service measure.
	Class string `json:"class"`
	Pool  string `json:"pool"`
	Model string `json:"model,omitempty"`
	// PromptTokens and OutputTokens are the true lengths; the scheduler does not learn OutputTokens beforehand.
	PromptTokens    int `json:"prompt_tokens,omitempty"`
	OutputTokens    int `json:"output_tokens,omitempty"`
	MaxOutputTokens int `json:"max_output_tokens,omitempty"`
	// Prefix lists the segments of the prompt that other prompts share, each as NAME*BLOCKS.
	Prefix []string `json:"prefix,omitempty"`
	// ServiceUS is the time that a call of a plain service takes.
	ServiceUS int64 `json:"service_us,omitempty"`
	// Once marks a non-idempotent order; Key is its idempotency key.
	Once bool   `json:"once,omitempty"`
	Key  string `json:"key,omitempty"`
	// DeadlineUS is how long the caller waits for the whole answer before it gives up, retries included.
	DeadlineUS int64 `json:"deadline_us"`
	// TargetUS is the time in which a long answer is of use; 0 means that only the tier's targets count.
	TargetUS int64 `json:"target_us,omitempty"`
	// Retries is how often the caller comes back after a refusal or a broken run.
	Retries int `json:"retries,omitempty"`
	// PoisonUS is the time after which the request crashes the endpoint that runs it; 0 means never.
	PoisonUS int64 `json:"poison_us,omitempty"`
	// Flood marks the requests that make up the flood.
	Flood bool `json:"flood,omitempty"`
}

// The changes that endpoints and zones undergo.
const (
	ChangeSpeed    = "speed"     // the endpoint runs at Factor of its nominal speed
	ChangeCrash    = "crash"     // the endpoint's process dies
	ChangeLeave    = "leave"     // the endpoint is going to stop
	ChangeStop     = "stop"      // the endpoint stops
	ChangeStart    = "start"     // the endpoint starts afresh
	ChangeZoneDown = "zone_down" // all hosts and endpoints of the zone fall silent
	ChangeHostDown = "host_down" // an entry host dies
	ChangeHostCut  = "host_cut"  // an entry host loses contact to all other hosts of the system for ForUS
)

// Change is something that happens to an endpoint, a zone or an entry host.
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

// Micros converts a time of the trace.
func Micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

// WithoutFlood returns the trace without the requests that make up the flood.
func (t *Trace) WithoutFlood() *Trace {
	quiet := &Trace{Header: t.Header, Changes: t.Changes}
	for _, r := range t.Requests {
		if !r.Flood {
			quiet.Requests = append(quiet.Requests, r)
		}
	}
	return quiet
}
