package administrator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"mime"
	"strconv"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"
	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/marshaller"
	"github.com/dragonflycroft/dragonflycroft/internal/submitter"
)

// HeaderPatchID is the header with the id of a patch. A patch that is sent again with the same id returns the first result.
const HeaderPatchID = "X-Dragonflycroft-Patch-Id"

const (
	defaultHistoryLimit = 100
	// drainAttempts bounds the attempts to write a drain, each against the current version, when concurrent changes conflict.
	drainAttempts = 8
)

// errorBody is the error in the response to a failed request.
type errorBody struct {
	Reason   string               `json:"reason"`
	Message  string               `json:"message"`
	Base     *uint64              `json:"base,omitempty"`
	Current  *uint64              `json:"current,omitempty"`
	Problems []configurer.Problem `json:"problems,omitempty"`
}

func writeError(c *app.RequestContext, status int, reason, message string, add func(*errorBody)) {
	p := &errorBody{Reason: reason, Message: message}
	if add != nil {
		add(p)
	}
	c.JSON(status, map[string]*errorBody{"error": p})
}

// writeControlError responds with the status for an error of Control.
func writeControlError(c *app.RequestContext, err error) {
	var (
		stale       *marshaller.StaleVersionError
		id          *marshaller.PatchIDError
		invalid     *configurer.InvalidError
		voter       *submitter.VoterError
		unavailable *submitter.UnavailableError
	)
	switch {
	case errors.As(err, &stale):
		c.Header("ETag", etag(stale.Current))
		writeError(c, 412, "stale_version", err.Error(), func(p *errorBody) { p.Base, p.Current = &stale.Base, &stale.Current })
	case errors.As(err, &id):
		writeError(c, 409, "patch_id", err.Error(), nil)
	case errors.As(err, &invalid):
		writeError(c, 422, "invalid", "the configuration would be invalid", func(p *errorBody) { p.Problems = invalid.Problems })
	case errors.As(err, &voter):
		writeError(c, 409, "voters", err.Error(), nil)
	case errors.As(err, &unavailable):
		c.Header("Retry-After", "1")
		writeError(c, 503, "unavailable", err.Error()+"; send the change again with the same patch id", nil)
	default:
		writeError(c, 500, "internal", err.Error(), nil)
	}
}

func etag(version uint64) string { return strconv.Quote(strconv.FormatUint(version, 10)) }

func operatorName(c *app.RequestContext) string { return c.GetString(operatorKey) }

func (a *Administrator) getConfig(ctx context.Context, c *app.RequestContext) {
	version, document, err := a.Control.Config(ctx)
	if err != nil {
		writeControlError(c, err)
		return
	}
	if len(document) == 0 {
		document = []byte("{}")
	}
	c.Header("ETag", etag(version))
	c.Data(200, "application/json; charset=utf-8", document)
}

func (a *Administrator) patchConfig(ctx context.Context, c *app.RequestContext) {
	kind, _, err := mime.ParseMediaType(string(c.ContentType()))
	if err != nil || (kind != "application/merge-patch+json" && kind != "application/json") {
		writeError(c, 415, "content_type", "send application/merge-patch+json", nil)
		return
	}
	match := string(c.GetHeader("If-Match"))
	if match == "" {
		writeError(c, 428, "if_match", "If-Match with the version that the patch was written against is required", nil)
		return
	}
	base, err := strconv.ParseUint(strings.Trim(match, `"`), 10, 64)
	if err != nil {
		writeError(c, 400, "if_match", fmt.Sprintf("If-Match %s is not a version", match), nil)
		return
	}
	id := string(c.GetHeader(HeaderPatchID))
	if id == "" {
		writeError(c, 400, "patch_id", HeaderPatchID+" is required", nil)
		return
	}
	p := marshaller.Patch{ID: id, Base: base, Body: append([]byte(nil), c.Request.Body()...), Author: operatorName(c)}
	result, err := a.Control.PatchConfig(ctx, p)
	writePatchResult(c, p, result, err)
}

