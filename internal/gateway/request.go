package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/retainer"
	"github.com/dragonflycroft/dragonflycroft/internal/router"
)

const (
	// bodyTimeout bounds the reading of a whole request body.
	bodyTimeout = 10 * time.Second
	// firstTableWait bounds the wait for the first table of a host: an election after a start of all hosts takes 400 to 800 ms.
	firstTableWait = time.Second
	// maxParts bounds the parts of a prompt that are followed.
	maxParts = 16
	// maxDeadline bounds what callers may ask for.
	maxDeadline = 10 * time.Minute
)

// hopHeaders concern one connection only and are not forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
	"Proxy-Authenticate", "Proxy-Authorization", "Expect",
}

// request is one request of a caller from its arrival to its answer.
type request struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	started time.Time

	id        string
	revision  uint64
	rule      *router.Rule
	pool      string
	workspace *router.Workspace
	tier      int
	work      balancer.Work
	units     float64
	// checked is true if the coordinator that places the request checks the allotment.
	checked bool
	body    []byte
	// bodyRead is true once the whole body was read, and refused once this system has answered the request itself.
	bodyRead, refused bool
	// fingerprint is a digest of what makes it the same request if it comes again.
	fingerprint uint64
	deadline    time.Time

	// sends counts the endpoints that a byte of the request was written to, and ran tells whether one of them may have run it.
	sends int
	ran   bool
	tried map[string]bool
	// lastEvent is the id of the last event that the caller has, and streaming tells whether the head was written.
	lastEvent string
	streaming bool
	wait      time.Duration
	// events counts the whole events passed on, and firstEvent is the time from the arrival to the first one.
	events     int
	firstEvent time.Duration
	// lastAt is the time of the last event, and longestGap the longest time between two events.
	lastAt     time.Time
	longestGap time.Duration
}

// serve handles one request.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	q := &request{g: g, w: w, r: r, started: time.Now(), id: r.Header.Get(g.Headers.RequestID), tried: map[string]bool{}}
	// The library would otherwise guess a type and add it to the endpoint's answer.
	w.Header()["Content-Type"] = nil
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if c, ok := r.Context().Value(connKey{}).(*guardConn); ok {
		defer func() {
			if q.refused && !q.bodyRead {
				q.sendRefusal()
			}
			c.next()
		}()
		f, head := c.check()
		switch {
		case f == framingAmbiguous:
			w.Header().Set("Connection", "close")
			q.refuse(http.StatusBadRequest, "ambiguous_length", 0)
			return
		case head > g.limits().MaxHeaderBytes:
			w.Header().Set("Connection", "close")
			q.refuse(http.StatusRequestHeaderFieldsTooLarge, "header_too_large", 0)
			return
		case f == framingUnseen && len(r.TransferEncoding) > 0:
			w.Header().Set("Connection", "close")
		}
	}
	if q.accept() {
		q.run()
	}
}

