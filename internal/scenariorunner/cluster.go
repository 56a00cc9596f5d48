package scenariorunner

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/connector"
	"github.com/dragonflycroft/dragonflycroft/internal/emulator"
	"github.com/dragonflycroft/dragonflycroft/internal/standin"
)

const (
	sharedKey     = "scenario-shared-key-0123456789abcdef"
	operatorToken = "scenario-operator-token"
	// readyTimeout bounds the wait for a host to turn ready. It is generous, since CI machines may be busy; no check
	// depends on how long it took.
	readyTimeout = 60 * time.Second
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// host is one process of the system with its relay for peer connections.
type host struct {
	id, zone, ip             string
	caller, operator         string
	peerReal, peerAdvertised string
	dataDir                  string
	bootstrap, control       bool
	relay                    *relay
	process                  *exec.Cmd
	exited                   chan struct{}
	exitErr                  error
	logPath                  string
	stopping                 bool
}

// cluster is the hosts, endpoints and records of one scenario.
type cluster struct {
	binary  string
	dir     string
	hosts   []*host
	engines map[string]*standin.Engine
	service map[string]*standin.Service
	list    *standin.HostList
	records *standin.Records
	config  *configurer.Config
}

func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, eris.Wrapf(err, "find a port on %s", ip)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// newHost reserves addresses for host number n on a loopback IP number of its own.
func (c *cluster) newHost(n int, control, bootstrap bool) (*host, error) {
	z := n % len(zones)
	h := &host{
		id: fmt.Sprintf("host-%d", n+1), zone: zones[z], ip: fmt.Sprintf("127.0.%d.%d", z+1, n+1),
		control: control, bootstrap: bootstrap,
	}
	for _, addr := range []*string{&h.caller, &h.operator, &h.peerReal, &h.peerAdvertised} {
		port, err := freePort(h.ip)
		if err != nil {
			return nil, err
		}
		*addr = fmt.Sprintf("%s:%d", h.ip, port)
	}
	h.dataDir = filepath.Join(c.dir, h.id, "data")
	h.logPath = filepath.Join(c.dir, h.id+".log")
	r, err := newRelay(h.peerAdvertised, h.peerReal)
	h.relay = r
	return h, err
}

func (c *cluster) host(id string) (*host, error) {
	for _, h := range c.hosts {
		if h.id == id {
			return h, nil
		}
	}
	return nil, fmt.Errorf("unknown host %q", id)
}

func (c *cluster) controlHosts() string {
	var list []string
	for _, h := range c.hosts {
		if h.control && h.bootstrap {
			list = append(list, h.id+"="+h.peerAdvertised)
		}
	}
	return strings.Join(list, ",")
}

// start runs the binary of a host with its settings.
func (c *cluster) start(h *host) error {
	if err := os.MkdirAll(h.dataDir, 0o755); err != nil {
		return eris.Wrap(err, "make data folder")
	}
	logFile, err := os.OpenFile(h.logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return eris.Wrap(err, "open log")
	}
	args := []string{
		"serve", "--host-id=" + h.id, "--zone=" + h.zone,
		"--caller-listen=" + h.caller, "--operator-listen=" + h.operator,
		"--peer-listen=" + h.peerReal, "--peer-advertise=" + h.peerAdvertised,
		"--control-hosts=" + c.controlHosts(), "--host-list=" + c.list.Addr(),
	}
	if h.control {
		args = append(args, "--data-dir="+h.dataDir)
	}
	if h.control && h.bootstrap {
		args = append(args, "--bootstrap")
	}
	digest := sha256.Sum256([]byte(operatorToken))
	cmd := exec.Command(c.binary, args...)
	cmd.Env = append(os.Environ(),
		"DRAGONFLYCROFT_SHARED_KEY="+sharedKey,
		"DRAGONFLYCROFT_OPERATOR_TOKENS=scenario="+hex.EncodeToString(digest[:]),
	)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		_ = logFile.Close()
		return eris.Wrapf(err, "start %s", h.id)
	}
	h.process, h.exited, h.stopping = cmd, make(chan struct{}), false
	go func() {
		h.exitErr = cmd.Wait()
		_ = logFile.Close()
		close(h.exited)
	}()
	return nil
}

