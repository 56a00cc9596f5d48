// Command stand-in-3 plays the scripted cases of the third review: it starts the processes of a small deployment with the commands of
// the deploy file, and is their platform, operator, endpoints and callers.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Ports of all machines of the deployment.
type ports struct{ callers, ready, control, peer, metrics int }

// process is one process of the system.
type process struct {
	name, ip, settings string
	cmd                *exec.Cmd
	ended              chan struct{}
	// expected is true once the test itself ends the process.
	expected bool
}

// world is a deployment with its stand-ins.
type world struct {
	dir    string
	net    string
	ports  ports
	began  time.Time
	mu     sync.Mutex
	record io.Writer
	cores  []*process
	fronts []*process
	list   *platformList
	// exits are the processes that ended by themselves.
	exits []string
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// newWorld finds free addresses for a number of core and front machines.
func newWorld(record io.Writer, cores, fronts int) (*world, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, record: record, began: time.Now()}
	for range 50 {
		base := 20000 + rand.IntN(9000)
		w.net = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		w.ports = ports{callers: base, ready: base + 1, control: base + 2, peer: base + 3, metrics: 9464}
		if w.free(cores, fronts) {
			break
		}
	}
	for i := range cores {
		w.cores = append(w.cores, &process{name: fmt.Sprintf("core-%d", i+1), ip: w.coreIP(i)})
	}
	for i := range fronts {
		w.fronts = append(w.fronts, &process{name: fmt.Sprintf("front-%d", i+1), ip: w.frontIP(i)})
	}
	w.list = &platformList{}
	return w, w.list.start(w.net + ".200:0")
}

func (w *world) coreIP(i int) string  { return fmt.Sprintf("%s.%d", w.net, 10+i) }
func (w *world) frontIP(i int) string { return fmt.Sprintf("%s.%d", w.net, 50+i) }