// accept checks a request and reads its body. It returns false after it has answered.
func (q *request) accept() bool {
	index, fresh := q.g.Table()
	if index == nil {
		q.awaitTable()
		index, fresh = q.g.Table()
	}
	if q.r.Context().Err() != nil {
		q.abandoned(q.r.Context().Err())
	}
	if index == nil || !fresh {
		q.refuse(http.StatusServiceUnavailable, "no_confirmed_table", unknownRetry)
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
	q.pool = q.rule.Choose(q.id)
	q.tier = q.rule.Tier
	if q.workspace != nil && q.workspace.TierSet {
		// Workspaces go before rules; the rules rank the requests of workspaces with the same tier.
		q.tier += q.workspace.Tier * router.MaxTiers
	}
	q.readDeadline()
	if !q.readBody(q.g.limits().MaxBodyBytes) {
		return false
	}
	q.readWork(index)
	return q.admitSuspect() && q.charge()
}

// awaitTable holds a request that came before the first table. After a start of all hosts the table is agreed again within a
// second, and a caller that is sent away meanwhile mostly finds another host that has none either.
func (q *request) awaitTable() {
	limit := firstTableWait
	if stated, ok := q.statedDeadline(); ok {
		limit = min(limit, stated/2)
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-q.g.opened:
	case <-timer.C:
	case <-q.r.Context().Done():
	}
	klog.InfoS("gateway: request waited for the first configuration", "request", q.id, "waited", time.Since(q.started))
}

// authenticate finds the workspace of the key. Public rules take any caller.
func (q *request) authenticate(index *router.Index) bool {
	if !index.HasKeys() {
		return true
	}
	key, ok := strings.CutPrefix(q.r.Header.Get("Authorization"), q.g.Headers.KeyScheme+" ")
	if ok {
		q.workspace = index.WorkspaceByKey(strings.TrimSpace(key))
	}
	return q.workspace != nil || q.rule.Public
}

func (q *request) readDeadline() {
	limit := q.rule.Timeout
	if stated, ok := q.statedDeadline(); ok {
		limit = min(limit, stated)
	}
	q.deadline = q.started.Add(limit)
}

// statedDeadline returns how long the caller says it will wait.
func (q *request) statedDeadline() (time.Duration, bool) {
	ms, err := strconv.ParseInt(q.r.Header.Get(q.g.Headers.Deadline), 10, 64)
	if err != nil || ms < 0 {
		return 0, false
	}
	return time.Duration(min(ms, maxDeadline.Milliseconds())) * time.Millisecond, true
}

func (q *request) readBody(limit int64) bool {
	if q.r.ContentLength == 0 {
		q.bodyRead = true
		return true
	}
	if q.r.ContentLength > limit {
		q.w.Header().Set("Connection", "close")
		q.refuse(http.StatusRequestEntityTooLarge, "body_too_large", 0)
		return false
	}
	control := http.NewResponseController(q.w)
	if err := control.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		klog.V(1).Infof("gateway: no limit of the body's time request=%s reason=%q", q.id, err)
	}
	body, err := io.ReadAll(http.MaxBytesReader(q.w, q.r.Body, limit))
	if err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			q.w.Header().Set("Connection", "close")
			q.refuse(http.StatusRequestEntityTooLarge, "body_too_large", 0)
			return false
		}
		countRequests.Add("body_broken", 1)
		klog.V(1).Infof("gateway: body not read request=%s reason=%q", q.id, err)
		panic(http.ErrAbortHandler)
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		klog.V(1).Infof("gateway: limit of the body's time stays request=%s reason=%q", q.id, err)
	}
	q.body, q.bodyRead = body, true
	return true
}

// readWork reads what the request asks of an engine.
func (q *request) readWork(index *router.Index) {
	h := q.g.Headers
	prompt, output, stated := strings.Cut(q.r.Header.Get(h.Tokens), ",")
	in, errIn := strconv.Atoi(strings.TrimSpace(prompt))
	out, errOut := strconv.Atoi(strings.TrimSpace(output))
	stated = stated && errIn == nil && errOut == nil && in >= 0 && out >= 0
	switch {
	case stated:
		q.units = float64(in + out)
	case q.workspace != nil:
		q.units = q.workspace.PlainCost
	}
	if !q.rule.Model || !stated {
		return
	}
	if hint, err := strconv.Atoi(q.r.Header.Get(h.Expected)); err == nil && hint > 0 {
		out = min(out, hint)
	}
	q.work = balancer.Work{Prompt: in, Output: out, TokensPerEvent: 1, Deadline: q.deadline, EventGap: q.rule.EventGap}
	if p := index.Pool(q.pool); p != nil && p.Engine != nil {
		q.work.TokensPerEvent = p.Engine.TokensPerEvent
	}
	q.work.Parts = readParts(q.r.Header.Get(h.Parts))
}

