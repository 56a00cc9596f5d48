package connector

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol/sse"
	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/rotisserie/eris"
)

// Headers of the engine protocol.
const (
	HeaderRequestID   = "X-Request-Id"
	HeaderLastEventID = "Last-Event-ID"
)

// Paths of the engine protocol.
const (
	PathChat        = "/v1/chat/completions"
	PathRuns        = "/v1/runs/"
	PathLoad        = "/v1/load"
	PathCacheEvents = "/v1/cache_events"
	PathOrders      = "/v1/orders"
	PathInventory   = "/v1/inventory"
	PathKV          = "/v1/kv/"
)

const (
	statusNotFound = http.StatusNotFound
	// streamEnd is the data of the last event of a stream, as in the OpenAI protocol.
	streamEnd = "[DONE]"
	// streamOptions requests a stream with a final usage, whatever the caller requested: only a stream can be resumed.
	streamOptions = `{"stream":true,"stream_options":{"include_usage":true}}`
)

// HTTPEngine implements Engine over HTTP.
type HTTPEngine struct {
	name     string
	addr     string
	timeouts Timeouts
}

var _ Engine = (*HTTPEngine)(nil)

// NewEngine returns the client of the engine at addr. The name identifies the endpoint in errors.
func NewEngine(name, addr string, timeouts Timeouts) *HTTPEngine {
	return &HTTPEngine{name: name, addr: addr, timeouts: timeouts}
}

// Dispatch starts a run and returns its stream.
func (e *HTTPEngine) Dispatch(ctx context.Context, call Call, beforeSend func()) (Stream, error) {
	if call.Method == "" {
		call.Method = http.MethodPost
	}
	if call.Path == "" {
		call.Path = PathChat
	}
	body, err := jsonpatch.MergePatch(call.Body, []byte(streamOptions))
	if err != nil {
		return nil, &NotSentError{Endpoint: e.name, Err: eris.Wrap(err, "set stream options")}
	}
	call.Body = body
	return e.stream(ctx, call, 0, beforeSend)
}

// Resume continues the stream of a run from chunk index from.
func (e *HTTPEngine) Resume(ctx context.Context, requestID string, from int) (Stream, error) {
	call := Call{
		RequestID: requestID,
		Method:    http.MethodGet,
		Path:      PathRuns + url.PathEscape(requestID) + "/stream",
		Header:    map[string]string{HeaderLastEventID: strconv.Itoa(from - 1)},
	}
	return e.stream(ctx, call, from, func() {})
}

func (e *HTTPEngine) stream(ctx context.Context, call Call, from int, beforeSend func()) (Stream, error) {
	x, err := open(ctx, e.name, e.addr, call, e.timeouts, beforeSend)
	if err != nil {
		return nil, err
	}
	if x.resp.StatusCode() != http.StatusOK {
		return nil, x.rejection()
	}
	reader, err := sse.NewReader(x.resp)
	if err != nil {
		x.close()
		return nil, &InterruptedError{Endpoint: e.name, Cause: CauseProtocol, Status: x.resp.StatusCode(), Err: err}
	}
	return &httpStream{exchange: x, reader: reader, requestID: call.RequestID, nextIndex: from}, nil
}

// Cancel ends a run.
func (e *HTTPEngine) Cancel(ctx context.Context, requestID string) error {
	call := Call{Method: http.MethodDelete, Path: PathRuns + url.PathEscape(requestID)}
	_, err := e.exchange(ctx, call)
	return err
}

// Load returns the latest load report.
func (e *HTTPEngine) Load(ctx context.Context) (LoadReport, error) {
	var wire struct {
		AgeMS         int64 `json:"age_ms"`
		Running       int   `json:"running"`
		Waiting       int   `json:"waiting"`
		RunningTokens int   `json:"running_tokens"`
	}
	if err := e.get(ctx, PathLoad, &wire); err != nil {
		return LoadReport{}, err
	}
	return LoadReport{
		Age:           time.Duration(wire.AgeMS) * time.Millisecond,
		Running:       wire.Running,
		Waiting:       wire.Waiting,
		RunningTokens: wire.RunningTokens,
	}, nil
}

// CacheEvents returns the cache events after sequence number since.
func (e *HTTPEngine) CacheEvents(ctx context.Context, since uint64) ([]CacheEvent, error) {
	var wire struct {
		Events []CacheEvent `json:"events"`
	}
	err := e.get(ctx, PathCacheEvents+"?since="+strconv.FormatUint(since, 10), &wire)
	return wire.Events, err
}

// Order sends a load, unload or role order. HTTP status 409 means that the engine rejected the fence.
func (e *HTTPEngine) Order(ctx context.Context, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return eris.Wrap(err, "encode order")
	}
	_, err = e.exchange(ctx, Call{Method: http.MethodPost, Path: PathOrders, Body: body})
	var interrupted *InterruptedError
	if errors.As(err, &interrupted) && interrupted.Status == http.StatusConflict {
		var wire struct {
			CurrentFence uint64 `json:"current_fence"`
		}
		_ = json.Unmarshal(interrupted.Body, &wire)
		return &OrderRefusedError{Endpoint: e.name, Fence: order.Fence, Current: wire.CurrentFence}
	}
	return err
}

// Inventory returns what the engine has loaded.
func (e *HTTPEngine) Inventory(ctx context.Context) (Inventory, error) {
	var inventory Inventory
	err := e.get(ctx, PathInventory, &inventory)
	return inventory, err
}

// ExportKV returns the KV cache of a prefix.
func (e *HTTPEngine) ExportKV(ctx context.Context, prefix string) ([]byte, error) {
	return e.exchange(ctx, Call{Method: http.MethodGet, Path: PathKV + url.PathEscape(prefix)})
}

// ImportKV stores the KV cache of a prefix.
func (e *HTTPEngine) ImportKV(ctx context.Context, prefix string, data []byte) error {
	_, err := e.exchange(ctx, Call{Method: http.MethodPut, Path: PathKV + url.PathEscape(prefix), Body: data})
	return err
}

func (e *HTTPEngine) get(ctx context.Context, path string, target any) error {
	body, err := e.exchange(ctx, Call{Method: http.MethodGet, Path: path})
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, target); err != nil {
		return &InterruptedError{Endpoint: e.name, Cause: CauseProtocol, Err: eris.Wrapf(err, "decode %s", path)}
	}
	return nil
}

func (e *HTTPEngine) exchange(ctx context.Context, call Call) ([]byte, error) {
	x, err := open(ctx, e.name, e.addr, call, e.timeouts, func() {})
	if err != nil {
		return nil, err
	}
	if x.resp.StatusCode()/100 != 2 {
		return nil, x.rejection()
	}
	return x.readAll()
}
