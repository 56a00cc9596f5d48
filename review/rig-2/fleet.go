package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	controlPort = 8229
	callerPort  = 8221
	readyPort   = 8224
	peerPort    = 7600
	// The figures of the sites that the pages describe.
	controlMemoryMB = 280
	entryMemoryMB   = 134
	zoneCount       = 3
)

// fleet is a small deployment on loopback addresses: every host has its own address, the ports are the same on all.
type fleet struct {
	binary string
	dir    string
	prefix string
	record *record
	list   *listServer

	mu    sync.Mutex
	hosts []*host
	seeds []string
}

// host is one process of the system.
type host struct {
	name, ip, zone string
	control        bool
	settings       string
	cmd            *exec.Cmd
	done           chan struct{}
	log            *os.File
}

func (h *host) callerAddr() string  { return net.JoinHostPort(h.ip, strconv.Itoa(callerPort)) }
func (h *host) controlAddr() string { return net.JoinHostPort(h.ip, strconv.Itoa(controlPort)) }

func zoneName(n int) string { return "zone-" + string(rune('a'+n%zoneCount)) }

// freePrefix returns the first three numbers of loopback addresses at which the ports of the system are free.
func freePrefix() (string, error) {
	for n := range 200 {
		prefix := fmt.Sprintf("127.%d.%d.", 64+(os.Getpid()+n)%128, 1+(os.Getpid()/128+n)%250)
		l, err := net.Listen("tcp", net.JoinHostPort(prefix+"1", strconv.Itoa(peerPort)))
		if err != nil {
			continue
		}
		if err := l.Close(); err == nil {
			return prefix, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

// startFleet starts control hosts and entry hosts together, as on the first start of a deployment.
func startFleet(binary string, r *record, controls, entries int, list *listServer) (*fleet, error) {
	prefix, err := freePrefix()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "rig-2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{binary: binary, dir: dir, prefix: prefix, record: r, list: list}
	running.Lock()
	running.fleet = f
	running.Unlock()
	if err := list.listen(prefix + "250:8225"); err != nil {
		return f, err
	}
	for n := range controls {
		f.hosts = append(f.hosts, &host{name: fmt.Sprintf("core-%d", n+1), ip: prefix + strconv.Itoa(10+n), zone: zoneName(n), control: true})
	}
	for n := range entries {
		f.hosts = append(f.hosts, &host{name: fmt.Sprintf("frontend-%d", n+1), ip: prefix + strconv.Itoa(50+n), zone: zoneName(n)})
	}
	for _, h := range f.hosts[:min(3, controls)] {
		f.seeds = append(f.seeds, h.controlAddr())
	}
	for _, h := range f.hosts {
		if err := f.start(h, true); err != nil {
			return f, err
		}
	}
	return f, nil
}

// writeSettings writes the settings file of a host, with the fields that the pages show.
func (f *fleet) writeSettings(h *host, bootstrap bool) error {
	role, class, serves, memory := "entry", "frontend", "frontend", entryMemoryMB
	listen := map[string]string{"frontend_addr": h.callerAddr(), "readiness": net.JoinHostPort(h.ip, strconv.Itoa(readyPort))}
	var dataDir any
	if h.control {
		role, class, serves, memory = "control", "core", "control", controlMemoryMB
		listen, dataDir = map[string]string{"control": h.controlAddr()}, filepath.Join(f.dir, h.name)
	}
	zones := map[string]string{}
	for n := range zoneCount {
		zones[zoneName(n)] = "region"
	}
	raw, err := json.Marshal(map[string]any{
		"node_name": h.name, "role": role, "machine_class": class, "serves": []string{serves}, "ip": h.ip, "zone": h.zone,
		"region": "region", "zones": zones, "listen": listen, "internal_ports": []int{peerPort, peerPort + 15}, "seeds": f.seeds,
		"bootstrap": bootstrap, "fault_counted": h.control,
		"limits":   map[string]any{"cpu_share": 0.96, "cores": 1, "memory_mb": memory, "max_fds": 4096, "link_mbps": 1000.0, "disk_mb": 128},
		"data_dir": dataDir, "discovery": "cloud", "entry": "vip", "heartbeat_ms": 1200,
		"invariants":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota"},
		"fault_tolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 3000, "grace_s": 8,
			"loss_slack_ms": 200, "config_ms": 2000, "rollback_slack_ms": 250, "stretch_ms": 5000, "strict_revoke": true, "revoke_ms": 5000,
			"retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 52, "quota_window_s": 8, "quota_overshoot": 0.1, "quota_slack": 140000,
			"recovery_s": 12, "pass_ms": 120, "reuse_window_s": 9.3,
		},
		"config_mode": "highest",
		"cloud":       map[string]any{"address": f.list.addr(), "rate_per_s": 40.0, "duties": []string{}, "lag_ms": 800},
	})
	if err != nil {
		return err
	}
	h.settings = filepath.Join(f.dir, h.name+".json")
	return os.WriteFile(h.settings, raw, 0o600)
}

// start starts the process of a host with the command of the deploy file.
func (f *fleet) start(h *host, bootstrap bool) error {
	if err := f.writeSettings(h, bootstrap); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(f.binary, "platform", "--metrics-port=9464")
	cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DRAGONFLYCROFT_CONFIG=" + h.settings,
		"DRAGONFLYCROFT_SHARED_KEY=key-of-one-installation",
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return errors.Join(err, log.Close())
	}
	done := make(chan struct{})
	f.mu.Lock()
	h.cmd, h.done, h.log = cmd, done, log
	f.mu.Unlock()
	f.record.note("started %s pid=%d", h.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		f.record.note("ended %s pid=%d: %v", h.name, cmd.Process.Pid, err)
		_ = log.Close()
		close(done)
	}()
	return nil
}

// hasEnded reports whether the process of a host has ended.
func (h *host) hasEnded() bool {
	select {
	case <-h.done:
		return true
	default:
		return false
	}
}

// close ends all processes that the fleet started, and removes its folder.
func (f *fleet) close() {
	f.mu.Lock()
	hosts := f.hosts
	f.mu.Unlock()
	for _, h := range hosts {
		if h.cmd != nil && !h.hasEnded() {
			_ = h.cmd.Process.Kill()
		}
	}
	for _, h := range hosts {
		if h.done != nil {
			<-h.done
		}
	}
	f.list.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		f.record.note("kept the logs in the temporary folder")
		fmt.Println(f.dir)
	}
}

