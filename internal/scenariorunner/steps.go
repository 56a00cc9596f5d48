package scenariorunner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/connector"
)

func (r *Runner) eachHost(s Step, f func(h *host) error) error {
	if len(s.Args) == 0 {
		return errors.New("a host is missing")
	}
	for _, name := range s.Args {
		h, err := r.cluster.host(name)
		if err != nil {
			return err
		}
		if err := f(h); err != nil {
			return err
		}
	}
	return nil
}

// stepKill kills the named hosts, or with holder=ROLE the one that holds a role.
func (r *Runner) stepKill(ctx context.Context, s Step) error {
	return r.eachHolder(ctx, s, (*host).kill)
}

// eachHolder is eachHost with the holder of the role that the step names, if any.
func (r *Runner) eachHolder(ctx context.Context, s Step, f func(h *host) error) error {
	if role := s.text("holder", ""); role != "" {
		name, err := r.holderOf(ctx, role)
		if err != nil {
			return err
		}
		s.Args = append(s.Args, name)
	}
	return r.eachHost(s, f)
}

// holderOf asks the hosts in turn who holds a role.
func (r *Runner) holderOf(ctx context.Context, role string) (string, error) {
	for _, h := range r.cluster.hosts {
		if !h.running() {
			continue
		}
		service := connector.NewService(h.id, h.operator, connector.Timeouts{
			Connect: time.Second, FirstByte: 2 * time.Second, Gap: 2 * time.Second,
		})
		response, err := service.Do(ctx, connector.Call{
			Method: http.MethodGet, Path: "/v1/status", Header: map[string]string{"Authorization": "Bearer " + operatorToken},
		}, func() {})
		if err != nil {
			continue
		}
		var status struct {
			Roles []struct{ Role, Host string } `json:"roles"`
		}
		if err := json.Unmarshal(response.Body, &status); err != nil {
			return "", err
		}
		for _, held := range status.Roles {
			if held.Role == role && held.Host != "" {
				return held.Host, nil
			}
		}
	}
	return "", fmt.Errorf("no host holds %s", role)
}

func (r *Runner) stepStart(ctx context.Context, s Step) error {
	return r.eachHost(s, func(h *host) error {
		if err := r.cluster.start(h); err != nil {
			return err
		}
		// A restarted process has to confirm a version before it acts on one.
		delete(r.versions, h.id)
		if s.text("wait", "yes") == "no" {
			return nil
		}
		return r.cluster.waitReady(ctx, h)
	})
}

// stepStop asks a host to stop as planned and checks that it cut off nothing.
func (r *Runner) stepStop(ctx context.Context, s Step) error {
	return r.eachHolder(ctx, s, func(h *host) error {
		h.stopping = true
		if err := h.signal(syscall.SIGTERM); err != nil {
			return err
		}
		<-h.exited
		if h.exitErr != nil {
			r.cutOff++
			r.Logf("%s: planned stop ended with %v", h.id, h.exitErr)
		}
		return nil
	})
}

func (r *Runner) stepPause(_ context.Context, s Step) error {
	return r.eachHost(s, func(h *host) error { return h.signal(syscall.SIGSTOP) })
}

func (r *Runner) stepResume(_ context.Context, s Step) error {
	return r.eachHost(s, func(h *host) error { return h.signal(syscall.SIGCONT) })
}

// stepCut isolates hosts from all other hosts by dropping bytes in both directions without closing connections.
func (r *Runner) stepCut(_ context.Context, s Step) error {
	return r.eachHost(s, func(h *host) error {
		h.relay.block("*")
		for _, other := range r.cluster.hosts {
			if other != h {
				other.relay.block(h.ip)
			}
		}
		return nil
	})
}

func (r *Runner) stepHeal(_ context.Context, s Step) error {
	return r.eachHost(s, func(h *host) error {
		h.relay.unblock("*")
		for _, other := range r.cluster.hosts {
			other.relay.unblock(h.ip)
		}
		return nil
	})
}

// stepMute makes all open connections between the hosts silent for good.
func (r *Runner) stepMute(_ context.Context, _ Step) error {
	for _, h := range r.cluster.hosts {
		h.relay.muteOpen()
	}
	return nil
}

// stepWipe deletes the data folder of a host that does not run.
func (r *Runner) stepWipe(_ context.Context, s Step) error {
	return r.eachHost(s, func(h *host) error {
		if h.running() {
			return fmt.Errorf("%s is running", h.id)
		}
		return os.RemoveAll(h.dataDir)
	})
}

