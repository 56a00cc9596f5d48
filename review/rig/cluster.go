package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the site gn-pusat that the cases use.
const (
	contact   = 3 * time.Second
	catchUp   = 4 * time.Second
	recovery  = 12 * time.Second
	grace     = 8 * time.Second
	ackBound  = 4 * time.Second
	listLag   = 800 * time.Millisecond
	restartIn = 300 * time.Millisecond
)

// The command of the deploy file and its environment.
var (
	deployCommand = []string{"target/dragonflycroft", "platform", "--metrics-port=9464"}
	deployEnv     = "DRAGONFLYCROFT_SHARED_KEY=key-of-one-installation"
)

var zoneNames = []string{"jawa-barat", "jawa-tengah", "jawa-timur"}

// machine is one machine of the system with its process.
type machine struct {
	c         *cluster
	name      string
	ip        string
	zone      string
	class     string // frontend or core
	dir       string
	bootstrap bool

	mu   sync.Mutex
	cmd  *exec.Cmd
	down bool // no process is started while the machine is down or removed
	wg   sync.WaitGroup
}

// cluster is the set of machines, with the addresses that all share.
type cluster struct {
	root, dir string
	prefix    string
	ports     map[string]int
	rec       *recorder
	listAddr  string
	seeds     []*machine
	machines  []*machine
	counts    map[string]int
}

func newCluster(root, dir string, rec *recorder) *cluster {
	c := &cluster{root: root, dir: dir, rec: rec, counts: map[string]int{}}
	c.prefix = fmt.Sprintf("127.%d.%d", 60+rand.N(150), 1+rand.N(250))
	base := 20000 + rand.N(10000)
	c.ports = map[string]int{"frontend": base, "ready": base + 1, "control": base + 2, "internal": base + 10, "list": base + 40, "runner": base + 50}
	return c
}

func (c *cluster) ip() string {
	c.counts["ip"]++
	return fmt.Sprintf("%s.%d", c.prefix, c.counts["ip"])
}

func (c *cluster) addr(m *machine, port string) string {
	return net.JoinHostPort(m.ip, fmt.Sprint(c.ports[port]))
}

// add adds a machine without starting it.
func (c *cluster) add(class string, zone int, bootstrap bool) *machine {
	c.counts[class]++
	m := &machine{c: c, name: fmt.Sprintf("%s-%d", class, c.counts[class]), ip: c.ip(), zone: zoneNames[zone%len(zoneNames)], class: class, bootstrap: bootstrap}
	m.dir = filepath.Join(c.dir, m.name)
	c.machines = append(c.machines, m)
	return m
}

// build adds the machines of a small deployment: fronts and five core machines in three zones; the first core machine of each zone is a seed.
func (c *cluster) build(fronts int) {
	for i := range fronts {
		c.add("frontend", i, true)
	}
	for i := range 5 {
		c.add("core", i, true)
	}
	c.seeds = c.of("core")[:3]
}

func (c *cluster) of(class string) []*machine {
	var out []*machine
	for _, m := range c.machines {
		if m.class == class {
			out = append(out, m)
		}
	}
	return out
}

func (c *cluster) startAll() {
	for _, m := range c.machines {
		m.start()
	}
}

// stopAll ends all processes that the cluster started.
func (c *cluster) stopAll() {
	for _, m := range c.machines {
		m.powerOff()
	}
	for _, m := range c.machines {
		m.wg.Wait()
	}
}