// readParts reads the parts of a prompt. What follows a part that cannot be read is left out.
func readParts(header string) []retainer.Part {
	var out []retainer.Part
	digest := xxhash.New()
	for part := range strings.SplitSeq(header, ",") {
		id, tokens, _ := strings.Cut(strings.TrimSpace(part), ":")
		n, err := strconv.Atoi(tokens)
		if id == "" || err != nil || n < 0 || len(out) == maxParts {
			break
		}
		_, _ = digest.WriteString(id + ",") // a digest never fails
		out = append(out, retainer.Part{Key: digest.Sum64(), Tokens: n})
	}
	return out
}

// charge takes the request's units from the allotment of its workspace.
func (q *request) charge() bool {
	if q.workspace == nil || q.workspace.Rate <= 0 {
		return true
	}
	if q.checked = q.g.Placer.Checks(q.pool); q.checked {
		return true
	}
	q.g.mu.Lock()
	ok, retry := q.g.allots.Take(time.Now(), q.workspace.Name, q.units)
	level, peers := q.g.allots.Level(q.workspace.Name), q.g.allots.Peers()
	q.g.mu.Unlock()
	if !ok {
		klog.InfoS("gateway: allotment used up", "request", q.id, "workspace", q.workspace.Name, "units", q.units, "level", level,
			"rate", q.workspace.Rate, "burst", q.workspace.Burst, "peers", peers)
		q.refuse(http.StatusTooManyRequests, "allotment", retry)
	}
	return ok
}

// release gives the units back, since the request did not run.
func (q *request) release() {
	if q.workspace == nil || q.workspace.Rate <= 0 || q.checked {
		return
	}
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	q.g.allots.Return(time.Now(), q.workspace.Name, q.units)
}

// refuse answers a request with a failure of this system.
func (q *request) refuse(status int, reason string, retryAfter time.Duration) {
	countRequests.Add(reason, 1)
	rule := ""
	if q.rule != nil {
		rule = q.rule.Name
	}
	klog.InfoS("gateway: request refused", "request", q.id, "status", status, "reason", reason, "revision", q.revision, "rule", rule,
		"pool", q.pool, "workspace", q.workspaceName(), "tier", q.tier, "sends", q.sends, "may_have_run", q.ran, "retry_after", retryAfter,
		"units", q.units, "prompt", q.work.Prompt, "output", q.work.Output, "left", q.deadline.Sub(q.started), "after", time.Since(q.started))
	if q.streaming {
		// The head of a success is out; only a broken connection tells the caller that the answer is not whole.
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
		klog.V(1).Infof("gateway: refusal not delivered request=%s reason=%q", q.id, err)
	}
	q.refused = true
}

// sendRefusal sends an answer that was made before the body was read. The HTTP library then reads the rest of the body, which must
// not be taken for the head of the next request.
func (q *request) sendRefusal() {
	if err := http.NewResponseController(q.w).Flush(); err != nil {
		klog.V(1).Infof("gateway: refusal not delivered request=%s reason=%q", q.id, err)
	}
}

func (q *request) workspaceName() string {
	if q.workspace == nil {
		return ""
	}
	return q.workspace.Name
}

// forwardHeader builds the header for an endpoint.
func (q *request) forwardHeader(endpoint string) http.Header {
	names := q.g.Headers
	out := q.r.Header.Clone()
	for _, listed := range out["Connection"] {
		for name := range strings.SplitSeq(listed, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
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
		// A Connection header of the caller must not remove what the exchange depends on.
		out.Set(names.RequestID, q.id)
	}
	if q.workspace != nil {
		out.Set(names.Workspace, q.workspace.Name)
	}
	out.Set(names.Instance, endpoint)
	out.Set(names.Deadline, strconv.FormatInt(max(1, time.Until(q.deadline).Milliseconds()), 10))
	if q.lastEvent != "" {
		out.Set(names.LastEvent, q.lastEvent)
	}
	return out
}

// workContext ends with the deadline, and with the caller unless the request must not be broken off.
func (q *request) workContext() (context.Context, context.CancelFunc) {
	parent := q.r.Context()
	if q.rule.Kind == router.NonIdempotent {
		parent = context.WithoutCancel(parent)
	}
	return context.WithDeadline(parent, q.deadline)
}
