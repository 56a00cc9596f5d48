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

// drainTimeout is the time that requests in progress have to finish after the last one is sent; the rest is cancelled and
// counted as withdrawn.
const drainTimeout = 5 * time.Second

// trafficClass describes the requests that are sent for one tier.
type trafficClass struct {
	tier      string
	perSecond float64
	prompt    int // bytes
	output    int // mean tokens
	order     bool
}

// result is the outcome of one request as its caller received it.
type result struct {
	tier       string
	orderKey   string
	requestID  string
	outcome    string
	reason     string
	firstToken time.Duration
	meanGap    time.Duration
	tokens     int
	corrupted  bool
	withdrawn  bool
}

// loadGenerator sends requests of several classes and collects the results. It is an open loop: the times of the requests are
// random and do not depend on the responses.
type loadGenerator struct {
	demo    *Demonstrator
	classes []trafficClass
	client  *http.Client
	rng     *rand.Rand
	mu      sync.Mutex
	results []result
	elapsed time.Duration
}

func newLoadGenerator(d *Demonstrator) *loadGenerator {
	return &loadGenerator{
		demo: d,
		classes: []trafficClass{
			{tier: "counter", perSecond: 12, prompt: 300, output: 40},
			{tier: "orders", perSecond: 6, order: true},
			{tier: "quotes", perSecond: 3, prompt: 4000, output: 150},
			{tier: "bulk", perSecond: d.BulkPerSecond, prompt: 2500, output: 250},
		},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		rng:    rand.New(rand.NewPCG(d.Seed, 1)),
	}
}

// run sends requests for Demonstrator.Duration or until ctx is done, and waits for the responses.
func (g *loadGenerator) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, g.demo.Duration)
	defer cancel()
	requestCtx, cancelRequests := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelRequests()
	began := time.Now()
	var wg sync.WaitGroup
	for _, k := range g.classes {
		rng := rand.New(rand.NewPCG(g.rng.Uint64(), g.rng.Uint64()))
		wg.Go(func() { g.generate(ctx, requestCtx, &wg, k, rng) })
	}
	<-ctx.Done()
	g.elapsed = time.Since(began)
	timer := time.AfterFunc(drainTimeout, cancelRequests)
	defer timer.Stop()
	wg.Wait()
	g.client.CloseIdleConnections()
}

func (g *loadGenerator) generate(ctx, requestCtx context.Context, wg *sync.WaitGroup, k trafficClass, rng *rand.Rand) {
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
		workspace := g.demo.cfg.Workspaces[rng.IntN(len(g.demo.cfg.Workspaces))].Name
		node := g.demo.nodes[rng.IntN(len(g.demo.nodes))].CallerAddress()
		tokens := max(1, int(rng.ExpFloat64()*float64(k.output)))
		tokens = min(tokens, 4*max(1, k.output))
		wg.Go(func() {
			r := result{tier: k.tier}
			if k.order {
				g.sendOrder(requestCtx, &r, node, workspace, fmt.Sprintf("demo-%d", i))
			} else {
				g.sendChat(requestCtx, &r, node, workspace, i, tokens, k)
			}
			g.mu.Lock()
			defer g.mu.Unlock()
			g.results = append(g.results, r)
		})
	}
}

func (g *loadGenerator) post(ctx context.Context, node, path, workspace, tier, key string, body []byte) (*http.Response, error) {
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
	resp, err := g.client.Do(req)
	if err != nil {
		return nil, err
	}
	return resp, nil
}

func (g *loadGenerator) sendOrder(ctx context.Context, r *result, node, workspace, key string) {
	r.orderKey = key
	resp, err := g.post(ctx, node, "/v1/services/orders/charges", workspace, r.tier, key, []byte(`{"refill":1}`))
	if err != nil {
		r.withdrawn = ctx.Err() != nil
		return
	}
	defer func() { _ = resp.Body.Close() }()
	r.readHeader(resp)
	r.readFailure(resp)
}

func (r *result) readHeader(resp *http.Response) {
	r.requestID = resp.Header.Get("X-Dragonflycroft-Request-Id")
	r.outcome = resp.Header.Get("X-Dragonflycroft-Outcome")
}

// readFailure reads the reason from an error response.
func (r *result) readFailure(resp *http.Response) {
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

func (g *loadGenerator) sendChat(ctx context.Context, r *result, node, workspace string, i, tokens int, k trafficClass) {
	prompt := fmt.Sprintf("%s %s %d ", workspace, k.tier, i)
	prompt += strings.Repeat("w", max(0, k.prompt-len(prompt)))
	body, _ := json.Marshal(map[string]any{
		"model": g.demo.cfg.Pools[g.modelPool()].Models[0], "stream": true,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
		"metadata": map[string]string{"standin_output_tokens": strconv.Itoa(tokens)},
	})
	began := time.Now()
	resp, err := g.post(ctx, node, connector.PathChat, workspace, k.tier, "", body)
	if err != nil {
		r.withdrawn = ctx.Err() != nil
		return
	}
	defer func() { _ = resp.Body.Close() }()
	r.readHeader(resp)
	if resp.StatusCode != http.StatusOK {
		r.readFailure(resp)
		return
	}
	text, err := r.readStream(resp, began)
	r.withdrawn = err != nil && ctx.Err() != nil
	r.tokens = tokens
	r.corrupted = r.outcome == "done" && text != standin.Answer(body, tokens)
}

func (g *loadGenerator) modelPool() int {
	for i, p := range g.demo.cfg.Pools {
		if p.Kind == configurer.KindModel {
			return i
		}
	}
	return 0
}