// writeSettings writes the settings file as the provider's page describes it.
func (m *machine) writeSettings() error {
	c := m.c
	seeds := make([]string, 0, len(c.seeds))
	for _, s := range c.seeds {
		seeds = append(seeds, c.addr(s, "control"))
	}
	zones := map[string]string{}
	for _, z := range zoneNames {
		zones[z] = "jawa"
	}
	s := map[string]any{
		"node_name": m.name, "machine_class": m.class, "ip": m.ip, "zone": m.zone, "region": "jawa", "zones": zones,
		"internal_ports": []int{c.ports["internal"], c.ports["internal"] + 15}, "seeds": seeds, "bootstrap": m.bootstrap,
		"discovery": "cloud", "entry": "vip", "heartbeat_ms": 1200,
		"invariants":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota"},
		"fault_tolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 3000, "grace_s": 8,
			"loss_slack_ms": 200, "config_ms": 2000, "rollback_slack_ms": 250, "stretch_ms": 5000, "strict_revoke": true, "revoke_ms": 5000,
			"retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 52, "quota_window_s": 8, "quota_overshoot": 0.1, "quota_slack": 140000,
			"recovery_s": 12, "pass_ms": 120, "reuse_window_s": 9.3,
		},
		"config_mode": "highest",
		"cloud":       map[string]any{"address": c.listAddr, "rate_per_s": 50, "duties": []string{}, "lag_ms": listLag.Milliseconds()},
	}
	limits := map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 134, "max_fds": 4100, "link_mbps": 1000, "disk_mb": 0}
	if m.class == "core" {
		s["role"], s["serves"], s["fault_counted"] = "control", []string{"control"}, true
		s["listen"] = map[string]string{"control": c.addr(m, "control")}
		s["data_dir"] = m.dataDir()
		limits["cpu_share"], limits["memory_mb"], limits["max_fds"], limits["disk_mb"] = 0.96, 280, 4096, 128
	} else {
		s["role"], s["serves"], s["fault_counted"] = "entry", []string{"frontend"}, false
		s["listen"] = map[string]string{"frontend_addr": c.addr(m, "frontend"), "readiness": c.addr(m, "ready")}
		s["data_dir"] = nil
	}
	s["limits"] = limits
	raw, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(m.dir, "local.json"), raw, 0o600)
}

func (m *machine) dataDir() string { return filepath.Join(m.dir, "data") }

// start starts the process of a machine. It is started again whenever it ends, until the machine is down.
func (m *machine) start() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = false
	m.startLocked()
}

func (m *machine) startLocked() {
	if err := os.MkdirAll(m.dir, 0o700); err != nil {
		m.c.rec.fail("create %s: %v", m.name, err)
	}
	if m.class == "core" {
		if err := os.MkdirAll(m.dataDir(), 0o700); err != nil {
			m.c.rec.fail("create the disk of %s: %v", m.name, err)
		}
	}
	if err := m.writeSettings(); err != nil {
		m.c.rec.fail("settings of %s: %v", m.name, err)
	}
	log, err := os.OpenFile(filepath.Join(m.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		m.c.rec.fail("log of %s: %v", m.name, err)
		return
	}
	cmd := exec.Command(filepath.Join(m.c.root, deployCommand[0]), deployCommand[1:]...)
	cmd.Dir = m.c.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "DRAGONFLYCROFT_CONFIG=" + filepath.Join(m.dir, "local.json"), deployEnv}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		m.c.rec.fail("start %s: %v", m.name, err)
		_ = log.Close()
		return
	}
	m.cmd = cmd
	m.c.rec.event("process started machine=%s ip=%s pid=%d bootstrap=%t", m.name, m.ip, cmd.Process.Pid, m.bootstrap)
	m.wg.Go(func() {
		err := cmd.Wait()
		_ = log.Close()
		m.c.rec.event("process ended machine=%s pid=%d state=%v", m.name, cmd.Process.Pid, describe(err))
		time.Sleep(restartIn)
		m.mu.Lock()
		defer m.mu.Unlock()
		if !m.down && m.cmd == cmd {
			m.startLocked()
		}
	})
}

func describe(err error) string {
	if err == nil {
		return "exit status 0"
	}
	return err.Error()
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil && m.cmd.ProcessState == nil {
		_ = m.cmd.Process.Signal(s)
	}
}

// powerOff kills the process; it is not started again before start is called.
func (m *machine) powerOff() {
	m.mu.Lock()
	m.down = true
	m.mu.Unlock()
	m.signal(syscall.SIGKILL)
}

// remove stops the process with SIGTERM, and with SIGKILL after the grace period; it is not started again.
func (m *machine) remove() {
	m.mu.Lock()
	m.down = true
	m.mu.Unlock()
	m.signal(syscall.SIGTERM)
	time.AfterFunc(grace, func() { m.signal(syscall.SIGKILL) })
}

// wipe removes the disk of a machine that is down. The machine comes back with bootstrap set to false.
func (m *machine) wipe() {
	m.wg.Wait()
	if err := os.RemoveAll(m.dataDir()); err != nil {
		m.c.rec.fail("wipe %s: %v", m.name, err)
	}
	m.bootstrap = false
}

// names returns the names of machines.
func names(list []*machine) string {
	var out []string
	for _, m := range list {
		out = append(out, m.name)
	}
	slices.Sort(out)
	return strings.Join(out, ",")
}
