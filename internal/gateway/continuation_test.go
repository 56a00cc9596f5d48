package gateway_test

import (
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against the text or the head of an endpoint's error in the middle of a stream that another endpoint began and broke off, and
// against such a stream that looks complete.
func TestErrorAfterBrokenStream(t *testing.T) {
	const begun = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	head := func(r *http.Request, status, lines string) string {
		return "HTTP/1.1 " + status + "\r\nX-Id: " + r.Header.Get("X-Id") + "\r\n" + lines + "\r\n"
	}
	for name, respond := range map[string]func(r *http.Request) string{
		"500":      func(r *http.Request) string { return response(r, 500, signed, "failed\n\n") },
		"404":      func(r *http.Request) string { return response(r, 404, signed, "no stream\n\n") },
		"416":      func(r *http.Request) string { return response(r, 416, signed, "no such event\n\n") },
		"redirect": func(r *http.Request) string { return response(r, 302, signed+"Location: /x\r\n", "moved\n\n") },
		"204":      func(r *http.Request) string { return head(r, "204 X", signed) },
		"201":      func(r *http.Request) string { return response(r, 201, signed, "id: 3\ndata: x\n\n") },
		"206":      func(r *http.Request) string { return response(r, 206, signed, "id: 3\ndata: x\n\n") },
		"500 chunked": func(r *http.Request) string {
			return head(r, "500 X", signed+"Transfer-Encoding: chunked\r\n") + chunk("failed\n\n") + "0\r\n\r\n"
		},
		"500 without a length":    func(r *http.Request) string { return head(r, "500 X", signed) + "failed\n\n" },
		"500 without a signature": func(r *http.Request) string { return response(r, 500, "", "failed\n\n") },
		"503 not run":             func(r *http.Request) string { return response(r, 503, "X-Not-Run: 1\r\n", "full\n\n") },
		"429":                     func(r *http.Request) string { return response(r, 429, signed, "later\n\n") },
		"200 with a text": func(r *http.Request) string {
			return response(r, 200, signed+"Content-Type: text/plain\r\n", "internal error\n\n")
		},
		"200 with JSON": func(r *http.Request) string {
			return response(r, 200, signed+"Content-Type: application/json\r\n", "{\"error\":\n\n1}")
		},
		"200 with a text, no type": func(r *http.Request) string { return response(r, 200, signed, "internal error\n\n") },
		"200 with a text without a length": func(r *http.Request) string {
			return head(r, "200 OK", signed) + "internal error\n\n"
		},
		"200 with nothing": func(r *http.Request) string { return response(r, 200, signed, "") },
		"200 with a head in it": func(r *http.Request) string {
			return response(r, 200, signed, "HTTP/1.1 500 X\r\nContent-Length: 6\r\n\r\nfailed")
		},
		"no response": func(*http.Request) string { return "nonsense\r\n\r\n" },
	} {
		t.Run(name, func(t *testing.T) {
			first := startFakeEndpoint(t, "e1", func(_ int, r *http.Request) ([]string, bool) {
				return []string{
					"HTTP/1.1 200 OK\r\nX-Id: " + r.Header.Get("X-Id") + "\r\n" + signed + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
					chunk(begun), chunk("id: 3\nda"),
				}, true
			})
			second := startFakeEndpoint(t, "e2", func(_ int, r *http.Request) ([]string, bool) { return []string{respond(r)}, true })
			status, _, body, complete := startTestHost(t, first, second).send(t, postRequest("/resume/", "k"))
			if diff := cmp.Diff([]any{200, begun, false, 1}, []any{status, body, complete, len(second.received())}); diff != "" {
				t.Errorf("status, body, complete, requests at the second endpoint (-want +got):\n%s", diff)
			}
		})
	}
}
