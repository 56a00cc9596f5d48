package administrator_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"github.com/dragonflycroft/dragonflycroft/internal/administrator"
	"github.com/dragonflycroft/dragonflycroft/internal/applier"
	"github.com/dragonflycroft/dragonflycroft/internal/controller/controllerpb"
	"github.com/dragonflycroft/dragonflycroft/internal/marshaller"
	"github.com/dragonflycroft/dragonflycroft/internal/submitter"
)

// fakeControl applies commands to a state machine directly, without a replicated log.
type fakeControl struct {
	stateMachine *applier.StateMachine
	mu           sync.Mutex
	voters       []string
	// beforePatch is called before each patch; it may be nil.
	beforePatch func()
}

func (l *fakeControl) Config(context.Context) (uint64, []byte, error) {
	version, document, _ := l.stateMachine.Config()
	return version, document, nil
}

func (l *fakeControl) PatchConfig(_ context.Context, p marshaller.Patch) (marshaller.PatchResult, error) {
	if l.beforePatch != nil {
		l.beforePatch()
	}
	raw, err := proto.Marshal(&controllerpb.Command{UnixMs: 1_700_000_000_000, Body: &controllerpb.Command_PatchConfig{
		PatchConfig: &controllerpb.PatchConfig{Id: p.ID, Base: p.Base, Body: p.Body, Author: p.Author},
	}})
	if err != nil {
		return marshaller.PatchResult{}, err
	}
	result := &controllerpb.Result{}
	if err := proto.Unmarshal(l.stateMachine.Apply(1, raw), result); err != nil {
		return marshaller.PatchResult{}, err
	}
	return marshaller.PatchResult{Version: result.GetNumber()}, marshaller.DecodeFailure(result.GetFailure())
}

func (l *fakeControl) History(_ context.Context, from uint64, limit int) ([]marshaller.Revision, error) {
	return l.stateMachine.History(from, limit), nil
}

func (l *fakeControl) Status(context.Context) (*controllerpb.Status, error) {
	return &controllerpb.Status{Leader: "h1", Members: []*controllerpb.MemberStatus{{Member: &controllerpb.Member{Host: "h1"}}}}, nil
}

func (l *fakeControl) ChangeVoters(_ context.Context, action, id, _ string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if id == "busy" {
		return &submitter.VoterError{Reason: "another change is in progress"}
	}
	l.voters = append(l.voters, action+" "+id)
	return nil
}

func digest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

const document = `{"tiers":[{"name":"snappy","order":0,"share":1}],"pools":[{"name":"p","kind":"service"}],
"endpoints":[{"name":"e1","pool":"p","address":"10.0.0.1:80","zone":"z"}]}`

// startAdministrator starts an administrator and returns a function that sends requests to it.
func startAdministrator(t *testing.T, ready func() error) (*fakeControl, func(method, path, body string, header ...string) (int, http.Header, string)) {
	t.Helper()
	control := &fakeControl{stateMachine: applier.New()}
	a := &administrator.Administrator{
		ListenAddr: "127.0.0.1:0", Control: control, Ready: ready,
		Operators: []administrator.Operator{{Name: "ana", TokenSHA256: digest("token-a")}, {Name: "ben", TokenSHA256: digest("token-b")}},
	}
	if err := a.Listen(); err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		if err := a.Run(context.Background()); err != nil {
			t.Error(err)
		}
	})
	client := &http.Client{Timeout: 10 * time.Second}
	send := func(method, path, body string, header ...string) (int, http.Header, string) {
		t.Helper()
		var resp *http.Response
		for range 100 {
			req, err := http.NewRequest(method, "http://"+a.Addr()+path, strings.NewReader(body))
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set("Authorization", "Bearer token-a")
			for i := 0; i < len(header); i += 2 {
				req.Header.Set(header[i], header[i+1])
			}
			if resp, err = client.Do(req); err == nil {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
		if resp == nil {
			t.Fatal("the administrator does not respond")
		}
		defer resp.Body.Close()
		out, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal(err)
		}
		return resp.StatusCode, resp.Header, string(out)
	}
	t.Cleanup(func() {
		client.CloseIdleConnections()
		if err := a.Close(); err != nil {
			t.Error(err)
		}
		wg.Wait()
	})
	return control, send
}

