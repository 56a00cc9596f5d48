// Package launcher runs the dragonflycroft binary as several hosts on loopback addresses, with stand-in endpoints and a relay
// in front of the peer listener of each host.
package launcher

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
	"github.com/dragonflycroft/dragonflycroft/internal/relayer"
	"github.com/dragonflycroft/dragonflycroft/internal/standin"
)

const (
	sharedKey = "scenario-shared-key-0123456789abcdef"
	// OperatorToken is the bearer token of the only operator.
	OperatorToken = "scenario-operator-token"
	// ReadyTimeout bounds the wait until a host is ready. It is long because CI machines may be busy; no check depends on the
	// time that a start takes.
	ReadyTimeout = 60 * time.Second
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// Host is one process of the system and the relay for its peer connections.
type Host struct {
	ID, Zone, IP             string
	CallerAddr, OperatorAddr string
	// PeerAddr is the address of the relay, to which other hosts connect.
	PeerAddr string
	DataDir  string
	Relay    *relayer.Relay
	// Stopping is set by the caller when it requests a graceful stop; SelectHosts("all") skips such a host.
	Stopping bool

	peerListenAddr     string
	bootstrap, control bool
	process            *exec.Cmd
	exited             chan struct{}
	exitErr            error
	logPath            string
}

// Cluster holds the hosts, endpoints and records of one scenario.
type Cluster struct {
	// Binary is the path of the dragonflycroft program; Dir is the parent of the log files and data folders.
	Binary, Dir string
	Hosts       []*Host
	Engines     map[string]*standin.Engine
	Services    map[string]*standin.Service
	HostList    *standin.HostList
	Records     *standin.Records
	Config      *configurer.Config
}

func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, eris.Wrapf(err, "reserve a port on %s", ip)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// NewHost returns a host with index n that has its own loopback IP address, reserved ports and a running relay. The process
// is started by Start.
func (c *Cluster) NewHost(n int, control, bootstrap bool) (*Host, error) {
	z := n % len(zones)
	h := &Host{
		ID: fmt.Sprintf("host-%d", n+1), Zone: zones[z], IP: fmt.Sprintf("127.0.%d.%d", z+1, n+1),
		control: control, bootstrap: bootstrap,
	}
	for _, addr := range []*string{&h.CallerAddr, &h.OperatorAddr, &h.peerListenAddr, &h.PeerAddr} {
		port, err := freePort(h.IP)
		if err != nil {
			return nil, err
		}
		*addr = fmt.Sprintf("%s:%d", h.IP, port)
	}
	h.DataDir = filepath.Join(c.Dir, h.ID, "data")
	h.logPath = filepath.Join(c.Dir, h.ID+".log")
	r, err := relayer.New(h.PeerAddr, h.peerListenAddr)
	h.Relay = r
	return h, err
}

// Host returns the host with the given id.
func (c *Cluster) Host(id string) (*Host, error) {
	for _, h := range c.Hosts {
		if h.ID == id {
			return h, nil
		}
	}
	return nil, fmt.Errorf("unknown host %q", id)
}

func (c *Cluster) controlHosts() string {
	var list []string
	for _, h := range c.Hosts {
		if h.control && h.bootstrap {
			list = append(list, h.ID+"="+h.PeerAddr)
		}
	}
	return strings.Join(list, ",")
}

// Start starts the process of a host with its flags and environment variables, and appends its output to its log file.
func (c *Cluster) Start(h *Host) error {
	if err := os.MkdirAll(h.DataDir, 0o755); err != nil {
		return eris.Wrap(err, "create data folder")
	}
	logFile, err := os.OpenFile(h.logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return eris.Wrap(err, "open log file")
	}
	args := []string{
		"serve", "--host-id=" + h.ID, "--zone=" + h.Zone,
		"--caller-listen=" + h.CallerAddr, "--operator-listen=" + h.OperatorAddr,
		"--peer-listen=" + h.peerListenAddr, "--peer-advertise=" + h.PeerAddr,
		"--control-hosts=" + c.controlHosts(), "--host-list=" + c.HostList.Addr(),
	}
	if h.control {
		args = append(args, "--data-dir="+h.DataDir)
	}
	if h.control && h.bootstrap {
		args = append(args, "--bootstrap")
	}
	digest := sha256.Sum256([]byte(OperatorToken))
	cmd := exec.Command(c.Binary, args...)
	cmd.Env = append(os.Environ(),
		"DRAGONFLYCROFT_SHARED_KEY="+sharedKey,
		"DRAGONFLYCROFT_OPERATOR_TOKENS=scenario="+hex.EncodeToString(digest[:]),
	)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		_ = logFile.Close()
		return eris.Wrapf(err, "start %s", h.ID)
	}
	h.process, h.exited, h.Stopping = cmd, make(chan struct{}), false
	go func() {
		h.exitErr = cmd.Wait()
		_ = logFile.Close()
		close(h.exited)
	}()
	return nil
}

