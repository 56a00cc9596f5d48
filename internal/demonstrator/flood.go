package demonstrator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/connector"
	"github.com/dragonflycroft/dragonflycroft/internal/standin"
)

// drainTime is how long requests in progress may finish after the flood; those that still wait then are withdrawn.
const drainTime = 5 * time.Second

// kind is one kind of work of the flood.
type kind struct {
	tier      string
	perSecond float64
	prompt    int // bytes
	output    int // mean tokens
	order     bool
}

// result is what one caller got.
type result struct {
	tier       string
	order      string
	requestID  string
	outcome    string
	reason     string
	firstToken time.Duration
	gap        time.Duration
	tokens     int
	wrong      bool
	withdrawn  bool
}

// flood sends mixed work at random times, whatever the answers (an open loop), and collects the results.
type flood struct {
	d       *Demonstrator
	kinds   []kind
	client  *http.Client
	rng     *rand.Rand
	mu      sync.Mutex
	results []result
	elapsed time.Duration
}

func newFlood(d *Demonstrator) *flood {
	return &flood{
		d: d,
		kinds: []kind{
			{tier: "counter", perSecond: 12, prompt: 300, output: 40},
			{tier: "orders", perSecond: 6, order: true},
			{tier: "quotes", perSecond: 3, prompt: 4000, output: 150},
			{tier: "bulk", perSecond: d.Flood, prompt: 2500, output: 250},
		},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		rng:    rand.New(rand.NewPCG(d.Seed, 1)),
	}
}

// run sends work for the duration or until ctx ends, and waits for the answers.
func (f *flood) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, f.d.Duration)
	defer cancel()
	answers, withdraw := context.WithCancel(context.WithoutCancel(ctx))
	defer withdraw()
	began := time.Now()
	var wg sync.WaitGroup
	for _, k := range f.kinds {
		rng := rand.New(rand.NewPCG(f.rng.Uint64(), f.rng.Uint64()))
		wg.Go(func() { f.send(ctx, answers, &wg, k, rng) })
	}
	<-ctx.Done()
	f.elapsed = time.Since(began)
	timer := time.AfterFunc(drainTime, withdraw)
	defer timer.Stop()
	wg.Wait()
	f.client.CloseIdleConnections()
}

func (f *flood) send(ctx, answers context.Context, wg *sync.WaitGroup, k kind, rng *rand.Rand) {
	if k.perSecond <= 0 {
		return
	}
	for i := 0; ; i++ {
		pause := time.Duration(rng.ExpFloat64() / k.perSecond * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		workspace := f.d.cfg.Workspaces[rng.IntN(len(f.d.cfg.Workspaces))].Name
		node := f.d.nodes[rng.IntN(len(f.d.nodes))].CallerAddress()
		tokens := max(1, int(rng.ExpFloat64()*float64(k.output)))
		tokens = min(tokens, 4*max(1, k.output))
		wg.Go(func() {
			r := result{tier: k.tier}
			if k.order {
				f.order(answers, &r, node, workspace, fmt.Sprintf("demo-%d", i))
			} else {
				f.chat(answers, &r, node, workspace, i, tokens, k)
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			f.results = append(f.results, r)
		})
	}
}

func (f *flood) post(ctx context.Context, node, path, workspace, tier, key string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer example-"+workspace+"-staff")
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Dragonflycroft-Tier", tier)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return nil, err
	}
	return resp, nil
}

func (f *flood) order(ctx context.Context, r *result, node, workspace, key string) {
	r.order = key
	resp, err := f.post(ctx, node, "/v1/services/orders/charges", workspace, r.tier, key, []byte(`{"refill":1}`))
	if err != nil {
		r.withdrawn = ctx.Err() != nil
		return
	}
	defer func() { _ = resp.Body.Close() }()
	r.head(resp)
	r.fail(resp)
}

func (r *result) head(resp *http.Response) {
	r.requestID = resp.Header.Get("X-Dragonflycroft-Request-Id")
	r.outcome = resp.Header.Get("X-Dragonflycroft-Outcome")
}

// fail reads the reason of an answer that is no success.
func (r *result) fail(resp *http.Response) {
	var wire struct {
		Error struct {
			Reason string `json:"reason"`
		} `json:"error"`
	}
	if resp.StatusCode != http.StatusOK {
		_ = json.NewDecoder(resp.Body).Decode(&wire)
		r.reason = wire.Error.Reason
	}
}

func (f *flood) chat(ctx context.Context, r *result, node, workspace string, i, tokens int, k kind) {
	prompt := fmt.Sprintf("%s %s %d ", workspace, k.tier, i)
	prompt += strings.Repeat("w", max(0, k.prompt-len(prompt)))
	body, _ := json.Marshal(map[string]any{
		"model": f.d.cfg.Pools[f.chatPool()].Models[0], "stream": true,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
		"metadata": map[string]string{"standin_output_tokens": strconv.Itoa(tokens)},
	})
	began := time.Now()
	resp, err := f.post(ctx, node, connector.PathChat, workspace, k.tier, "", body)
	if err != nil {
		r.withdrawn = ctx.Err() != nil
		return
	}
	defer func() { _ = resp.Body.Close() }()
	r.head(resp)
	if resp.StatusCode != http.StatusOK {
		r.fail(resp)
		return
	}
	text, err := r.stream(resp, began)
	r.withdrawn = err != nil && ctx.Err() != nil
	r.tokens = tokens
	r.wrong = r.outcome == "done" && text != standin.Answer(body, tokens)
}

func (f *flood) chatPool() int {
	for i, p := range f.d.cfg.Pools {
		if p.Kind == configurer.KindModel {
			return i
		}
	}
	return 0
}