// Guards against access without an operator's token, and against a change that is recorded with another author than the operator.
func TestOperatorsAuthenticate(t *testing.T) {
	_, send := startAdministrator(t, nil)
	for _, value := range []string{"", "Bearer ", "Bearer wrong", "Basic token-a", "Bearer " + digest("token-a")} {
		for _, path := range []string{"GET /v1/config", "PATCH /v1/config", "GET /v1/config/history", "GET /v1/members", "POST /v1/members", "DELETE /v1/members/h1", "GET /v1/status", "POST /v1/drain/e1"} {
			method, path, _ := strings.Cut(path, " ")
			if code, _, _ := send(method, path, "", "Authorization", value); code != 401 {
				t.Errorf("%s %s with %q: status %d, want 401", method, path, value, code)
			}
		}
	}
	header := []string{"Authorization", "Bearer token-b", "If-Match", `"0"`, administrator.HeaderPatchID, "p1", "Content-Type", "application/merge-patch+json"}
	if code, _, body := send("PATCH", "/v1/config", document, header...); code != 200 {
		t.Fatalf("status %d: %s", code, body)
	}
	_, _, body := send("GET", "/v1/config/history", "")
	var history struct {
		Revisions []struct {
			Version uint64
			Author  string
			Time    time.Time
			Patch   json.RawMessage
		}
	}
	if err := json.Unmarshal([]byte(body), &history); err != nil {
		t.Fatal(err)
	}
	if len(history.Revisions) != 1 || history.Revisions[0].Author != "ben" || history.Revisions[0].Time.UnixMilli() != 1_700_000_000_000 {
		t.Errorf("history %s, want one revision by ben", body)
	}
}

// Guards against patches that are accepted without a version or an id, against a wrong status of a refusal, and against a patch
// that is applied twice when it is sent again.
func TestPatchStatus(t *testing.T) {
	_, send := startAdministrator(t, nil)
	const kind = "application/merge-patch+json"
	for _, c := range []struct {
		name, body, match, id, kind string
		want                        int
		contains                    string
	}{
		{"no version", document, "", "p1", kind, 428, "if_match"},
		{"not a version", document, "x", "p1", kind, 400, "if_match"},
		{"no id", document, `"0"`, "", kind, 400, "patch_id"},
		{"not JSON", document, `"0"`, "p1", "text/plain", 415, "content_type"},
		{"accepted", document, `"0"`, "p1", kind, 200, `"version":1`},
		{"sent again", document, `"0"`, "p1", kind, 200, `"version":1`},
		{"id used again", `{}`, `"1"`, "p1", kind, 409, "patch_id"},
		{"stale", `{"limits":{"max_waiting":1}}`, `"0"`, "p2", kind, 412, `"current":1`},
		{"stale sent again", `{"limits":{"max_waiting":1}}`, `"0"`, "p2", kind, 412, `"current":1`},
		{"invalid", `{"limits":{"max_waiting":-1,"x":1},"tiers":3}`, `"1"`, "p3", kind, 422, `{"path":"limits.x","message":"unknown field"}`},
		{"next", `{"limits":{"max_waiting":1}}`, `1`, "p4", "application/json; charset=utf-8", 200, `"version":2`},
	} {
		code, _, body := send("PATCH", "/v1/config", c.body, "If-Match", c.match, administrator.HeaderPatchID, c.id, "Content-Type", c.kind)
		if code != c.want || !strings.Contains(body, c.contains) {
			t.Errorf("%s: status %d %s, want %d with %s", c.name, code, body, c.want, c.contains)
		}
	}
	code, header, body := send("GET", "/v1/config", "")
	if code != 200 || header.Get("ETag") != `"2"` || !strings.Contains(body, `"max_waiting":1`) {
		t.Errorf("status %d ETag %s: %s", code, header.Get("ETag"), body)
	}
	if code, _, _ := send("PUT", "/v1/config", ""); code != 405 {
		t.Errorf("PUT: status %d, want 405", code)
	}
}