// writePatchResult responds with the result of a patch.
func writePatchResult(c *app.RequestContext, p marshaller.Patch, result marshaller.PatchResult, err error) {
	if err != nil {
		klog.Warningf("administrator: patch refused id=%s author=%s base=%d reason=%q", p.ID, p.Author, p.Base, err)
		writeControlError(c, err)
		return
	}
	klog.Infof("administrator: patch accepted id=%s author=%s base=%d version=%d", p.ID, p.Author, p.Base, result.Version)
	c.Header("ETag", etag(result.Version))
	c.JSON(200, map[string]uint64{"version": result.Version})
}

func (a *Administrator) getHistory(ctx context.Context, c *app.RequestContext) {
	from, err := strconv.ParseUint(c.DefaultQuery("from", "0"), 10, 64)
	if err != nil {
		writeError(c, 400, "from", "from must be a version", nil)
		return
	}
	limit, err := strconv.Atoi(c.DefaultQuery("limit", strconv.Itoa(defaultHistoryLimit)))
	if err != nil || limit < 1 || limit > 1000 {
		writeError(c, 400, "limit", "limit must be from 1 to 1000", nil)
		return
	}
	revisions, err := a.Control.History(ctx, from, limit)
	if err != nil {
		writeControlError(c, err)
		return
	}
	type revision struct {
		marshaller.Revision
		Patch json.RawMessage `json:"patch"`
	}
	out := make([]revision, 0, len(revisions))
	for _, r := range revisions {
		out = append(out, revision{Revision: r, Patch: r.Patch})
	}
	c.JSON(200, map[string]any{"revisions": out})
}

// member is the JSON form of a member.
type member struct {
	Host          string `json:"host"`
	Incarnation   uint64 `json:"incarnation"`
	Zone          string `json:"zone"`
	Addr          string `json:"addr"`
	CallersAddr   string `json:"callers_addr,omitempty"`
	Control       bool   `json:"control"`
	State         string `json:"state"`
	ConfigVersion uint64 `json:"config_version"`
	SilentMS      int64  `json:"silent_ms"`
	Draining      bool   `json:"draining"`
}

// role is the JSON form of a role and its holder.
type role struct {
	Role  string `json:"role"`
	Host  string `json:"host"`
	Epoch uint64 `json:"epoch"`
}

// status is the JSON form of the status of the system.
type status struct {
	Leader        string   `json:"leader"`
	Term          uint64   `json:"term"`
	ConfigVersion uint64   `json:"config_version"`
	ClosedBelow   int64    `json:"closed_below"`
	Orders        int64    `json:"orders"`
	OrderBytes    int64    `json:"order_bytes"`
	Members       []member `json:"members"`
	Roles         []role   `json:"roles"`
}

func (a *Administrator) fetchStatus(ctx context.Context, c *app.RequestContext) (*status, bool) {
	s, err := a.Control.Status(ctx)
	if err != nil {
		writeControlError(c, err)
		return nil, false
	}
	out := &status{
		Leader: s.GetLeader(), Term: s.GetTerm(), ConfigVersion: s.GetConfigVersion(), ClosedBelow: s.GetClosedBelow(),
		Orders: s.GetOrders(), OrderBytes: s.GetOrderBytes(), Members: []member{}, Roles: []role{},
	}
	for _, m := range s.GetMembers() {
		p := m.GetMember()
		out.Members = append(out.Members, member{
			Host: p.GetHost(), Incarnation: p.GetIncarnation(), Zone: p.GetZone(), Addr: p.GetAddr(), CallersAddr: p.GetCallersAddr(),
			Control: p.GetControl(), State: m.GetState(), ConfigVersion: m.GetConfigVersion(), SilentMS: m.GetSilentMs(),
			Draining: m.GetDraining(),
		})
	}
	for _, r := range s.GetRoles() {
		out.Roles = append(out.Roles, role{Role: r.GetName(), Host: r.GetHost(), Epoch: r.GetEpoch()})
	}
	return out, true
}

func (a *Administrator) getStatus(ctx context.Context, c *app.RequestContext) {
	if s, ok := a.fetchStatus(ctx, c); ok {
		c.JSON(200, s)
	}
}

