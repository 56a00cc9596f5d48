package connector

import (
	"context"
	"encoding/json"
	"io"
	"strconv"

	"github.com/cloudwego/hertz/pkg/protocol/sse"
	"github.com/rotisserie/eris"
)

// chatChunk is the part of an OpenAI chat completion chunk that this package reads.
type chatChunk struct {
	ID      string `json:"id"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		Details          struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// httpStream decodes server-sent events into chunks. The ID of an event is the index of its chunk.
type httpStream struct {
	exchange  *exchange
	reader    *sse.Reader
	requestID string
	nextIndex int
	ended     bool
}

// Next returns the next chunk, and io.EOF after the last one. A missing or repeated index or a chunk
// of another run is a protocol error.
func (s *httpStream) Next(ctx context.Context) (Chunk, error) {
	if s.ended {
		return Chunk{}, io.EOF
	}
	stop := context.AfterFunc(ctx, func() { _ = s.exchange.conn.Close() })
	defer stop()
	event := sse.NewEvent()
	defer event.Release()
	if err := s.reader.Read(event); err != nil {
		if ctx.Err() != nil {
			s.exchange.cancel()
		}
		return Chunk{}, s.exchange.fail(eris.Wrap(err, "read chunk"))
	}
	if string(event.Data) == streamEnd {
		s.ended = true
		s.exchange.close()
		return Chunk{}, io.EOF
	}
	chunk, err := s.decode(event)
	if err != nil {
		s.exchange.close()
		return Chunk{}, &InterruptedError{Endpoint: s.exchange.endpoint, Cause: CauseProtocol, Err: err}
	}
	s.nextIndex++
	return chunk, nil
}

func (s *httpStream) decode(event *sse.Event) (Chunk, error) {
	index, err := strconv.Atoi(event.ID)
	if err != nil {
		return Chunk{}, eris.Wrapf(err, "chunk index %q", event.ID)
	}
	if index != s.nextIndex {
		return Chunk{}, eris.Errorf("chunk index %d, want %d", index, s.nextIndex)
	}
	var wire chatChunk
	if err := json.Unmarshal(event.Data, &wire); err != nil {
		return Chunk{}, eris.Wrap(err, "decode chunk")
	}
	if wire.ID != s.requestID {
		return Chunk{}, eris.Errorf("chunk of request %q, want %q", wire.ID, s.requestID)
	}
	chunk := Chunk{RequestID: wire.ID, Index: index}
	if len(wire.Choices) > 0 {
		chunk.Text = wire.Choices[0].Delta.Content
	}
	if wire.Usage != nil {
		chunk.Last = true
		chunk.Usage = &Usage{
			PromptTokens: wire.Usage.PromptTokens,
			CachedTokens: wire.Usage.Details.CachedTokens,
			OutputTokens: wire.Usage.CompletionTokens,
		}
	}
	return chunk, nil
}

// Close releases the connection without cancelling the run.
func (s *httpStream) Close() error {
	s.exchange.close()
	return nil
}
