// Package chatdecoder decodes the fields of an OpenAI chat completion request that scheduling needs.
package chatdecoder

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/dragonflycroft/dragonflycroft/internal/connector"
)

const (
	// bytesPerToken is the typical ratio for English text and code; it is used to estimate the prompt tokens.
	bytesPerToken = 4
	// maxPrefixBlocks bounds the size of a descriptor; 1,024 blocks of 256 bytes cover prompts of 64,000 tokens.
	maxPrefixBlocks = 1024
	maxNameBytes    = 256
)

// Request is a decoded chat request.
type Request struct {
	Model, Adapter string
	Stream         bool
	PromptTokens   int
	// MaxOutputTokens is 0 if the caller set no limit.
	MaxOutputTokens int
	PrefixBlocks    []uint64
}

// FieldError reports a field of a request body that cannot be accepted.
type FieldError struct{ Field, Reason string }

// Error implements error.
func (e *FieldError) Error() string {
	if e.Field == "" {
		return "the body " + e.Reason
	}
	return fmt.Sprintf("field %q %s", e.Field, e.Reason)
}

type wireMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type wireRequest struct {
	Model               string        `json:"model"`
	Adapter             string        `json:"adapter"`
	Messages            []wireMessage `json:"messages"`
	Stream              bool          `json:"stream"`
	MaxTokens           *int          `json:"max_tokens"`
	MaxCompletionTokens *int          `json:"max_completion_tokens"`
	N                   *int          `json:"n"`
}

// Decode decodes a request body. Every error that it returns is a *FieldError.
func Decode(body []byte) (*Request, error) {
	var wire wireRequest
	if err := json.Unmarshal(body, &wire); err != nil {
		return nil, &FieldError{Reason: "is not a valid chat completion request: " + err.Error()}
	}
	if err := validate(&wire); err != nil {
		return nil, err
	}
	var prompt strings.Builder
	for i, m := range wire.Messages {
		if err := appendContent(&prompt, m.Content); err != nil {
			return nil, &FieldError{Field: fmt.Sprintf("messages[%d].content", i), Reason: err.Error()}
		}
	}
	r := &Request{
		Model:        wire.Model,
		Adapter:      wire.Adapter,
		Stream:       wire.Stream,
		PromptTokens: max(1, prompt.Len()/bytesPerToken),
		PrefixBlocks: connector.PrefixBlockHashes(prompt.String()),
	}
	if len(r.PrefixBlocks) > maxPrefixBlocks {
		r.PrefixBlocks = r.PrefixBlocks[:maxPrefixBlocks]
	}
	if wire.MaxTokens != nil {
		r.MaxOutputTokens = *wire.MaxTokens
	}
	if wire.MaxCompletionTokens != nil {
		r.MaxOutputTokens = *wire.MaxCompletionTokens
	}
	return r, nil
}

func validate(w *wireRequest) error {
	switch {
	case w.Model == "":
		return &FieldError{Field: "model", Reason: "is missing"}
	case len(w.Model) > maxNameBytes || len(w.Adapter) > maxNameBytes:
		return &FieldError{Field: "model", Reason: fmt.Sprintf("or its adapter is longer than %d bytes", maxNameBytes)}
	case len(w.Messages) == 0:
		return &FieldError{Field: "messages", Reason: "is missing or empty"}
	case w.N != nil && *w.N != 1:
		return &FieldError{Field: "n", Reason: "must be 1: one answer is produced for each request"}
	case w.MaxTokens != nil && *w.MaxTokens <= 0:
		return &FieldError{Field: "max_tokens", Reason: "must be positive"}
	case w.MaxCompletionTokens != nil && *w.MaxCompletionTokens <= 0:
		return &FieldError{Field: "max_completion_tokens", Reason: "must be positive"}
	}
	return nil
}

// appendContent adds the text of a message: a string, null, or a list of parts.
func appendContent(prompt *strings.Builder, raw json.RawMessage) error {
	raw = bytes.TrimSpace(raw)
	if len(raw) == 0 || string(raw) == "null" {
		return nil
	}
	if raw[0] == '"' {
		var text string
		if err := json.Unmarshal(raw, &text); err != nil {
			return err
		}
		prompt.WriteString(text)
		return nil
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(raw, &parts); err != nil {
		return fmt.Errorf("is neither a text nor a list of parts: %w", err)
	}
	for _, p := range parts {
		prompt.WriteString(p.Text)
	}
	return nil
}
