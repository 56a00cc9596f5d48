package server

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"github.com/dragonflycroft/dragonflycroft/internal/answerer"
	"github.com/dragonflycroft/dragonflycroft/internal/chatdecoder"
	"github.com/dragonflycroft/dragonflycroft/internal/chatencoder"
	"github.com/dragonflycroft/dragonflycroft/internal/connector"
	"github.com/dragonflycroft/dragonflycroft/internal/describer"
	"github.com/dragonflycroft/dragonflycroft/internal/responder"
)

const (
	// keepAliveInterval is how often a stream without a new chunk sends a comment, so that intermediaries keep it open.
	keepAliveInterval = 10 * time.Second
	// eventOutcome is the name of the event that contains the outcome of a stream.
	eventOutcome = "outcome"
	streamEnd    = "[DONE]"
)

func (s *Server) serveChat(k *callerRequest) {
	req := describer.Request{Kind: answerer.KindChat, Idempotent: true}
	if f := k.readCommonHeaders(&req); f != nil {
		discard(k.c)
		s.writeFailure(k.c, f)
		return
	}
	body, release, f := s.readBody(k, req.Tier)
	if f != nil {
		s.writeFailure(k.c, f)
		return
	}
	stream, f := k.chatRequest(&req, body)
	if f != nil {
		release()
		s.writeFailure(k.c, f)
		return
	}
	req.Release = release
	answer, reader, err := s.Requests.Accept(req)
	if err != nil {
		release()
		s.writeFailure(k.c, responder.FromError(err))
		return
	}
	defer reader.Close()
	s.respondChat(k, answer, reader, stream)
}

// chatRequest decodes a body and finds the pool of its model. It reports whether the caller requested a stream.
func (k *callerRequest) chatRequest(req *describer.Request, body []byte) (stream bool, f *responder.Failure) {
	decoded, err := chatdecoder.Decode(body)
	if err != nil {
		return false, &responder.Failure{Status: http.StatusBadRequest, Reason: "invalid_body", Message: err.Error()}
	}
	pool := k.index.PoolOfModel(decoded.Model)
	if pool == nil {
		return false, &responder.Failure{
			Status: http.StatusNotFound, Reason: "unknown_model", Message: fmt.Sprintf("the model %q is not known", decoded.Model),
		}
	}
	req.Pool, req.Model, req.Adapter = pool.Name, decoded.Model, decoded.Adapter
	req.PromptTokens, req.MaxOutputTokens = decoded.PromptTokens, decoded.MaxOutputTokens
	req.PrefixBlocks = decoded.PrefixBlocks
	req.Call = connector.Call{
		Method: http.MethodPost,
		Path:   connector.PathChat,
		Header: map[string]string{"Content-Type": "application/json", "Accept": "text/event-stream"},
		Body:   body,
		Stream: true,
	}
	req.Digest = digest(req.Workspace, "", "", body)
	return decoded.Stream, nil
}

// digest returns the fingerprint of a request: the workspace and the SHA-256 of method, path and body.
func digest(workspace, method, path string, body []byte) string {
	h := sha256.New()
	if method != "" {
		_, _ = fmt.Fprintf(h, "%s %s\n", method, path)
	}
	_, _ = h.Write(body)
	return workspace + ":" + hex.EncodeToString(h.Sum(nil))
}

// respondChat responds with the whole text or with a stream. A failure before the first chunk is reported by the HTTP status.
func (s *Server) respondChat(k *callerRequest, a *answerer.Answer, r *answerer.Reader, stream bool) {
	if !stream {
		s.respondWhole(k, a)
		return
	}
	if a.WaitStarted(k.ctx) != nil {
		return
	}
	if end := a.End(); end != nil && !isDone(*end) {
		if chunks, _ := a.Len(); chunks == 0 {
			s.writeFailure(k.c, responder.FromEnd(a.Meta().RequestID, *end))
			return
		}
	}
	s.respondStream(k, a, r)
}

func (s *Server) respondWhole(k *callerRequest, a *answerer.Answer) {
	text, end, err := a.WaitWhole(k.ctx)
	if err != nil {
		return
	}
	m := a.Meta()
	if !isDone(end) {
		s.writeFailure(k.c, responder.FromEnd(m.RequestID, end))
		return
	}
	k.c.Response.Header.Set(HeaderRequestID, m.RequestID)
	k.c.Response.Header.Set(HeaderOutcome, string(end.Outcome))
	data := chatencoder.Completion(m, text, &end)
	k.conn.bounded.BeginResponse()
	k.c.Data(http.StatusOK, "application/json; charset=utf-8", data)
}

// respondStream writes the chunks as server-sent events whose id is the chunk index, then the outcome.
func (s *Server) respondStream(k *callerRequest, a *answerer.Answer, r *answerer.Reader) {
	m := a.Meta()
	k.c.Response.Header.Set(HeaderRequestID, m.RequestID)
	k.c.Response.Header.Set(HeaderOutcome, outcomeStreaming)
	k.c.Response.Header.Set("X-Accel-Buffering", "no")
	k.conn.bounded.BeginResponse()
	w := sse.NewWriter(k.c)
	for {
		chunk, end, err := s.nextChunk(k.ctx, r, w)
		if err != nil {
			return
		}
		if end != nil {
			writeEnd(w, m, end)
			return
		}
		if w.WriteEvent(strconv.Itoa(chunk.Index), "", chatencoder.Chunk(m, chunk)) != nil {
			return
		}
	}
}

// nextChunk waits for the next chunk or the final state, and sends keep-alive comments while it waits.
func (s *Server) nextChunk(ctx context.Context, r *answerer.Reader, w *sse.Writer) (*answerer.Chunk, *answerer.End, error) {
	for {
		waitCtx, cancel := context.WithTimeout(ctx, keepAliveInterval)
		chunk, end, err := r.Next(waitCtx)
		cancel()
		if err == nil || ctx.Err() != nil {
			return chunk, end, err
		}
		if err := w.WriteKeepAlive(); err != nil {
			return nil, nil, err
		}
	}
}

// writeEnd writes the finish reason, the outcome and the end marker. The outcome is a separate event, which clients that parse
// only chunks can parse as well.
func writeEnd(w *sse.Writer, m answerer.Meta, end *answerer.End) {
	if isDone(*end) && w.WriteEvent("", "", chatencoder.FinishChunk(m)) != nil {
		return
	}
	if w.WriteEvent("", eventOutcome, chatencoder.OutcomeEvent(m, end)) != nil {
		return
	}
	_ = w.WriteEvent("", "", []byte(streamEnd))
	_ = w.Close()
}

// serveFetch responds with the answer of an earlier request, which any entry host may have accepted: as a stream that starts at a
// chunk index, or as a whole.
func (s *Server) serveFetch(k *callerRequest) {
	id := k.c.Param("id")
	from := 0
	text, streamed := k.c.GetQuery("from")
	if streamed {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 {
			s.writeFailure(k.c, &responder.Failure{Status: http.StatusBadRequest, Reason: "invalid_query", Message: "from is not a chunk index", RequestID: id})
			return
		}
		from = n
	}
	streamed = streamed || strings.Contains(string(k.c.GetHeader("Accept")), "text/event-stream")
	a, r, err := s.Requests.Fetch(k.identity.Workspace.Name, id, from)
	if err != nil {
		s.writeFailure(k.c, responder.FromError(err))
		return
	}
	defer r.Close()
	if a.WaitIdentity(k.ctx) != nil {
		return
	}
	if a.Meta().Kind == answerer.KindService {
		s.respondService(k, a)
		return
	}
	s.respondChat(k, a, r, streamed)
}
