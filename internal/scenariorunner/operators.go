package scenariorunner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/connector"
	"github.com/dragonflycroft/dragonflycroft/internal/launcher"
)

// stepJoin starts a new control host, adds it as a learner, removes the lost host in replaces=HOST if given, and promotes the
// new host to voter.
func (r *Runner) stepJoin(ctx context.Context, s Step) error {
	h, err := r.cluster.NewHost(len(r.cluster.Hosts), true, false)
	if err != nil {
		return err
	}
	r.cluster.Hosts = append(r.cluster.Hosts, h)
	if err := r.cluster.Start(h); err != nil {
		return err
	}
	via, err := r.cluster.Host(s.stringOption("via", "host-1"))
	if err != nil {
		return err
	}
	body, _ := json.Marshal(map[string]string{"action": "add", "id": h.ID, "addr": h.PeerAddr})
	if err := r.callOperator(ctx, via, http.MethodPost, "/v1/members", body); err != nil {
		return err
	}
	if lost := s.stringOption("replaces", ""); lost != "" {
		if err := r.callOperator(ctx, via, http.MethodDelete, "/v1/members/"+lost, nil); err != nil {
			return err
		}
	}
	body, _ = json.Marshal(map[string]string{"action": "promote", "id": h.ID})
	if err := r.callOperator(ctx, via, http.MethodPost, "/v1/members", body); err != nil {
		return err
	}
	return r.cluster.WaitReady(ctx, h)
}

// callOperator repeats a call to the operator interface until it succeeds or ReadyTimeout passes. The promotion of a learner is
// rejected until the learner has caught up with the log.
func (r *Runner) callOperator(ctx context.Context, h *launcher.Host, method, path string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, launcher.ReadyTimeout)
	defer cancel()
	service := connector.NewService(h.ID, h.OperatorAddr, connector.Timeouts{
		Connect: time.Second, FirstByte: 10 * time.Second, Gap: 10 * time.Second,
	})
	for {
		response, err := service.Do(ctx, connector.Call{
			Method: method, Path: path, Body: body,
			Header: map[string]string{"Authorization": "Bearer " + launcher.OperatorToken, "Content-Type": "application/json"},
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

// currentVersion returns the highest configuration version that is in force on any running host.
func (r *Runner) currentVersion(ctx context.Context) uint64 {
	var highest uint64
	for _, h := range r.cluster.Hosts {
		if h.Running() {
			if v, err := r.cluster.Version(ctx, h); err == nil {
				highest = max(highest, v)
			}
		}
	}
	return highest
}

// stepPatch submits n patches one after the other, with resend=yes each of them twice; the second time must return the same
// version.
func (r *Runner) stepPatch(ctx context.Context, s Step) error {
	n, err := s.intOption("n", 1)
	if err != nil {
		return err
	}
	hosts, err := r.cluster.SelectHosts(s.stringOption("hosts", "all"))
	if err != nil {
		return err
	}
	base := r.currentVersion(ctx)
	for i := range n {
		id := fmt.Sprintf("%s-%d", s.stringOption("id", "patch"), i)
		body := fmt.Appendf(nil, `{"limits":{"max_waiting":%d}}`, 40000+i)
		version, err := r.patchUntilAnswered(ctx, hosts, i, id, base, body)
		if err != nil {
			return err
		}
		if s.stringOption("resend", "no") == "yes" {
			again, err := r.patchUntilAnswered(ctx, hosts, i+1, id, base, body)
			if err != nil {
				return err
			}
			if again != version {
				return fmt.Errorf("patch %s was resent: got version %d, want %d as the first time", id, again, version)
			}
		}
		base = version
	}
	return nil
}

// patchUntilAnswered submits a patch under the same id to one host after the other until one of them accepts or rejects it, and
// returns the new version.
func (r *Runner) patchUntilAnswered(ctx context.Context, hosts []*launcher.Host, first int, id string, base uint64, body []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, launcher.ReadyTimeout)
	defer cancel()
	for attempt := 0; ; attempt++ {
		h := hosts[(first+attempt)%len(hosts)]
		response, err := r.cluster.Patch(ctx, h, id, base, body)
		if err == nil && response.Status == http.StatusOK {
			var answer struct {
				Version uint64 `json:"version"`
			}
			return answer.Version, json.Unmarshal(response.Body, &answer)
		}
		if err == nil && response.Status < http.StatusInternalServerError {
			return 0, fmt.Errorf("patch %s was rejected: status %d: %s", id, response.Status, response.Body)
		}
		select {
		case <-ctx.Done():
			return 0, errors.Join(ctx.Err(), err)
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// stepRace submits different patches with the same base version to all hosts concurrently; exactly one must be accepted.
func (r *Runner) stepRace(ctx context.Context, s Step) error {
	base := r.currentVersion(ctx)
	hosts, err := r.cluster.SelectHosts(s.stringOption("hosts", "all"))
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	statuses := make([]int, len(hosts))
	for i, h := range hosts {
		wg.Go(func() {
			body := fmt.Appendf(nil, `{"limits":{"max_waiting":%d}}`, 30000+i)
			response, err := r.cluster.Patch(ctx, h, fmt.Sprintf("%s-%d", s.stringOption("id", "race"), i), base, body)
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
			return fmt.Errorf("concurrent patches: unexpected status in %v", statuses)
		}
	}
	if accepted != 1 {
		return fmt.Errorf("concurrent patches: %d accepted, want 1 (statuses %v)", accepted, statuses)
	}
	return nil
}

// stepVersion waits until the highest version is in force on every running host.
func (r *Runner) stepVersion(ctx context.Context, _ Step) error {
	ctx, cancel := context.WithTimeout(ctx, launcher.ReadyTimeout)
	defer cancel()
	want := r.currentVersion(ctx)
	for _, h := range r.cluster.Hosts {
		for h.Running() {
			v, err := r.cluster.Version(ctx, h)
			if err == nil && v >= want {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("%s has version %d in force, want %d: %w", h.ID, v, want, ctx.Err())
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}