func (h *host) running() bool {
	if h.process == nil {
		return false
	}
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

func (h *host) signal(s syscall.Signal) error {
	if !h.running() {
		return fmt.Errorf("%s is not running", h.id)
	}
	return h.process.Process.Signal(s)
}

func (h *host) kill() error {
	if err := h.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-h.exited
	return nil
}

// waitReady waits until a host answers /readyz with 200.
func (c *cluster) waitReady(ctx context.Context, h *host) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	probe := connector.NewService(h.id, h.caller, connector.Timeouts{Connect: time.Second, FirstByte: time.Second, Gap: time.Second})
	for {
		response, err := probe.Do(ctx, connector.Call{Method: http.MethodGet, Path: "/readyz"}, func() {})
		if err == nil && response.Status == http.StatusOK {
			return nil
		}
		if !h.running() {
			return fmt.Errorf("%s ended before it was ready, see its log: %w", h.id, h.exitErr)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready: %w", h.id, errors.Join(ctx.Err(), err))
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// startEndpoints starts stand-ins in place of the endpoints of the configuration and writes their addresses into it.
func (c *cluster) startEndpoints(lag time.Duration, restart time.Duration) error {
	for i := range c.config.Endpoints {
		e := &c.config.Endpoints[i]
		if e.Pool == "chat" {
			model, ok := emulator.Generation(e.Hardware)
			if !ok {
				return fmt.Errorf("unknown hardware %q", e.Hardware)
			}
			engine := &standin.Engine{
				Name: e.Name, ListenAddr: "127.0.0.1:0", Model: model, Models: e.Models, ChecksFencing: e.ChecksFencing,
				LoadLag: lag, CacheLag: lag, CacheGapEvery: 50, RestartAfter: restart, Records: c.records,
			}
			if err := engine.Start(); err != nil {
				return err
			}
			c.engines[e.Name] = engine
			e.Address = engine.Addr()
		} else {
			service := &standin.Service{Name: e.Name, ListenAddr: "127.0.0.1:0", Latency: 20 * time.Millisecond, Records: c.records}
			if err := service.Start(); err != nil {
				return err
			}
			c.service[e.Name] = service
			e.Address = service.Addr()
		}
		c.list.Set(e.Name, "live")
	}
	return nil
}

// patch sends a configuration patch to the operator listener of a host.
func (c *cluster) patch(ctx context.Context, h *host, id string, base uint64, body []byte) (*connector.Response, error) {
	service := connector.NewService(h.id, h.operator, connector.Timeouts{Connect: time.Second, FirstByte: 10 * time.Second, Gap: 10 * time.Second})
	return service.Do(ctx, connector.Call{
		Method: http.MethodPatch, Path: "/v1/config", Body: body,
		Header: map[string]string{
			"Authorization":             "Bearer " + operatorToken,
			"Content-Type":              "application/merge-patch+json",
			"If-Match":                  fmt.Sprintf("%q", fmt.Sprint(base)),
			"X-Dragonflycroft-Patch-Id": id,
		},
	}, func() {})
}

// version returns the configuration version that a host acts on.
func (c *cluster) version(ctx context.Context, h *host) (uint64, error) {
	service := connector.NewService(h.id, h.operator, connector.Timeouts{Connect: time.Second, FirstByte: 2 * time.Second, Gap: 2 * time.Second})
	response, err := service.Do(ctx, connector.Call{
		Method: http.MethodGet, Path: "/debug/vars",
	}, func() {})
	if err != nil {
		return 0, err
	}
	var status struct {
		Version uint64 `json:"node_config_version"`
	}
	if err := json.Unmarshal(response.Body, &status); err != nil {
		return 0, eris.Wrapf(err, "decode status %q", response.Body)
	}
	return status.Version, nil
}

// bootstrap gives the system its first configuration.
func (c *cluster) bootstrap(ctx context.Context) error {
	document, err := configurer.Encode(c.config)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		response, err := c.patch(ctx, c.hosts[0], "bootstrap", 0, document)
		if err == nil && response.Status == http.StatusOK {
			return nil
		}
		if err == nil && response.Status < http.StatusInternalServerError {
			return fmt.Errorf("first configuration refused: status %d: %s", response.Status, response.Body)
		}
		for _, h := range c.hosts {
			if !h.running() {
				return fmt.Errorf("%s ended at its start, see its log: %w", h.id, h.exitErr)
			}
		}
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), err)
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// close ends all processes and stand-ins.
func (c *cluster) close() {
	for _, h := range c.hosts {
		if h.running() {
			_ = h.signal(syscall.SIGCONT)
			_ = h.kill()
		}
		if h.relay != nil {
			h.relay.close()
		}
	}
	var wg sync.WaitGroup
	for _, e := range c.engines {
		wg.Go(func() { _ = e.Close() })
	}
	for _, s := range c.service {
		wg.Go(func() { _ = s.Close() })
	}
	wg.Wait()
	if c.list != nil {
		_ = c.list.Close()
	}
}

// selectHosts returns the named hosts, or all that run.
func (c *cluster) selectHosts(names string) ([]*host, error) {
	if names == "all" {
		return slices.DeleteFunc(slices.Clone(c.hosts), func(h *host) bool { return !h.running() || h.stopping }), nil
	}
	var hosts []*host
	for name := range strings.SplitSeq(names, ",") {
		h, err := c.host(name)
		if err != nil {
			return nil, err
		}
		hosts = append(hosts, h)
	}
	return hosts, nil
}
