package scenariorunner

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/connector"
	"github.com/dragonflycroft/dragonflycroft/internal/launcher"
	"github.com/dragonflycroft/dragonflycroft/internal/standin"
)

// Headers of the caller API.
const (
	headerRequestID = "X-Dragonflycroft-Request-Id"
	headerOutcome   = "X-Dragonflycroft-Outcome"
	headerTier      = "X-Dragonflycroft-Tier"
)

// result is the outcome of one request as its caller received it.
type result struct {
	load       string
	order      bool
	key        string
	host       string
	tier       string
	requestID  string
	outcome    string
	reason     string
	status     int
	mismatched bool
	incomplete bool
	err        error
}

// load is a batch of requests in progress.
type load struct {
	wg      sync.WaitGroup
	mu      sync.Mutex
	results []result
}

func (l *load) add(r result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, r)
}

// workload describes the requests of one load step. Each of the requests is sent copies times.
type workload struct {
	name         string
	promptPrefix string
	order        bool
	requests     int
	concurrency  int
	copies       int
	tier         string
	tokens       int
	promptBytes  int
	workspace    string
	keyPrefix    string
	crashEngine  bool
	sameBody     bool
	hosts        []*launcher.Host
}

func (s Step) workload(c *launcher.Cluster) (*workload, error) {
	w := &workload{
		name: s.stringOption("name", "load"), tier: s.stringOption("tier", "counter"), workspace: s.stringOption("workspace", "counter-desk"),
		promptPrefix: s.stringOption("body", s.stringOption("name", "load")), keyPrefix: s.stringOption("key", ""), order: s.stringOption("kind", "chat") == "order",
		crashEngine: s.stringOption("crash", "no") == "yes", sameBody: s.stringOption("same", "no") == "yes",
	}
	var errs [5]error
	w.requests, errs[0] = s.intOption("n", 20)
	w.concurrency, errs[1] = s.intOption("concurrency", 8)
	w.copies, errs[2] = s.intOption("copies", 1)
	w.tokens, errs[3] = s.intOption("tokens", 20)
	w.promptBytes, errs[4] = s.intOption("prompt", 200)
	if err := errors.Join(errs[:]...); err != nil {
		return nil, err
	}
	hosts, err := c.SelectHosts(s.stringOption("hosts", "all"))
	if err != nil {
		return nil, err
	}
	if len(hosts) == 0 {
		return nil, errors.New("no host is running")
	}
	w.hosts = hosts
	return w, nil
}

// run sends the requests, at most concurrency at once, and waits for all responses.
func (w *workload) run(ctx context.Context, l *load) {
	slots := make(chan struct{}, w.concurrency)
	for i := range w.requests {
		for copyNumber := range w.copies {
			slots <- struct{}{}
			l.wg.Go(func() {
				defer func() { <-slots }()
				l.add(w.send(ctx, i, w.hosts[(i+copyNumber)%len(w.hosts)]))
			})
		}
	}
	l.wg.Wait()
}

func (w *workload) send(ctx context.Context, i int, h *launcher.Host) result {
	r := result{load: w.name, order: w.order, host: h.ID, tier: w.tier}
	header := map[string]string{
		"Authorization": "Bearer example-" + w.workspace + "-staff",
		"Content-Type":  "application/json",
		headerTier:      w.tier,
	}
	if w.keyPrefix != "" {
		r.key = fmt.Sprintf("%s-%d", w.keyPrefix, i)
		header["Idempotency-Key"] = r.key
	}
	call := connector.Call{Method: http.MethodPost, Path: connector.PathChat, Header: header, Body: w.chatBody(i)}
	if w.order {
		call.Path = "/v1/services/orders/charges"
		// An order that is resent under the same key has the same body.
		call.Body = fmt.Appendf(nil, `{"order":"%s-%d"}`, cmp.Or(w.keyPrefix, w.name), i)
	}
	service := connector.NewService(h.ID, h.CallerAddr, connector.Timeouts{
		Connect: 5 * time.Second, FirstByte: 3 * time.Minute, Gap: 3 * time.Minute,
	})
	response, err := service.Do(ctx, call, func() {})
	if err != nil {
		r.err = err
		return r
	}
	r.status = response.Status
	r.requestID = response.Header[headerRequestID]
	r.outcome = response.Header[headerOutcome]
	if response.Status == http.StatusOK {
		w.checkAnswer(&r, call.Body, response.Body)
		return r
	}
	var failure struct {
		Error struct {
			Outcome string `json:"outcome"`
			Reason  string `json:"reason"`
		} `json:"error"`
	}
	_ = json.Unmarshal(response.Body, &failure)
	r.reason = failure.Error.Reason
	return r
}

// chatBody returns the body of request i. It is unique for each request, or with sameBody the same for all, as when a caller
// resends a request.
func (w *workload) chatBody(i int) []byte {
	if w.sameBody {
		i = 0
	}
	content := fmt.Sprintf("%s-%d ", w.promptPrefix, i)
	if missing := w.promptBytes - len(content); missing > 0 {
		content += strings.Repeat("x", missing)
	}
	body, _ := json.Marshal(map[string]any{
		"model":    "fill-7b",
		"messages": []map[string]string{{"role": "user", "content": content}},
		"metadata": map[string]string{"standin_output_tokens": strconv.Itoa(w.tokens), "standin_crash": strconv.FormatBool(w.crashEngine)},
	})
	return body
}

// checkAnswer compares the response with the answer that the request must produce.
func (w *workload) checkAnswer(r *result, request, response []byte) {
	if w.order {
		r.mismatched = !strings.Contains(string(response), `"path":"/charges"`)
		return
	}
	var answer struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	want := standin.Answer(request, w.tokens)
	if err := json.Unmarshal(response, &answer); err != nil || len(answer.Choices) != 1 {
		r.incomplete = true
		return
	}
	got := answer.Choices[0].Message.Content
	r.incomplete = len(got) < len(want)
	r.mismatched = !r.incomplete && got != want
}
