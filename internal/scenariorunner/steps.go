package scenariorunner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/connector"
	"github.com/dragonflycroft/dragonflycroft/internal/launcher"
)

func (r *Runner) forHosts(s Step, f func(h *launcher.Host) error) error {
	if len(s.Args) == 0 {
		return errors.New("missing host argument")
	}
	for _, name := range s.Args {
		h, err := r.cluster.Host(name)
		if err != nil {
			return err
		}
		if err := f(h); err != nil {
			return err
		}
	}
	return nil
}

// stepKill kills the named hosts, and with holder=ROLE also the holder of a role.
func (r *Runner) stepKill(ctx context.Context, s Step) error {
	return r.forHostsOrHolder(ctx, s, (*launcher.Host).Kill)
}

// forHostsOrHolder calls f for each named host, and for the holder of the role in holder=ROLE if given.
func (r *Runner) forHostsOrHolder(ctx context.Context, s Step, f func(h *launcher.Host) error) error {
	if role := s.stringOption("holder", ""); role != "" {
		name, err := r.findHolder(ctx, role)
		if err != nil {
			return err
		}
		s.Args = append(s.Args, name)
	}
	return r.forHosts(s, f)
}

// findHolder queries the status of one host after the other until one reports the holder of the role, and returns its host id.
func (r *Runner) findHolder(ctx context.Context, role string) (string, error) {
	for _, h := range r.cluster.Hosts {
		if !h.Running() {
			continue
		}
		service := connector.NewService(h.ID, h.OperatorAddr, connector.Timeouts{
			Connect: time.Second, FirstByte: 2 * time.Second, Gap: 2 * time.Second,
		})
		response, err := service.Do(ctx, connector.Call{
			Method: http.MethodGet, Path: "/v1/status", Header: map[string]string{"Authorization": "Bearer " + launcher.OperatorToken},
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
	return r.forHosts(s, func(h *launcher.Host) error {
		if err := r.cluster.Start(h); err != nil {
			return err
		}
		// A restarted process has no version in force until it has confirmed one.
		delete(r.versions, h.ID)
		if s.stringOption("wait", "yes") == "no" {
			return nil
		}
		return r.cluster.WaitReady(ctx, h)
	})
}

// stepStop requests a graceful stop with SIGTERM and counts a stop whose exit status is not 0, which reports requests that were
// cut off.
func (r *Runner) stepStop(ctx context.Context, s Step) error {
	return r.forHostsOrHolder(ctx, s, func(h *launcher.Host) error {
		h.Stopping = true
		if err := h.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		if err := h.Wait(); err != nil {
			r.stopFailures++
			r.Logf("%s: graceful stop failed: %v", h.ID, err)
		}
		return nil
	})
}

func (r *Runner) stepPause(_ context.Context, s Step) error {
	return r.forHosts(s, func(h *launcher.Host) error { return h.Signal(syscall.SIGSTOP) })
}

func (r *Runner) stepResume(_ context.Context, s Step) error {
	return r.forHosts(s, func(h *launcher.Host) error { return h.Signal(syscall.SIGCONT) })
}

// stepCut partitions hosts from all other hosts by dropping bytes in both directions without closing connections.
func (r *Runner) stepCut(_ context.Context, s Step) error {
	return r.forHosts(s, func(h *launcher.Host) error {
		h.Relay.Block("*")
		for _, other := range r.cluster.Hosts {
			if other != h {
				other.Relay.Block(h.IP)
			}
		}
		return nil
	})
}

func (r *Runner) stepHeal(_ context.Context, s Step) error {
	return r.forHosts(s, func(h *launcher.Host) error {
		h.Relay.Unblock("*")
		for _, other := range r.cluster.Hosts {
			other.Relay.Unblock(h.IP)
		}
		return nil
	})
}

// stepMute drops all further bytes on the connections between hosts that are open now.
func (r *Runner) stepMute(_ context.Context, _ Step) error {
	for _, h := range r.cluster.Hosts {
		h.Relay.DropOpen()
	}
	return nil
}

// stepWipe deletes the data folder of a stopped host.
func (r *Runner) stepWipe(_ context.Context, s Step) error {
	return r.forHosts(s, func(h *launcher.Host) error {
		if h.Running() {
			return fmt.Errorf("%s is running", h.ID)
		}
		return os.RemoveAll(h.DataDir)
	})
}

// stepEngine injects a fault into a stand-in engine or into all: crash, slow with factor=FACTOR, silent, mute or reset; normal
// ends slow and silent.
func (r *Runner) stepEngine(_ context.Context, s Step) error {
	if len(s.Args) < 2 {
		return errors.New("usage: engine NAME crash|slow|silent|normal|mute|reset")
	}
	for name, engine := range r.cluster.Engines {
		if s.Args[0] != "all" && s.Args[0] != name {
			continue
		}
		switch s.Args[1] {
		case "crash":
			engine.Crash()
		case "slow":
			factor, err := strconv.ParseFloat(s.stringOption("factor", "0.25"), 64)
			if err != nil {
				return err
			}
			engine.SetSpeed(factor)
		case "silent":
			engine.SetDropWrites(true)
		case "normal":
			engine.SetDropWrites(false)
			engine.SetSpeed(1)
		case "mute":
			engine.DropWritesOnOpen()
		case "reset":
			engine.ResetOpen()
		default:
			return fmt.Errorf("unknown engine action %q", s.Args[1])
		}
	}
	return nil
}

// stepLeave marks endpoints as leaving in the platform's host list.
func (r *Runner) stepLeave(_ context.Context, s Step) error {
	for _, name := range s.Args {
		r.cluster.HostList.Set(name, "leaving")
		r.leaving[name] = leavingEndpoint{since: time.Now()}
	}
	return nil
}

// stepExpect checks the counts of outcomes of one load and the crashes of all engines: expect LOAD done=20 min_done=10
// max_crashes=2.
func (r *Runner) stepExpect(_ context.Context, s Step) error {
	if len(s.Args) == 0 {
		return errors.New("missing load argument")
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
	for _, e := range r.cluster.Engines {
		crashes += e.Crashes()
	}
	counts["crashes"] = crashes
	for key, value := range s.Options {
		want, err := strconv.Atoi(value)
		if err != nil {
			return err
		}
		if err := checkCount(key, want, counts); err != nil {
			return err
		}
	}
	return nil
}

func checkCount(key string, want int, counts map[string]int) error {
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