func (f *fleet) controls() []*host { return f.ofKind(true) }
func (f *fleet) entries() []*host  { return f.ofKind(false) }

func (f *fleet) ofKind(control bool) (out []*host) {
	for _, h := range f.hosts {
		if h.control == control {
			out = append(out, h)
		}
	}
	return out
}

// operatorClient keeps no connections, like an operator that picks a host for each call.
var operatorClient = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// replace sends a configuration to a control host and returns the status.
func (f *fleet) replace(h *host, document []byte) (int, error) {
	resp, err := operatorClient.Post("http://"+h.controlAddr()+"/v1/config/replace", "application/json", bytes.NewReader(document))
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, errors.Join(err, resp.Body.Close())
}

// replaceUntilAcked sends a configuration to the control hosts in turn until one acknowledges it.
func (f *fleet) replaceUntilAcked(document []byte) error {
	controls := f.controls()
	var last string
	for end, n := time.Now().Add(20*time.Second), 0; time.Now().Before(end); n++ {
		status, err := f.replace(controls[n%len(controls)], document)
		if status == http.StatusOK {
			f.record.note("configuration acknowledged by %s", controls[n%len(controls)].name)
			return nil
		}
		last = fmt.Sprintf("status %d, error %v", status, err)
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("no acknowledgement of the configuration: " + last)
}

// awaitReady waits until all entry hosts say that they are ready.
func (f *fleet) awaitReady() error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, h := range f.entries() {
			resp, err := operatorClient.Get("http://" + net.JoinHostPort(h.ip, strconv.Itoa(readyPort)) + "/v1/readyz")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(f.entries()) {
			return nil
		}
	}
	return errors.New("the entry hosts are not ready")
}

// cpuTime returns the processor time that a process has used.
func cpuTime(pid int) (time.Duration, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0, errors.New("short stat file")
	}
	user, errUser := strconv.Atoi(fields[11])
	system, errSystem := strconv.Atoi(fields[12])
	const ticksPerSecond = 100
	return time.Duration(user+system) * time.Second / ticksPerSecond, errors.Join(errUser, errSystem)
}