// stepJoin starts a new control host, adds it as a learner in place of a lost one, and promotes it.
func (r *Runner) stepJoin(ctx context.Context, s Step) error {
	h, err := r.cluster.newHost(len(r.cluster.hosts), true, false)
	if err != nil {
		return err
	}
	r.cluster.hosts = append(r.cluster.hosts, h)
	if err := r.cluster.start(h); err != nil {
		return err
	}
	via, err := r.cluster.host(s.text("via", "host-1"))
	if err != nil {
		return err
	}
	body, _ := json.Marshal(map[string]string{"action": "add", "id": h.id, "addr": h.peerAdvertised})
	if err := r.operator(ctx, via, http.MethodPost, "/v1/members", body); err != nil {
		return err
	}
	if lost := s.text("replaces", ""); lost != "" {
		if err := r.operator(ctx, via, http.MethodDelete, "/v1/members/"+lost, nil); err != nil {
			return err
		}
	}
	body, _ = json.Marshal(map[string]string{"action": "promote", "id": h.id})
	if err := r.operator(ctx, via, http.MethodPost, "/v1/members", body); err != nil {
		return err
	}
	return r.cluster.waitReady(ctx, h)
}

// operator repeats an operator's call until it succeeds; a learner that is not caught up is refused at first.
func (r *Runner) operator(ctx context.Context, h *host, method, path string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	service := connector.NewService(h.id, h.operator, connector.Timeouts{
		Connect: time.Second, FirstByte: 10 * time.Second, Gap: 10 * time.Second,
	})
	for {
		response, err := service.Do(ctx, connector.Call{
			Method: method, Path: path, Body: body,
			Header: map[string]string{"Authorization": "Bearer " + operatorToken, "Content-Type": "application/json"},
		}, func() {})
		if err == nil && response.Status/100 == 2 {
			return nil
		}
		if err == nil {
			err = fmt.Errorf("status %d: %s", response.Status, response.Body)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s %s: %w", method, path, err)
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// currentVersion is the highest version that any host acts on.
func (r *Runner) currentVersion(ctx context.Context) uint64 {
	var highest uint64
	for _, h := range r.cluster.hosts {
		if h.running() {
			if v, err := r.cluster.version(ctx, h); err == nil {
				highest = max(highest, v)
			}
		}
	}
	return highest
}

// stepPatch sends n patches one after the other, or one patch twice with resend=yes.
func (r *Runner) stepPatch(ctx context.Context, s Step) error {
	n, err := s.number("n", 1)
	if err != nil {
		return err
	}
	hosts, err := r.cluster.selectHosts(s.text("hosts", "all"))
	if err != nil {
		return err
	}
	base := r.currentVersion(ctx)
	for i := range n {
		id := fmt.Sprintf("%s-%d", s.text("id", "patch"), i)
		body := fmt.Appendf(nil, `{"limits":{"max_waiting":%d}}`, 40000+i)
		version, err := r.patchUntilAnswered(ctx, hosts, i, id, base, body)
		if err != nil {
			return err
		}
		if s.text("resend", "no") == "yes" {
			again, err := r.patchUntilAnswered(ctx, hosts, i+1, id, base, body)
			if err != nil {
				return err
			}
			if again != version {
				return fmt.Errorf("patch %s sent again: version %d, first version %d", id, again, version)
			}
		}
		base = version
	}
	return nil
}

// patchUntilAnswered sends a patch again under its id, each time to another host, until one of them answers.
func (r *Runner) patchUntilAnswered(ctx context.Context, hosts []*host, first int, id string, base uint64, body []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for attempt := 0; ; attempt++ {
		h := hosts[(first+attempt)%len(hosts)]
		response, err := r.cluster.patch(ctx, h, id, base, body)
		if err == nil && response.Status == http.StatusOK {
			var answer struct {
				Version uint64 `json:"version"`
			}
			return answer.Version, json.Unmarshal(response.Body, &answer)
		}
		if err == nil && response.Status < http.StatusInternalServerError {
			return 0, fmt.Errorf("patch %s refused: status %d: %s", id, response.Status, response.Body)
		}
		select {
		case <-ctx.Done():
			return 0, errors.Join(ctx.Err(), err)
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// stepRace sends different patches under the same version number to all hosts at once; exactly one must be accepted.
func (r *Runner) stepRace(ctx context.Context, s Step) error {
	base := r.currentVersion(ctx)
	hosts, err := r.cluster.selectHosts(s.text("hosts", "all"))
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	statuses := make([]int, len(hosts))
	for i, h := range hosts {
		wg.Go(func() {
			body := fmt.Appendf(nil, `{"limits":{"max_waiting":%d}}`, 30000+i)
			response, err := r.cluster.patch(ctx, h, fmt.Sprintf("%s-%d", s.text("id", "race"), i), base, body)
			if err == nil {
				statuses[i] = response.Status
			}
		})
	}
	wg.Wait()
	accepted := 0
	for _, status := range statuses {
		switch status {
		case http.StatusOK:
			accepted++
		case http.StatusConflict, http.StatusPreconditionFailed:
		default:
			return fmt.Errorf("racing patches: statuses %v", statuses)
		}
	}
	if accepted != 1 {
		return fmt.Errorf("racing patches: %d accepted, want 1 (statuses %v)", accepted, statuses)
	}
	return nil
}

// stepVersion waits until every running host acts on the highest version.
func (r *Runner) stepVersion(ctx context.Context, _ Step) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	want := r.currentVersion(ctx)
	for _, h := range r.cluster.hosts {
		for h.running() {
			v, err := r.cluster.version(ctx, h)
			if err == nil && v >= want {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("%s acts on version %d, want %d: %w", h.id, v, want, ctx.Err())
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// stepEngine changes a stand-in engine: crash, slow FACTOR, silent, normal, mute or reset.
func (r *Runner) stepEngine(_ context.Context, s Step) error {
	if len(s.Args) < 2 {
		return errors.New("usage: engine NAME crash|slow|silent|normal|mute|reset")
	}
	for name, engine := range r.cluster.engines {
		if s.Args[0] != "all" && s.Args[0] != name {
			continue
		}
		switch s.Args[1] {
		case "crash":
			engine.Crash()
		case "slow":
			factor, err := strconv.ParseFloat(s.text("factor", "0.25"), 64)
			if err != nil {
				return err
			}
			engine.SetSpeed(factor)
		case "silent":
			engine.SetSilent(true)
		case "normal":
			engine.SetSilent(false)
			engine.SetSpeed(1)
		case "mute":
			engine.MuteOpen()
		case "reset":
			engine.ResetOpen()
		default:
			return fmt.Errorf("unknown engine action %q", s.Args[1])
		}
	}
	return nil
}

// stepLeave marks endpoints as leaving in the platform's list.
func (r *Runner) stepLeave(_ context.Context, s Step) error {
	for _, name := range s.Args {
		r.cluster.list.Set(name, "leaving")
		r.leaving[name] = leavingMark{since: time.Now()}
	}
	return nil
}

// stepExpect checks a count of outcomes of one load: expect LOAD done=20 min_done=10 max_crashes=2.
func (r *Runner) stepExpect(_ context.Context, s Step) error {
	if len(s.Args) == 0 {
		return errors.New("a load is missing")
	}
	l, ok := r.loads[s.Args[0]]
	if !ok {
		return fmt.Errorf("unknown load %q", s.Args[0])
	}
	l.wg.Wait()
	counts := make(map[string]int)
	l.mu.Lock()
	for _, res := range l.results {
		counts[res.outcome]++
		if res.err != nil {
			counts["connection_error"]++
			counts["last: "+res.err.Error()]++
		}
		if res.reason != "" {
			counts[res.outcome+"/"+res.reason]++
		}
	}
	l.mu.Unlock()
	crashes := 0
	for _, e := range r.cluster.engines {
		crashes += e.Crashes()
	}
	counts["crashes"] = crashes
	for key, value := range s.Options {
		want, err := strconv.Atoi(value)
		if err != nil {
			return err
		}
		if err := compare(key, want, counts); err != nil {
			return err
		}
	}
	return nil
}

func compare(key string, want int, counts map[string]int) error {
	name, bound := key, ""
	if len(key) > 4 && (key[:4] == "min_" || key[:4] == "max_") {
		bound, name = key[:3], key[4:]
	}
	got := counts[name]
	if bound == "" && got != want || bound == "min" && got < want || bound == "max" && got > want {
		return fmt.Errorf("%s is %d, want %s %d; all counts: %v", name, got, bound, want, counts)
	}
	return nil
}