// Running reports whether the process has been started and has not exited.
func (h *Host) Running() bool {
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

// Signal sends a signal to a running process.
func (h *Host) Signal(s syscall.Signal) error {
	if !h.Running() {
		return fmt.Errorf("%s is not running", h.ID)
	}
	return h.process.Process.Signal(s)
}

// Kill sends SIGKILL to the process and waits until it has exited.
func (h *Host) Kill() error {
	if err := h.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-h.exited
	return nil
}

// WaitReady waits until a host responds to /readyz with status 200. It fails when the process exits or ReadyTimeout passes.
func (c *Cluster) WaitReady(ctx context.Context, h *Host) error {
	ctx, cancel := context.WithTimeout(ctx, ReadyTimeout)
	defer cancel()
	probe := connector.NewService(h.ID, h.CallerAddr, connector.Timeouts{Connect: time.Second, FirstByte: time.Second, Gap: time.Second})
	for {
		response, err := probe.Do(ctx, connector.Call{Method: http.MethodGet, Path: "/readyz"}, func() {})
		if err == nil && response.Status == http.StatusOK {
			return nil
		}
		if !h.Running() {
			return fmt.Errorf("%s exited before it became ready, see its log: %w", h.ID, h.exitErr)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for %s to become ready: %w", h.ID, errors.Join(ctx.Err(), err))
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// StartEndpoints starts a stand-in for each endpoint of Config and sets the address of the endpoint to that of the stand-in.
// Load reports and cache events are delayed by lag, and a crashed engine starts again after restart.
func (c *Cluster) StartEndpoints(lag time.Duration, restart time.Duration) error {
	for i := range c.Config.Endpoints {
		e := &c.Config.Endpoints[i]
		if e.Pool == "chat" {
			model, ok := emulator.HardwareOptions(e.Hardware)
			if !ok {
				return fmt.Errorf("unknown hardware %q", e.Hardware)
			}
			engine := &standin.Engine{
				Name: e.Name, ListenAddr: "127.0.0.1:0", Model: model, Models: e.Models, ChecksFencing: e.ChecksFencing,
				LoadLag: lag, CacheLag: lag, CacheGapEvery: 50, RestartAfter: restart, Records: c.Records,
			}
			if err := engine.Start(); err != nil {
				return err
			}
			c.Engines[e.Name] = engine
			e.Address = engine.Addr()
		} else {
			service := &standin.Service{Name: e.Name, ListenAddr: "127.0.0.1:0", Latency: 20 * time.Millisecond, Records: c.Records}
			if err := service.Start(); err != nil {
				return err
			}
			c.Services[e.Name] = service
			e.Address = service.Addr()
		}
		c.HostList.Set(e.Name, "live")
	}
	return nil
}

// Patch sends the configuration patch id, based on version base, to the operator listener of a host.
func (c *Cluster) Patch(ctx context.Context, h *Host, id string, base uint64, body []byte) (*connector.Response, error) {
	service := connector.NewService(h.ID, h.OperatorAddr, connector.Timeouts{Connect: time.Second, FirstByte: 10 * time.Second, Gap: 10 * time.Second})
	return service.Do(ctx, connector.Call{
		Method: http.MethodPatch, Path: "/v1/config", Body: body,
		Header: map[string]string{
			"Authorization":             "Bearer " + OperatorToken,
			"Content-Type":              "application/merge-patch+json",
			"If-Match":                  fmt.Sprintf("%q", fmt.Sprint(base)),
			"X-Dragonflycroft-Patch-Id": id,
		},
	}, func() {})
}

// Version returns the configuration version that is in force on a host.
func (c *Cluster) Version(ctx context.Context, h *Host) (uint64, error) {
	service := connector.NewService(h.ID, h.OperatorAddr, connector.Timeouts{Connect: time.Second, FirstByte: 2 * time.Second, Gap: 2 * time.Second})
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
		return 0, eris.Wrapf(err, "decode /debug/vars response %q", response.Body)
	}
	return status.Version, nil
}

// Bootstrap submits Config as the first configuration. It retries until the first host accepts it or ReadyTimeout passes, and
// fails early when a process exits or the configuration is rejected.
func (c *Cluster) Bootstrap(ctx context.Context) error {
	document, err := configurer.Encode(c.Config)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, ReadyTimeout)
	defer cancel()
	for {
		response, err := c.Patch(ctx, c.Hosts[0], "bootstrap", 0, document)
		if err == nil && response.Status == http.StatusOK {
			return nil
		}
		if err == nil && response.Status < http.StatusInternalServerError {
			return fmt.Errorf("first configuration was rejected: status %d: %s", response.Status, response.Body)
		}
		for _, h := range c.Hosts {
			if !h.Running() {
				return fmt.Errorf("%s exited during bootstrap, see its log: %w", h.ID, h.exitErr)
			}
		}
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), err)
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// Close kills all processes and closes the relays and stand-ins.
func (c *Cluster) Close() {
	for _, h := range c.Hosts {
		if h.Running() {
			_ = h.Signal(syscall.SIGCONT)
			_ = h.Kill()
		}
		if h.Relay != nil {
			h.Relay.Close()
		}
	}
	var wg sync.WaitGroup
	for _, e := range c.Engines {
		wg.Go(func() { _ = e.Close() })
	}
	for _, s := range c.Services {
		wg.Go(func() { _ = s.Close() })
	}
	wg.Wait()
	if c.HostList != nil {
		_ = c.HostList.Close()
	}
}

// SelectHosts returns the hosts in a comma-separated list of ids, or with "all" those that are running and not stopping.
func (c *Cluster) SelectHosts(names string) ([]*Host, error) {
	if names == "all" {
		return slices.DeleteFunc(slices.Clone(c.Hosts), func(h *Host) bool { return !h.Running() || h.Stopping }), nil
	}
	var hosts []*Host
	for name := range strings.SplitSeq(names, ",") {
		h, err := c.Host(name)
		if err != nil {
			return nil, err
		}
		hosts = append(hosts, h)
	}
	return hosts, nil
}

// Wait waits until the process has exited and returns the error of exec.Cmd.Wait.
func (h *Host) Wait() error {
	<-h.exited
	return h.exitErr
}
