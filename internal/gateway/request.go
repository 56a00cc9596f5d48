package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/attributor"
	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/cacheestimator"
	"github.com/dragonflycroft/dragonflycroft/internal/connlimiter"
	"github.com/dragonflycroft/dragonflycroft/internal/router"
)

const (
	// firstTableWait is the longest wait for the first table of a host: an election after a start of all hosts takes 400 to 800
	// ms.
	firstTableWait = time.Second
	// maxPromptParts is the number of prompt segments that are used to estimate what engines have in their caches; further ones are
	// ignored. maxPartIDs is the number of segments of which the IDs are used.
	maxPromptParts = 16
	maxPartIDs     = 256
	// maxCallerTimeout is the longest timeout that a caller may request.
	maxCallerTimeout = 10 * time.Minute
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
	"Proxy-Authenticate", "Proxy-Authorization", "Expect",
}

// request is the state of a caller's request from its arrival to its response.
type request struct {
	g    *Gateway
	w    *trackedResponse
	r    *http.Request
	conn *trackedConn
	// bounded pays for the memory that the request takes; it may be nil.
	bounded *connlimiter.Conn
	started time.Time

	id        string
	revision  uint64
	rule      *router.Rule
	pool      string
	workspace *router.Workspace
	tier      int
	work      balancer.Work
	units     float64
	// placerChecksAllotment is true if the coordinator that places the request checks the allotment.
	placerChecksAllotment bool
	body                  []byte
	// bodyRead is true once the whole body was read, and refused once the gateway itself has responded to the request.
	bodyRead, refused bool
	// refusal is the reason of the last error of the gateway itself.
	refusal string
	// fingerprint is a digest that is equal for repetitions of the same request.
	fingerprint uint64
	// sharedParts are the IDs of the prompt parts that other requests may also contain, which is all but the last part, and
	// partDigests their digests.
	sharedParts []string
	partDigests []uint64
	deadline    time.Time

	// sends is the number of endpoints to which a byte of the request was written, and mayHaveRun is true if one of them may have
	// run it.
	sends      int
	mayHaveRun bool
	tried      map[string]bool
	// lastEvent is the ID of the last event that was sent to the caller, and streaming is true once the response head was
	// written.
	lastEvent string
	streaming bool
	// unjoinable is true if the version that began the stream is not known for certain, and originReportedAt the time of the last
	// report of its origin.
	unjoinable       bool
	originReportedAt time.Time
	// boundBy is the ID of the endpoint whose first event has bound the request to a version; empty for a take-up.
	boundBy string
	// via is the host that the last send went through; empty if this host has sent the request itself.
	via string
	// answering is true once the endpoint of the current send has sent the head of its response.
	answering bool
	waited    time.Duration
	// events is the number of complete events sent to the caller, and firstEvent is the time from the arrival to the first one.
	events     int
	firstEvent time.Duration
	// sendBegan is the start of the current send, sendEvents the number of its events, sendFirstEventAt the time of the first one, and survived is true once
	// the send has shown that the endpoint does not crash when it begins to answer.
	sendBegan        time.Time
	sendEvents       int
	sendFirstEventAt time.Time
	survived         bool
	// lastEventAt is the time of the last event, and longestGap the longest time between two events.
	lastEventAt time.Time
	longestGap  time.Duration
}

// serve handles one request.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	q := &request{g: g, w: &trackedResponse{ResponseWriter: w}, r: r, started: time.Now(), id: r.Header.Get(g.Headers.RequestID), tried: map[string]bool{}}
	// Otherwise net/http would add a detected Content-Type to the endpoint's response.
	w.Header()["Content-Type"] = nil
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	c, tracked := r.Context().Value(connKey{}).(*trackedConn)
	if tracked {
		q.conn, q.w.conn = c, c
		if bounded, ok := c.Conn.(*connlimiter.Conn); ok {
			q.bounded = bounded
			bounded.BeginRequest()
			defer bounded.EndRequest()
		}
		defer func() {
			if q.refused && !q.bodyRead {
				q.flushRefusal()
			}
			c.recordNextHead()
		}()
	}
	defer func() { q.finish(recover()) }()
	if tracked {
		f, head := c.inspectHead()
		switch {
		case f == framingAmbiguous:
			w.Header().Set("Connection", "close")
			q.refuse(http.StatusBadRequest, "ambiguous_length", 0)
			return
		case head > g.limits().MaxHeaderBytes:
			w.Header().Set("Connection", "close")
			q.refuse(http.StatusRequestHeaderFieldsTooLarge, "header_too_large", 0)
			return
		case f == framingUnknown && len(r.TransferEncoding) > 0:
			w.Header().Set("Connection", "close")
		}
	}
	if q.prepare() {
		if q.bounded != nil {
			q.bounded.BeginRun()
		}
		q.run()
	}
}

