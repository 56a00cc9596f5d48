// Package attacher streams the answer of a request from the entry host that owns it to another entry host.
package attacher

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflycroft/dragonflycroft/internal/answerer"
	"github.com/dragonflycroft/dragonflycroft/internal/attacher/attacherpb"
	"github.com/dragonflycroft/dragonflycroft/internal/connector"
	"github.com/dragonflycroft/dragonflycroft/internal/transporter"
)

// Method is the name of the streaming method that Serve handles.
const Method = "attacher.attach"

const (
	keepAliveInterval = 300 * time.Millisecond
	// receiveTimeout bounds the wait for the next message of the owner; it spans three keep-alive intervals.
	receiveTimeout = time.Second
	// attachmentTimeout replaces receiveTimeout on the owner after the first message, since the receiver sends nothing more
	// and the shorter timeout would end the attachment. It is longer than any run.
	attachmentTimeout = 24 * time.Hour
)

// NotFoundError reports that the host does not have the answer of a request.
type NotFoundError struct{ RequestID string }

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("host does not have the answer of request %s", e.RequestID)
}

// Serve sends the answer of one request over s until the answer ends or the receiver closes the stream. Function find returns
// the answer of a request, or nil if the host does not have it.
func Serve(ctx context.Context, s *transporter.Stream, find func(id, workspace string) *answerer.Answer) error {
	s.SetRecvTimeout(receiveTimeout)
	req := &attacherpb.AttachRequest{}
	if err := s.Recv(req); err != nil {
		return err
	}
	a := find(req.GetRequestId(), req.GetWorkspace())
	if a == nil {
		return s.Send(&attacherpb.AttachMessage{Body: &attacherpb.AttachMessage_NotFound{NotFound: true}})
	}
	r := a.NewReader(int(req.GetFrom()))
	defer r.Close()
	// The receiver sends nothing after its request, so Recv returns when the stream is closed or attachmentTimeout has passed.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.SetRecvTimeout(attachmentTimeout)
	go func() {
		_ = s.Recv(&attacherpb.AttachRequest{})
		cancel()
	}()
	m := a.Meta()
	accepted := &attacherpb.Accepted{RequestId: m.RequestID, Kind: m.Kind, Model: m.Model, CreatedUnix: m.Created.Unix()}
	if err := s.Send(&attacherpb.AttachMessage{Body: &attacherpb.AttachMessage_Accepted{Accepted: accepted}}); err != nil {
		return err
	}
	for {
		message, last, err := nextMessage(ctx, r)
		if err != nil {
			return err
		}
		if err := s.Send(message); err != nil || last {
			return err
		}
	}
}

// nextMessage returns the next message to send and whether it is the last. It returns a keep-alive message if the answer has not
// changed for keepAliveInterval.
func nextMessage(ctx context.Context, r *answerer.Reader) (message *attacherpb.AttachMessage, last bool, err error) {
	waitCtx, cancel := context.WithTimeout(ctx, keepAliveInterval)
	defer cancel()
	chunk, end, err := r.Next(waitCtx)
	switch {
	case ctx.Err() != nil:
		return nil, false, ctx.Err()
	case err != nil:
		return &attacherpb.AttachMessage{Body: &attacherpb.AttachMessage_KeepAlive{KeepAlive: true}}, false, nil
	case chunk != nil:
		c := &attacherpb.Chunk{Index: int64(chunk.Index), Text: chunk.Text}
		return &attacherpb.AttachMessage{Body: &attacherpb.AttachMessage_Chunk{Chunk: c}}, false, nil
	}
	return &attacherpb.AttachMessage{Body: &attacherpb.AttachMessage_End{End: encodeEnd(end)}}, true, nil
}

// Follow copies the rest of the answer of a request from the host at addr into a, and returns nil once a has ended. A
// *NotFoundError means that the host does not have the answer; after any other error Follow may be called again.
func Follow(ctx context.Context, t *transporter.Transport, addr, id, workspace string, a *answerer.Answer) error {
	s, err := t.OpenStream(ctx, addr, Method)
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }()
	received, _ := a.Len()
	if err := s.Send(&attacherpb.AttachRequest{RequestId: id, Workspace: workspace, From: int64(received)}); err != nil {
		return err
	}
	s.SetRecvTimeout(receiveTimeout)
	for {
		m := &attacherpb.AttachMessage{}
		if err := s.Recv(m); err != nil {
			return eris.Wrapf(err, "receive answer of request %s from %s", id, addr)
		}
		switch b := m.GetBody().(type) {
		case *attacherpb.AttachMessage_NotFound:
			return &NotFoundError{RequestID: id}
		case *attacherpb.AttachMessage_Accepted:
			if b.Accepted.GetRequestId() != id {
				return eris.Errorf("receive answer of request %s: host sent the answer of request %s", id, b.Accepted.GetRequestId())
			}
			a.AdoptIdentity(id, b.Accepted.GetKind(), b.Accepted.GetModel(), time.Unix(b.Accepted.GetCreatedUnix(), 0))
			a.FinalizeIdentity()
		case *attacherpb.AttachMessage_Chunk:
			if err := a.Append(int(b.Chunk.GetIndex()), b.Chunk.GetText()); err != nil {
				return err
			}
		case *attacherpb.AttachMessage_End:
			a.Finish(decodeEnd(b.End))
			return nil
		}
	}
}

func encodeEnd(e *answerer.End) *attacherpb.End {
	out := &attacherpb.End{
		Outcome: string(e.Outcome), Reason: e.Reason, Message: e.Message, RetryAfterMs: e.RetryAfter.Milliseconds(),
	}
	if u := e.Usage; u != nil {
		out.Usage = &attacherpb.Usage{
			PromptTokens: int64(u.PromptTokens), CachedTokens: int64(u.CachedTokens), OutputTokens: int64(u.OutputTokens),
		}
	}
	if r := e.Response; r != nil {
		out.Response = &attacherpb.Response{Status: int64(r.Status), Header: r.Header, Body: r.Body}
	}
	return out
}

func decodeEnd(m *attacherpb.End) answerer.End {
	e := answerer.End{
		Outcome: answerer.Outcome(m.GetOutcome()), Reason: m.GetReason(), Message: m.GetMessage(),
		RetryAfter: time.Duration(m.GetRetryAfterMs()) * time.Millisecond,
	}
	if u := m.GetUsage(); u != nil {
		e.Usage = &connector.Usage{
			PromptTokens: int(u.GetPromptTokens()), CachedTokens: int(u.GetCachedTokens()), OutputTokens: int(u.GetOutputTokens()),
		}
	}
	if r := m.GetResponse(); r != nil {
		e.Response = &connector.Response{Status: int(r.GetStatus()), Header: r.GetHeader(), Body: r.GetBody()}
	}
	return e
}