func (w *world) free(cores, fronts int) bool {
	var ips []string
	for i := range cores {
		ips = append(ips, w.coreIP(i))
	}
	for i := range fronts {
		ips = append(ips, w.frontIP(i))
	}
	for _, ip := range ips {
		for _, port := range []int{w.ports.callers, w.ports.ready, w.ports.control, w.ports.peer, w.ports.metrics} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

var zones = []string{"zone-a", "zone-b", "zone-c"}

// bounds are those of the deployments in force.
var bounds = map[string]any{
	"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 3000, "grace_s": 8,
	"loss_slack_ms": 200, "config_ms": 2000, "rollback_slack_ms": 250, "stretch_ms": 5000, "strict_revoke": true, "revoke_ms": 5000,
	"retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 52, "quota_window_s": 8, "quota_overshoot": 0.1, "quota_slack": 140000,
	"recovery_s": 12, "pass_ms": 120, "reuse_window_s": 9.3,
}

// writeSettings writes the settings file of a process. Bootstrap is true at the first start of the whole system.
func (w *world) writeSettings(p *process, index int, core, bootstrap bool) error {
	var seeds []string
	for i := range min(3, len(w.cores)) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", w.coreIP(i), w.ports.control))
	}
	zone := zones[index%len(zones)]
	s := map[string]any{
		"node_name": p.name, "role": "entry", "machine_class": "frontend", "serves": []string{"frontend"}, "ip": p.ip, "zone": zone,
		"region": "region", "zones": map[string]string{zones[0]: "region", zones[1]: "region", zones[2]: "region"},
		"listen": map[string]string{
			"frontend_addr": fmt.Sprintf("%s:%d", p.ip, w.ports.callers), "readiness": fmt.Sprintf("%s:%d", p.ip, w.ports.ready),
		},
		"internal_ports": []int{w.ports.peer, w.ports.peer + 15}, "seeds": seeds, "bootstrap": bootstrap, "fault_counted": core,
		"limits":   map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "cloud", "entry": "vip", "heartbeat_ms": 1200,
		"invariants":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota"},
		"fault_tolerance": map[string]int{"machines": (len(w.cores) - 1) / 2, "zones": 0, "regions": 0}, "bounds": bounds, "config_mode": "highest",
		"cloud": map[string]any{"address": w.list.addr, "rate_per_s": 47.0, "duties": []string{}, "lag_ms": 800},
	}
	if core {
		data := filepath.Join(w.dir, p.name+"-data")
		if err := os.MkdirAll(data, 0o700); err != nil {
			return err
		}
		s["role"], s["machine_class"], s["serves"], s["data_dir"] = "control", "core", []string{"control"}, data
		s["listen"] = map[string]string{"control": fmt.Sprintf("%s:%d", p.ip, w.ports.control)}
		s["limits"] = map[string]any{"cpu_share": 0.96, "cores": 1, "memory_mb": 280, "max_fds": 4096, "link_mbps": 1000.0, "disk_mb": 128}
	}
	raw, err := json.Marshal(s)
	if err != nil {
		return err
	}
	p.settings = filepath.Join(w.dir, p.name+".json")
	return os.WriteFile(p.settings, raw, 0o600)
}

// startAll starts the system for the first time.
func (w *world) startAll() error {
	for i, p := range w.cores {
		if err := w.writeSettings(p, i, true, true); err != nil {
			return err
		}
	}
	for i, p := range w.fronts {
		if err := w.writeSettings(p, i, false, true); err != nil {
			return err
		}
	}
	for _, p := range append(append([]*process{}, w.cores...), w.fronts...) {
		if err := w.start(p); err != nil {
			return err
		}
	}
	return nil
}

// setUp starts the system with a list of runners and a first configuration, and waits until all front machines are ready.
func (w *world) setUp(list []entry, first []byte) bool {
	w.list.set(list)
	if err := w.startAll(); err != nil {
		w.note("not started: %v", err)
		return false
	}
	const startTime = 15 * time.Second
	if status, answer := w.sendConfig(first, startTime); status != http.StatusOK || !w.awaitReady(startTime) {
		w.note("the first configuration got %d %s, or the front machines are not ready", status, answer)
		return false
	}
	w.note("the first configuration is acknowledged, all front machines are ready")
	// The control hosts exchange their figures for a moment.
	time.Sleep(2 * time.Second)
	return true
}

// startRunners starts the runners and returns their entries of the list.
func (w *world) startRunners(runners []*runner) ([]entry, error) {
	var list []entry
	for i, r := range runners {
		r.id, r.zone = fmt.Sprintf("i-%08x", rand.Uint32()), zones[i%len(zones)]
		if err := r.start(fmt.Sprintf("%s.%d:0", w.net, 100+i)); err != nil {
			w.note("runner not started: %v", err)
			return nil, err
		}
		list = append(list, r.entry())
	}
	return list, nil
}

// start starts a process with the command of the deploy file.
func (w *world) start(p *process) error {
	out, err := os.OpenFile(filepath.Join(w.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	// The command and the key are those of deploy/system.toml.
	cmd := exec.Command("target/dragonflycroft", "platform", "--metrics-port="+fmt.Sprint(w.ports.metrics))
	cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + w.dir, "DRAGONFLYCROFT_CONFIG=" + p.settings, "DRAGONFLYCROFT_SHARED_KEY=key-of-one-installation",
	}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	w.mu.Lock()
	p.cmd, p.ended, p.expected = cmd, ended, false
	w.mu.Unlock()
	w.note("start %s, process %d", p.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		w.mu.Lock()
		expected := p.expected
		if !expected {
			w.exits = append(w.exits, fmt.Sprintf("%s: %v", p.name, err))
		}
		w.mu.Unlock()
		if !expected {
			w.note("%s has ended by itself: %v", p.name, err)
		}
		close(ended)
	}()
	return nil
}

// signal sends a signal to a process. The process counts as ended by the test if the signal ends it.
func (w *world) signal(p *process, s syscall.Signal) {
	w.mu.Lock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.expected = true
	}
	w.mu.Unlock()
	w.note("signal %v to %s", s, p.name)
	_ = p.cmd.Process.Signal(s)
}

// ownExits returns the processes that ended by themselves.
func (w *world) ownExits() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.exits)
}

// close ends all processes and removes the folder.
func (w *world) close() {
	for _, p := range append(append([]*process{}, w.cores...), w.fronts...) {
		if p.cmd == nil {
			continue
		}
		w.signal(p, syscall.SIGKILL)
		<-p.ended
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs in", w.dir)
	}
}