// prepare validates a request and reads its body. It returns false if it has already responded.
func (q *request) prepare() bool {
	index, current := q.g.Table()
	if index == nil {
		q.awaitTable()
		index, current = q.g.Table()
	}
	if q.r.Context().Err() != nil {
		q.abortDisconnected(q.r.Context().Err())
	}
	if index == nil || !current {
		q.refuse(http.StatusServiceUnavailable, "no_confirmed_table", noTableRetryAfter)
		return false
	}
	q.revision = index.Table().Revision
	if q.rule = index.Rule(q.r.Host, q.r.URL.EscapedPath()); q.rule == nil {
		q.refuse(http.StatusNotFound, "no_rule", 0)
		return false
	}
	if !q.authenticate(index) {
		q.refuse(http.StatusUnauthorized, "unknown_key", 0)
		return false
	}
	q.pool = q.rule.ChoosePool(q.id)
	q.tier = q.rule.Tier
	if q.workspace != nil && q.workspace.TierSet {
		// The tier of the workspace takes precedence; rules order the requests of workspaces with the same tier.
		q.tier += q.workspace.Tier * router.MaxTiers
	}
	q.setDeadline()
	if !q.readBody(q.g.limits().MaxBodyBytes) {
		return false
	}
	q.parseWork(index)
	return q.checkQuarantine() && q.resolveOrigin(index) && q.takeAllotment()
}

// awaitTable delays a request that arrived before the first table. After a start of all hosts the table is agreed on within a
// second, and a caller that is refused in that time would mostly reach another host without a table.
func (q *request) awaitTable() {
	limit := firstTableWait
	if requested, ok := q.callerTimeout(); ok {
		limit = min(limit, requested/2)
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-q.g.tableReady:
	case <-timer.C:
	case <-q.r.Context().Done():
	}
	klog.InfoS("gateway: request waited for the first configuration", "request", q.id, "waited", time.Since(q.started))
}

// authenticate sets the workspace of the API key. It returns false if the key is unknown and the rule is not public.
func (q *request) authenticate(index *router.Index) bool {
	if !index.RequiresKeys() {
		return true
	}
	key, ok := strings.CutPrefix(q.r.Header.Get("Authorization"), q.g.Headers.KeyScheme+" ")
	if ok {
		q.workspace = index.WorkspaceByKey(strings.TrimSpace(key))
	}
	return q.workspace != nil || q.rule.Public
}

func (q *request) setDeadline() {
	limit := q.rule.Timeout
	if requested, ok := q.callerTimeout(); ok {
		limit = min(limit, requested)
	}
	q.deadline = q.started.Add(limit)
}

// callerTimeout returns the timeout in the caller's deadline header, limited to maxCallerTimeout, or false if there is none.
func (q *request) callerTimeout() (time.Duration, bool) {
	ms, err := strconv.ParseInt(q.r.Header.Get(q.g.Headers.Deadline), 10, 64)
	if err != nil || ms < 0 {
		return 0, false
	}
	return time.Duration(min(ms, maxCallerTimeout.Milliseconds())) * time.Millisecond, true
}

// parseWork sets the allotment units and, for rules of models, the engine work of the request from its headers.
func (q *request) parseWork(index *router.Index) {
	h := q.g.Headers
	prompt, output, valid := strings.Cut(q.r.Header.Get(h.Tokens), ",")
	in, errIn := strconv.Atoi(strings.TrimSpace(prompt))
	out, errOut := strconv.Atoi(strings.TrimSpace(output))
	valid = valid && errIn == nil && errOut == nil && in >= 0 && out >= 0
	switch {
	case valid:
		q.units = float64(in + out)
	case q.workspace != nil:
		q.units = q.workspace.DefaultCost
	}
	parts, ids := parsePromptParts(q.r.Header.Get(h.PromptParts))
	q.sharedParts = ids[:max(0, len(ids)-1)]
	for _, id := range q.sharedParts {
		q.partDigests = append(q.partDigests, attributor.Digest(id))
	}
	if !q.rule.Model || !valid {
		return
	}
	if hint, err := strconv.Atoi(q.r.Header.Get(h.ExpectedOutput)); err == nil && hint > 0 {
		out = min(out, hint)
	}
	q.work = balancer.Work{Prompt: in, Output: out, TokensPerEvent: 1, Deadline: q.deadline, EventGap: q.rule.EventGap}
	if p := index.Pool(q.pool); p != nil && p.Engine != nil {
		q.work.TokensPerEvent = p.Engine.TokensPerEvent
	}
	q.work.Parts = parts
}

// parsePromptParts parses the segments of a prompt and returns them with their IDs. It stops at the first malformed segment and
// drops the rest.
func parsePromptParts(header string) (out []cacheestimator.Part, ids []string) {
	digest := xxhash.New()
	for part := range strings.SplitSeq(header, ",") {
		id, tokens, _ := strings.Cut(strings.TrimSpace(part), ":")
		n, err := strconv.Atoi(tokens)
		if id == "" || err != nil || n < 0 || len(ids) == maxPartIDs {
			break
		}
		ids = append(ids, id)
		if len(out) == maxPromptParts {
			continue
		}
		_, _ = digest.WriteString(id + ",") // a digest never fails
		out = append(out, cacheestimator.Part{Key: digest.Sum64(), Tokens: n})
	}
	return out, ids
}

