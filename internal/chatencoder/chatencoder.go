// Package chatencoder writes answers as OpenAI chat completions and chunks of them.
package chatencoder

import (
	"encoding/json"

	"github.com/dragonflycroft/dragonflycroft/internal/answerer"
	"github.com/dragonflycroft/dragonflycroft/internal/connector"
)

// ErrorBody is the body of an answer that is no success.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail says how a request ended and what the caller may do.
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

func finished() *string {
	stop := "stop"
	return &stop
}

func usageOf(u *connector.Usage) *usage {
	if u == nil {
		return nil
	}
	return &usage{
		PromptTokens: u.PromptTokens, CompletionTokens: u.OutputTokens, TotalTokens: u.PromptTokens + u.OutputTokens,
		Details: usageDetail{CachedTokens: u.CachedTokens},
	}
}

func chunkOf(m answerer.Meta) completion {
	return completion{ID: m.RequestID, Object: "chat.completion.chunk", Created: m.Created.Unix(), Model: m.Model, Choices: []choice{}}
}

// encode cannot fail: the types hold no values that JSON lacks.
func encode(c completion) []byte {
	data, _ := json.Marshal(c)
	return data
}

// Whole returns a whole answer.
func Whole(m answerer.Meta, text string, end *answerer.End) []byte {
	return encode(completion{
		ID: m.RequestID, Object: "chat.completion", Created: m.Created.Unix(), Model: m.Model,
		Choices: []choice{{Message: &message{Role: "assistant", Content: text}, FinishReason: finished()}},
		Usage:   usageOf(end.Usage),
	})
}

// Chunk returns one chunk of a streamed answer.
func Chunk(m answerer.Meta, chunk *answerer.Chunk) []byte {
	c := chunkOf(m)
	delta := &message{Content: chunk.Text}
	if chunk.Index == 0 {
		delta.Role = "assistant"
	}
	c.Choices = []choice{{Delta: delta}}
	return encode(c)
}

// Finish returns the chunk that ends a complete answer.
func Finish(m answerer.Meta) []byte {
	c := chunkOf(m)
	c.Choices = []choice{{Delta: &message{}, FinishReason: finished()}}
	return encode(c)
}

// Outcome returns the final event of a stream.
func Outcome(m answerer.Meta, end *answerer.End) []byte {
	c := chunkOf(m)
	c.Usage, c.Outcome = usageOf(end.Usage), end.Outcome
	if end.Outcome != answerer.Done {
		c.Error = &ErrorDetail{
			Outcome: end.Outcome, Reason: end.Reason, Message: end.Message, RequestID: m.RequestID,
			RetryAfterMS: end.RetryAfter.Milliseconds(),
		}
	}
	return encode(c)
}
