// Package chatencoder encodes answers as OpenAI chat completions and chat completion chunks.
package chatencoder

import (
	"encoding/json"

	"github.com/dragonflycroft/dragonflycroft/internal/answerer"
	"github.com/dragonflycroft/dragonflycroft/internal/connector"
)

// ErrorBody is the JSON body of an error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes how a request failed and when the caller may retry it.
type ErrorDetail struct {
	Outcome      answerer.Outcome `json:"outcome"`
	Reason       string           `json:"reason"`
	Message      string           `json:"message"`
	RequestID    string           `json:"request_id,omitempty"`
	RetryAfterMS int64            `json:"retry_after_ms,omitempty"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type usageDetail struct {
	CachedTokens int `json:"cached_tokens"`
}

type usage struct {
	PromptTokens     int         `json:"prompt_tokens"`
	CompletionTokens int         `json:"completion_tokens"`
	TotalTokens      int         `json:"total_tokens"`
	Details          usageDetail `json:"prompt_tokens_details"`
}

// completion is an OpenAI chat completion, or a chunk of one.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
	// Outcome and Error are set in the final event of a stream.
	Outcome answerer.Outcome `json:"outcome,omitempty"`
	Error   *ErrorDetail     `json:"error,omitempty"`
}

func stopReason() *string {
	stop := "stop"
	return &stop
}

func newUsage(u *connector.Usage) *usage {
	if u == nil {
		return nil
	}
	return &usage{
		PromptTokens: u.PromptTokens, CompletionTokens: u.OutputTokens, TotalTokens: u.PromptTokens + u.OutputTokens,
		Details: usageDetail{CachedTokens: u.CachedTokens},
	}
}

func newChunk(m answerer.Meta) completion {
	return completion{ID: m.RequestID, Object: "chat.completion.chunk", Created: m.Created.Unix(), Model: m.Model, Choices: []choice{}}
}

// encode ignores the error of json.Marshal: the types contain no values that JSON cannot represent.
func encode(c completion) []byte {
	data, _ := json.Marshal(c)
	return data
}

// Completion encodes a complete answer that is not streamed.
func Completion(m answerer.Meta, text string, end *answerer.End) []byte {
	return encode(completion{
		ID: m.RequestID, Object: "chat.completion", Created: m.Created.Unix(), Model: m.Model,
		Choices: []choice{{Message: &message{Role: "assistant", Content: text}, FinishReason: stopReason()}},
		Usage:   newUsage(end.Usage),
	})
}

// Chunk encodes one chunk of a streamed answer.
func Chunk(m answerer.Meta, chunk *answerer.Chunk) []byte {
	c := newChunk(m)
	delta := &message{Content: chunk.Text}
	if chunk.Index == 0 {
		delta.Role = "assistant"
	}
	c.Choices = []choice{{Delta: delta}}
	return encode(c)
}

// FinishChunk encodes the chunk with the finish reason, which follows the last chunk of a complete answer.
func FinishChunk(m answerer.Meta) []byte {
	c := newChunk(m)
	c.Choices = []choice{{Delta: &message{}, FinishReason: stopReason()}}
	return encode(c)
}

// OutcomeEvent encodes the final event of a stream, with the outcome, the usage and any error.
func OutcomeEvent(m answerer.Meta, end *answerer.End) []byte {
	c := newChunk(m)
	c.Usage, c.Outcome = newUsage(end.Usage), end.Outcome
	if end.Outcome != answerer.Done {
		c.Error = &ErrorDetail{
			Outcome: end.Outcome, Reason: end.Reason, Message: end.Message, RequestID: m.RequestID,
			RetryAfterMS: end.RetryAfter.Milliseconds(),
		}
	}
	return encode(c)
}