func (a *Administrator) getMembers(ctx context.Context, c *app.RequestContext) {
	if s, ok := a.fetchStatus(ctx, c); ok {
		c.JSON(200, map[string]any{"members": s.Members})
	}
}

func (a *Administrator) postMember(ctx context.Context, c *app.RequestContext) {
	var body struct{ Action, ID, Addr string }
	dec := json.NewDecoder(strings.NewReader(string(c.Request.Body())))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&body); err != nil {
		writeError(c, 400, "body", fmt.Sprintf(`send {"action","id","addr"}: %v`, err), nil)
		return
	}
	if body.Action == "" {
		body.Action = "add"
	}
	switch {
	case body.Action != "add" && body.Action != "promote":
		writeError(c, 400, "action", `action must be "add" or "promote"`, nil)
	case body.ID == "" || (body.Action == "add" && body.Addr == ""):
		writeError(c, 400, "body", "id is required, and addr to add a learner", nil)
	default:
		a.changeVoters(ctx, c, body.Action, body.ID, body.Addr)
	}
}

func (a *Administrator) deleteMember(ctx context.Context, c *app.RequestContext) {
	a.changeVoters(ctx, c, "remove", strings.Clone(c.Param("id")), "")
}

func (a *Administrator) changeVoters(ctx context.Context, c *app.RequestContext, action, id, addr string) {
	if err := a.Control.ChangeVoters(ctx, action, id, addr); err != nil {
		klog.Warningf("administrator: voter change refused action=%s id=%s author=%s reason=%q", action, id, operatorName(c), err)
		writeControlError(c, err)
		return
	}
	klog.Infof("administrator: voters changed action=%s id=%s author=%s", action, id, operatorName(c))
	c.JSON(200, map[string]string{"action": action, "id": id})
}

// postDrain sets the drain flag of an endpoint, or clears it with the body {"drain":false}. When a concurrent change makes its
// base version stale, it writes the patch again against the newer version.
func (a *Administrator) postDrain(ctx context.Context, c *app.RequestContext) {
	name := strings.Clone(c.Param("endpoint"))
	body := struct{ Drain *bool }{}
	if raw := c.Request.Body(); len(raw) > 0 {
		if err := json.Unmarshal(raw, &body); err != nil {
			writeError(c, 400, "body", `send nothing or {"drain":false}`, nil)
			return
		}
	}
	drain := body.Drain == nil || *body.Drain
	var stale *marshaller.StaleVersionError
	for range drainAttempts {
		version, document, err := a.Control.Config(ctx)
		if err != nil {
			writeControlError(c, err)
			return
		}
		patch, found, err := drainPatch(document, name, drain)
		switch {
		case err != nil:
			writeControlError(c, err)
			return
		case !found:
			writeError(c, 404, "endpoint", fmt.Sprintf("endpoint %q does not exist", name), nil)
			return
		case patch == nil:
			c.JSON(200, map[string]uint64{"version": version})
			return
		}
		p := marshaller.Patch{ID: fmt.Sprintf("drain-%016x", rand.Uint64()), Base: version, Body: patch, Author: operatorName(c)}
		result, err := a.Control.PatchConfig(ctx, p)
		if errors.As(err, &stale) {
			continue
		}
		writePatchResult(c, p, result, err)
		return
	}
	writeControlError(c, stale)
}

// drainPatch returns the patch that sets the drain flag of an endpoint to drain, or nil when the flag has that value already.
func drainPatch(document []byte, name string, drain bool) (patch []byte, found bool, err error) {
	if len(document) == 0 {
		return nil, false, nil
	}
	cfg, err := configurer.Decode(document)
	if err != nil {
		return nil, false, err
	}
	for i := range cfg.Endpoints {
		e := &cfg.Endpoints[i]
		if e.Name != name {
			continue
		}
		if e.Drain == drain {
			return nil, true, nil
		}
		e.Drain = drain
		patch, err = json.Marshal(map[string]any{"endpoints": cfg.Endpoints})
		return patch, true, err
	}
	return nil, false, nil
}
