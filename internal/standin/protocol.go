package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"github.com/dragonflycroft/dragonflycroft/internal/connector"
)

func (e *Engine) registerRoutes(h *server.Hertz) {
	h.POST(connector.PathChat, e.serveChat)
	h.GET(connector.PathRuns+":id/stream", e.serveResume)
	h.DELETE(connector.PathRuns+":id", e.serveCancel)
	h.GET(connector.PathLoad, e.serveLoad)
	h.GET(connector.PathCacheEvents, e.serveCacheEvents)
	h.POST(connector.PathOrders, e.serveOrder)
	h.GET(connector.PathInventory, e.serveInventory)
	h.GET(connector.PathKV+":prefix", e.serveExport)
	h.PUT(connector.PathKV+":prefix", e.serveImport)
}

func (e *Engine) serveChat(ctx context.Context, c *app.RequestContext) {
	id := string(c.GetHeader(connector.HeaderRequestID))
	if id == "" {
		writeError(c, http.StatusBadRequest, connector.HeaderRequestID+" is missing")
		return
	}
	r, err := e.submit(id, slices.Clone(c.Request.Body()))
	var unknown *modelNotLoadedError
	switch {
	case errors.As(err, &unknown):
		writeError(c, http.StatusNotFound, err.Error())
	case err != nil:
		writeError(c, http.StatusBadRequest, err.Error())
	default:
		e.stream(ctx, c, r, 0)
	}
}

func (e *Engine) serveResume(ctx context.Context, c *app.RequestContext) {
	last, err := strconv.Atoi(string(c.GetHeader(connector.HeaderLastEventID)))
	if err != nil || last < -1 {
		writeError(c, http.StatusBadRequest, connector.HeaderLastEventID+" is not a chunk index")
		return
	}
	e.mu.Lock()
	r := e.runs[c.Param("id")]
	e.mu.Unlock()
	if r == nil {
		writeError(c, http.StatusNotFound, "unknown run")
		return
	}
	e.stream(ctx, c, r, last+1)
}

// stream writes the chunks of a run from index on, then the usage and the end marker as server-sent events.
func (e *Engine) stream(ctx context.Context, c *app.RequestContext, r *run, index int) {
	w := sse.NewWriter(c)
	if err := w.WriteKeepAlive(); err != nil {
		return
	}
	for {
		text, ok, timedOut := e.waitChunk(ctx, r, index)
		if timedOut {
			if w.WriteKeepAlive() != nil {
				return
			}
			continue
		}
		if !ok {
			break
		}
		if w.WriteEvent(strconv.Itoa(index), "", chunkJSON(r.id, text, nil)) != nil {
			return
		}
		index++
	}
	e.mu.Lock()
	usage, total := r.usage, len(r.chunks)
	e.mu.Unlock()
	if usage == nil {
		// The run was lost or cancelled: the connection is closed without an end marker.
		_ = c.GetConn().Close()
		return
	}
	if index == total {
		if w.WriteEvent(strconv.Itoa(index), "", chunkJSON(r.id, "", usage)) != nil {
			return
		}
	}
	_ = w.WriteEvent("", "", []byte("[DONE]"))
	_ = w.Close()
}

func chunkJSON(id, text string, usage *connector.Usage) []byte {
	type delta struct {
		Content string `json:"content"`
	}
	type choice struct {
		Index int   `json:"index"`
		Delta delta `json:"delta"`
	}
	chunk := map[string]any{"id": id, "object": "chat.completion.chunk"}
	if usage == nil {
		chunk["choices"] = []choice{{Delta: delta{Content: text}}}
	} else {
		chunk["choices"] = []choice{}
		chunk["usage"] = map[string]any{
			"prompt_tokens":         usage.PromptTokens,
			"completion_tokens":     usage.OutputTokens,
			"prompt_tokens_details": map[string]int{"cached_tokens": usage.CachedTokens},
		}
	}
	data, _ := json.Marshal(chunk)
	return data
}

func (e *Engine) serveCancel(_ context.Context, c *app.RequestContext) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.runs[c.Param("id")]
	if r == nil {
		writeError(c, http.StatusNotFound, "unknown run")
		return
	}
	e.advance()
	if _, ok := e.emulated.Cancel(e.now(), r.id); ok {
		e.Records.recordCancel(r.id)
		r.ended = true
		r.notify()
	}
	c.SetStatusCode(http.StatusNoContent)
}

func (e *Engine) serveLoad(_ context.Context, c *app.RequestContext) {
	e.mu.Lock()
	defer e.mu.Unlock()
	visible := time.Now().Add(-e.LoadLag)
	report := loadSample{at: visible}
	for _, s := range e.samples {
		if s.at.After(visible) {
			break
		}
		report = s
	}
	c.JSON(http.StatusOK, map[string]any{
		"age_ms":  time.Since(report.at).Milliseconds(),
		"running": report.running, "waiting": report.waiting, "running_tokens": report.tokens,
	})
}

func (e *Engine) serveCacheEvents(_ context.Context, c *app.RequestContext) {
	since, err := strconv.ParseUint(c.Query("since"), 10, 64)
	if err != nil {
		writeError(c, http.StatusBadRequest, "since is not a sequence number")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	visible := time.Now().Add(-e.CacheLag)
	events := make([]connector.CacheEvent, 0)
	for _, s := range e.events {
		if s.event.Seq > since && !s.at.After(visible) {
			events = append(events, s.event)
		}
	}
	const keptEvents = 4096
	if len(e.events) > keptEvents {
		e.events = slices.Clone(e.events[len(e.events)-keptEvents:])
	}
	c.JSON(http.StatusOK, map[string]any{"events": events})
}

func (e *Engine) serveOrder(_ context.Context, c *app.RequestContext) {
	var order connector.Order
	if err := json.Unmarshal(c.Request.Body(), &order); err != nil {
		writeError(c, http.StatusBadRequest, err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ChecksFencing && order.Fence < e.fence {
		c.JSON(http.StatusConflict, map[string]any{"error": "old fence", "current_fence": e.fence})
		return
	}
	e.fence = max(e.fence, order.Fence)
	switch order.Kind {
	case connector.OrderLoad:
		if !slices.Contains(e.models, order.Model) {
			e.models = append(e.models, order.Model)
		}
	case connector.OrderUnload:
		e.models = slices.DeleteFunc(e.models, func(m string) bool { return m == order.Model })
	case connector.OrderRole:
		e.role = order.Role
	default:
		writeError(c, http.StatusBadRequest, "unknown order kind")
		return
	}
	c.SetStatusCode(http.StatusNoContent)
}

func (e *Engine) serveInventory(_ context.Context, c *app.RequestContext) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c.JSON(http.StatusOK, connector.Inventory{Models: e.models, Role: e.role, Fence: e.fence})
}

func (e *Engine) serveExport(_ context.Context, c *app.RequestContext) {
	e.mu.Lock()
	defer e.mu.Unlock()
	data, ok := e.kv[c.Param("prefix")]
	if !ok {
		writeError(c, http.StatusNotFound, "unknown prefix")
		return
	}
	c.Data(http.StatusOK, "application/octet-stream", data)
}

func (e *Engine) serveImport(_ context.Context, c *app.RequestContext) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.kv[c.Param("prefix")] = slices.Clone(c.Request.Body())
	c.SetStatusCode(http.StatusNoContent)
}
