package chatdecoder

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// TestDecode guards against accepting requests that cannot be served, and against errors without the name of the field.
func TestDecode(t *testing.T) {
	for _, test := range []struct {
		name, body string
		want       *Request
		field      string
	}{
		{"text", `{"model":"m","messages":[{"role":"user","content":"12345678"}],"stream":true,"max_tokens":9}`, &Request{Model: "m", Stream: true, PromptTokens: 2, MaxOutputTokens: 9}, ""},
		{"parts", `{"model":"m","adapter":"a","messages":[{"content":[{"type":"text","text":"1234"},{"type":"image_url"}]},{"content":null}]}`, &Request{Model: "m", Adapter: "a", PromptTokens: 1}, ""},
		{"both limits", `{"model":"m","messages":[{"content":""}],"max_tokens":5,"max_completion_tokens":7,"unknown":{}}`, &Request{Model: "m", PromptTokens: 1, MaxOutputTokens: 7}, ""},
		{"no object", `[]`, nil, ""},
		{"no model", `{"messages":[{"content":"x"}]}`, nil, "model"},
		{"long model", `{"model":"` + strings.Repeat("m", 300) + `","messages":[{"content":"x"}]}`, nil, "model"},
		{"no messages", `{"model":"m","messages":[]}`, nil, "messages"},
		{"content", `{"model":"m","messages":[{"content":"x"},{"content":5}]}`, nil, "messages[1].content"},
		{"n", `{"model":"m","messages":[{"content":"x"}],"n":2}`, nil, "n"},
		{"max_tokens", `{"model":"m","messages":[{"content":"x"}],"max_tokens":0}`, nil, "max_tokens"},
		{"max_completion_tokens", `{"model":"m","messages":[{"content":"x"}],"max_completion_tokens":-1}`, nil, "max_completion_tokens"},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, err := Decode([]byte(test.body))
			if diff := cmp.Diff(test.want, got, cmpopts.IgnoreFields(Request{}, "PrefixBlocks")); diff != "" {
				t.Error(diff)
			}
			var field *FieldError
			if test.want == nil && (!errors.As(err, &field) || field.Field != test.field || err.Error() == "") {
				t.Errorf("error %v, want a *FieldError for field %q", err, test.field)
			}
		})
	}
}

// TestPrefixBlocksAreBounded guards against descriptors whose size grows with the prompt without a limit.
func TestPrefixBlocksAreBounded(t *testing.T) {
	body := `{"model":"m","messages":[{"content":"` + strings.Repeat("x", 1<<20) + `"}]}`
	r, err := Decode([]byte(body))
	if err != nil || len(r.PrefixBlocks) != maxPrefixBlocks || r.PromptTokens != 1<<18 {
		t.Errorf("%v, %d blocks", err, len(r.PrefixBlocks))
	}
}

// FuzzDecode guards against bodies that crash the decoder, and against accepted requests without a valid token estimate.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","messages":[{"role":"user","content":"hello"}]}`,
		`{"model":"m","messages":[{"content":[{"text":"a"},{"text":null}]}],"max_tokens":1}`,
		`{"model":"m","messages":[{"content":"\ud800"}],"n":1}`,
		`{"model":"","messages":null}`, `{"model":"m","messages":[null]}`, `null`, `{`, `[]`, ``, `"x"`,
		`{"model":"m","messages":[{"content":{}}]}`, `{"MODEL":"m","Messages":[{"CONTENT":"x"}]}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		r, err := Decode(body)
		var field *FieldError
		switch {
		case err != nil && (!errors.As(err, &field) || r != nil):
			t.Errorf("error %T with request %v", err, r)
		case err == nil && (r.Model == "" || r.PromptTokens < 1 || r.MaxOutputTokens < 0 || len(r.PrefixBlocks) > maxPrefixBlocks):
			t.Errorf("accepted %+v", r)
		}
	})
}