// sendConfig sends a configuration to the control hosts in turn until one has answered. It returns the status.
func (w *world) sendConfig(doc []byte, limit time.Duration) (status int, answer string) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for began, i := time.Now(), 0; time.Since(began) < limit; i++ {
		p := w.cores[i%len(w.cores)]
		resp, err := client.Post(fmt.Sprintf("http://%s:%d/v1/config/replace", p.ip, w.ports.control), "application/json", bytes.NewReader(doc))
		if err == nil {
			text, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			status, answer = resp.StatusCode, string(bytes.TrimSpace(text))
			if status < 500 {
				return status, answer
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return status, answer
}

// ready reports whether a front machine is ready.
func (w *world) ready(p *process) bool {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/v1/readyz", p.ip, w.ports.ready))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// controlAddr returns the address of a control host for operators.
func (w *world) controlAddr(p *process) string { return fmt.Sprintf("%s:%d", p.ip, w.ports.control) }

// awaitReady waits until all front machines are ready.
func (w *world) awaitReady(limit time.Duration) bool {
	for began := time.Now(); time.Since(began) < limit; time.Sleep(50 * time.Millisecond) {
		all := true
		for _, p := range w.fronts {
			all = all && w.ready(p)
		}
		if all {
			return true
		}
	}
	return false
}

// entry is an entry of the platform's list.
type entry struct {
	ID       string `json:"id"`
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	ColdLeft int    `json:"cold_left_ms"`
	Stage    string `json:"stage,omitempty"`
	Models   any    `json:"models,omitempty"`
}

// platformList is the platform's list of runners.
type platformList struct {
	addr string
	mu   sync.Mutex
	all  []entry
}

func (l *platformList) start(addr string) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	l.addr = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, _ *http.Request) {
		l.mu.Lock()
		raw, err := json.Marshal(map[string]any{"instances": l.all, "next_token": nil})
		l.mu.Unlock()
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(raw)
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	return nil
}

func (l *platformList) set(all []entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = all
}

// run is one request that a runner began to work on.
type run struct {
	id, tenant string
	tokens     int
	at         time.Time
}

// runner is a sound runner of the platform's pages.
type runner struct {
	id, service, zone, addr string
	slots                   int
	// work is the time of a run; an engine writes its events in that time.
	work   time.Duration
	engine bool
	// events is the number of events of a stream, and version the version of the software.
	events  int
	version string
	mu      sync.Mutex
	runs    []run
	active  int
}

func (r *runner) start(addr string) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	r.addr = listener.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	return nil
}

func (r *runner) entry() entry {
	e := entry{ID: r.id, Service: r.service, Address: r.addr, Zone: r.zone, Version: r.softwareVersion(), Slots: r.slots, State: "ready"}
	if r.engine {
		e.Stage, e.Models = "both", []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
	}
	return e
}

func (r *runner) softwareVersion() string {
	if r.version == "" {
		return "v1"
	}
	return r.version
}

func (r *runner) serve(w http.ResponseWriter, q *http.Request) {
	switch q.URL.Path {
	case "/healthz":
		w.Header().Set("X-Dragonflycroft-Instance-Id", r.id)
		w.WriteHeader(http.StatusOK)
		return
	case "/v1/report":
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":0,"waiting":0,"running":0,"kv_used":0,"kv_total":494091,"kv_handles":0}`)
		return
	}
	id := q.Header.Get("X-Dragonflycroft-Attempt-Id")
	w.Header().Set("X-Dragonflycroft-Attempt-Id", id)
	refuse := func(status int) {
		w.Header().Set("X-Dragonflycroft-Not-Executed", "1")
		w.WriteHeader(status)
	}
	if expected := q.Header.Get("X-Dragonflycroft-Expect-Instance"); expected != "" && expected != r.id {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		refuse(http.StatusBadRequest)
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	r.mu.Lock()
	if r.active >= 2*r.slots {
		r.mu.Unlock()
		refuse(http.StatusServiceUnavailable)
		return
	}
	r.active++
	var in, out int
	_, _ = fmt.Sscanf(q.Header.Get("X-Dragonflycroft-Token-Count"), "%d,%d", &in, &out)
	r.runs = append(r.runs, run{id: id, tenant: q.Header.Get("X-Dragonflycroft-Tenant"), tokens: in + out, at: time.Now()})
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.active--
		r.mu.Unlock()
	}()
	w.Header().Set("X-Dragonflycroft-Server-Stamp", "stamp-"+r.id+"-"+id)
	w.Header().Set("X-Dragonflycroft-Server-Load", fmt.Sprintf("%d,0,%d", r.active, r.slots))
	if !r.engine {
		sleep(q.Context(), r.work)
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = io.WriteString(w, "answer to "+id+"\n")
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Dragonflycroft-Weight-Versions", "1")
	events, first := r.events, 0
	if events == 0 {
		events = 4
	}
	_, _ = fmt.Sscanf(q.Header.Get("Last-Event-Id"), "%d", &first)
	for i := first; i < events; i++ {
		sleep(q.Context(), r.work/time.Duration(events))
		if q.Context().Err() != nil {
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i+1, id)
		w.(http.Flusher).Flush()
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