// takeAllotment takes the request's units from the allotment of its workspace, unless the placer checks it. It returns false if
// it has refused the request.
func (q *request) takeAllotment() bool {
	if q.workspace == nil || q.workspace.Rate <= 0 {
		return true
	}
	if q.placerChecksAllotment = q.g.Placer.Checks(q.pool); q.placerChecksAllotment {
		return true
	}
	q.g.mu.Lock()
	ok, retry := q.g.allotments.Take(time.Now(), q.workspace.Name, q.units)
	level, peers := q.g.allotments.Available(q.workspace.Name), q.g.allotments.PeerHosts()
	q.g.mu.Unlock()
	if !ok {
		klog.InfoS("gateway: allotment used up", "request", q.id, "workspace", q.workspace.Name, "units", q.units, "level", level,
			"rate", q.workspace.Rate, "burst", q.workspace.Burst, "peers", peers)
		q.refuse(http.StatusTooManyRequests, "allotment", retry)
	}
	return ok
}

// returnAllotment returns the units of a request that did not run to the allotment of its workspace.
func (q *request) returnAllotment() {
	if q.workspace == nil || q.workspace.Rate <= 0 || q.placerChecksAllotment {
		return
	}
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	q.g.allotments.Return(time.Now(), q.workspace.Name, q.units)
}

// refuse responds with an error of the gateway itself, or aborts the response if a stream has already begun.
func (q *request) refuse(status int, reason string, retryAfter time.Duration) {
	requestCounts.Add(reason, 1)
	q.refusal = reason
	rule := ""
	if q.rule != nil {
		rule = q.rule.Name
	}
	klog.InfoS("gateway: request refused", "request", q.id, "status", status, "reason", reason, "revision", q.revision, "rule", rule,
		"pool", q.pool, "workspace", q.workspaceName(), "tier", q.tier, "sends", q.sends, "may_have_run", q.mayHaveRun, "retry_after", retryAfter,
		"units", q.units, "prompt", q.work.Prompt, "output", q.work.Output, "left", q.deadline.Sub(q.started), "after", time.Since(q.started))
	if q.streaming {
		// The head with status 200 was sent; only closing the connection shows the caller that the response is incomplete.
		panic(http.ErrAbortHandler)
	}
	h := q.w.Header()
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	if q.id != "" {
		h.Set(q.g.Headers.RequestID, q.id)
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	text := reason + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	q.w.WriteHeader(status)
	if _, err := io.WriteString(q.w, text); err != nil {
		klog.V(1).Infof("gateway: writing the refusal failed request=%s reason=%q", q.id, err)
	}
	q.refused = true
}

// flushRefusal flushes a response that was written before the body was read. net/http then reads the rest of the body, which must
// not be recorded as the head of the next request.
func (q *request) flushRefusal() {
	if err := http.NewResponseController(q.w).Flush(); err != nil {
		klog.V(1).Infof("gateway: writing the refusal failed request=%s reason=%q", q.id, err)
	}
}

func (q *request) workspaceName() string {
	if q.workspace == nil {
		return ""
	}
	return q.workspace.Name
}

// forwardHeader returns the header of the request to an endpoint.
func (q *request) forwardHeader(endpoint string) http.Header {
	names := q.g.Headers
	out := q.r.Header.Clone()
	for _, listed := range out["Connection"] {
		for name := range strings.SplitSeq(listed, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	for _, name := range names.Internal {
		out.Del(name)
	}
	out.Del(names.Workspace)
	out.Del(names.Instance)
	if scheme, _, _ := strings.Cut(out.Get("Authorization"), " "); strings.EqualFold(scheme, names.KeyScheme) {
		out.Del("Authorization")
	}
	if q.id != "" {
		// The caller's Connection header must not remove the request ID, which the exchange depends on.
		out.Set(names.RequestID, q.id)
	}
	if q.workspace != nil {
		out.Set(names.Workspace, q.workspace.Name)
	}
	out.Set(names.Instance, endpoint)
	out.Set(names.Deadline, strconv.FormatInt(max(1, time.Until(q.deadline).Milliseconds()), 10))
	if q.lastEvent != "" {
		out.Set(names.LastEventID, q.lastEvent)
	}
	return out
}

// sendContext returns a context that ends at the deadline, shortly before the end of a stop, and when the caller disconnects unless the
// request is non-idempotent.
func (q *request) sendContext() (context.Context, context.CancelFunc) {
	parent := q.r.Context()
	if q.rule.Kind == router.NonIdempotent {
		parent = context.WithoutCancel(parent)
	}
	ctx, cancel := context.WithDeadline(parent, q.deadline)
	stop := context.AfterFunc(q.g.sendsEnded, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}