// Guards against a drain that is lost when a concurrent change makes its base version stale.
func TestDrain(t *testing.T) {
	control, send := startAdministrator(t, nil)
	ctx := context.Background()
	if _, err := control.PatchConfig(ctx, marshaller.Patch{ID: "first", Body: []byte(document)}); err != nil {
		t.Fatal(err)
	}
	patchCalls := 0
	control.beforePatch = func() {
		if patchCalls++; patchCalls == 1 {
			control.beforePatch = nil
			_, err := control.PatchConfig(ctx, marshaller.Patch{ID: "other", Base: 1, Body: []byte(`{"limits":{"max_waiting":4}}`)})
			if err != nil {
				t.Error(err)
			}
		}
	}
	if code, _, body := send("POST", "/v1/drain/e1", ""); code != 200 || !strings.Contains(body, `"version":3`) {
		t.Fatalf("status %d: %s, want version 3", code, body)
	}
	_, _, cfg := control.stateMachine.Config()
	if !cfg.Endpoints[0].Drain || cfg.Limits.MaxWaiting != 4 {
		t.Errorf("drain %t, max_waiting %d; want both changes", cfg.Endpoints[0].Drain, cfg.Limits.MaxWaiting)
	}
	if code, _, body := send("POST", "/v1/drain/e1", ""); code != 200 || !strings.Contains(body, `"version":3`) {
		t.Errorf("drained again: status %d: %s, want version 3", code, body)
	}
	if code, _, body := send("POST", "/v1/drain/e1", `{"drain":false}`); code != 200 || !strings.Contains(body, `"version":4`) {
		t.Errorf("drain ended: status %d: %s, want version 4", code, body)
	}
	if code, _, _ := send("POST", "/v1/drain/e2", ""); code != 404 {
		t.Errorf("unknown endpoint: status %d, want 404", code)
	}
}

// Guards against member changes that are not forwarded to the control leader, health checks that require a token, and metrics
// that contain the command line.
func TestMembersAndHealth(t *testing.T) {
	var mu sync.Mutex
	var notReady error
	control, send := startAdministrator(t, func() error { mu.Lock(); defer mu.Unlock(); return notReady })
	for _, c := range []struct {
		request, body string
		want          int
	}{
		{"POST /v1/members", `{"id":"h4","addr":"10.0.0.4:1"}`, 200},
		{"POST /v1/members", `{"id":"h4","action":"promote"}`, 200},
		{"POST /v1/members", `{"id":"h4"}`, 400},
		{"POST /v1/members", `{"id":"h4","action":"remove"}`, 400},
		{"POST /v1/members", `{"id":"busy","addr":"10.0.0.4:1"}`, 409},
		{"DELETE /v1/members/h2", "", 200},
		{"GET /v1/members", "", 200},
		{"GET /v1/status", "", 200},
	} {
		method, path, _ := strings.Cut(c.request, " ")
		if code, _, body := send(method, path, c.body); code != c.want {
			t.Errorf("%s %s: status %d %s, want %d", c.request, c.body, code, body, c.want)
		}
	}
	if diff := cmp.Diff([]string{"add h4", "promote h4", "remove h2"}, control.voters); diff != "" {
		t.Errorf("changes (-want +got):\n%s", diff)
	}
	mu.Lock()
	notReady = errors.New("no confirmed configuration")
	mu.Unlock()
	for path, want := range map[string]int{"/healthz": 200, "/readyz": 503, "/debug/vars": 200} {
		code, _, body := send("GET", path, "", "Authorization", "")
		if code != want || strings.Contains(body, "cmdline") {
			t.Errorf("%s: status %d, want %d: %s", path, code, want, body)
		}
		if path == "/debug/vars" && !json.Valid([]byte(body)) {
			t.Errorf("metrics are not JSON: %s", body)
		}
	}
}

// Guards against operators with an invalid digest, who could never authenticate, and against empty or duplicate names.
func TestBadOperators(t *testing.T) {
	for _, operators := range [][]administrator.Operator{
		{{Name: "a", TokenSHA256: "00"}},
		{{Name: "", TokenSHA256: digest("x")}},
		{{Name: "a", TokenSHA256: digest("x")}, {Name: "a", TokenSHA256: digest("y")}},
	} {
		a := &administrator.Administrator{ListenAddr: "127.0.0.1:0", Operators: operators}
		if err := a.Listen(); err == nil {
			t.Errorf("operators %s were accepted", fmt.Sprint(operators))
			_ = a.Close()
		}
	}
}
