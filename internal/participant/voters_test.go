package participant_test

import (
	"context"
	"embed"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/participant"
)

//go:embed testdata/voters.txt
var voterScripts embed.FS

const (
	targetVoters = 5
	// downTime is the time after which a host that has lost its disk starts again.
	downTime = time.Second
	// recoveryTime is the time from the return of the hosts to the check of what was acknowledged.
	recoveryTime = 12 * time.Second
	// ackTimeout is the maximum time until a configuration is acknowledged.
	ackTimeout = 4 * time.Second
)

// cluster is a set of control hosts with real logs and data folders on a fake network.
type cluster struct {
	t       *testing.T
	dir     string
	network *fakeNetwork
	seeds   map[string]string
	hosts   map[string]*host
	acked   uint64
	sent    uint64
	leaving sync.WaitGroup
}

type host struct {
	participant *participant.Participant
	transport   *fakeTransport
	bootstrap   bool
	cancel      context.CancelFunc
	done        chan struct{}
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{
		t: t, dir: t.TempDir(), network: newFakeNetwork(), hosts: map[string]*host{},
		seeds: map[string]string{"c1": "c1", "c2": "c2", "c3": "c3"},
	}
	t.Cleanup(func() {
		c.leaving.Wait()
		for _, h := range c.hosts {
			h.kill()
		}
		c.network.handlers.Wait()
	})
	return c
}

// start starts a host with the seeds as its configured control hosts if it belongs to the first start, or else with three that run.
func (c *cluster) start(id string, bootstrap bool) {
	controllers := c.seeds
	if !bootstrap {
		controllers = map[string]string{}
		for _, running := range c.ids()[:3] {
			controllers[running] = running
		}
	}
	h := &host{transport: c.network.attach(id), bootstrap: bootstrap, done: make(chan struct{})}
	h.participant = participant.New(h.transport, participant.Options{
		HostID: id, Zone: "z", Controllers: controllers, DataDir: filepath.Join(c.dir, id), Bootstrap: bootstrap && c.seeds[id] != "",
		Voters: targetVoters, RequestTimeout: 400 * time.Millisecond,
	})
	h.participant.Register()
	var ctx context.Context
	ctx, h.cancel = context.WithCancel(context.Background())
	go func() {
		defer close(h.done)
		if err := h.participant.Run(ctx); err != nil {
			c.t.Errorf("host %s: %v", id, err)
		}
	}()
	c.hosts[id] = h
}

// remove returns a host and no longer counts it among those that run.
func (c *cluster) remove(id string) *host {
	h := c.hosts[id]
	delete(c.hosts, id)
	return h
}

// kill stops the process of a host without notice. Its data folder is kept.
func (h *host) kill() {
	h.transport.turnOff()
	h.cancel()
	<-h.done
}

// leave stops a host as planned. It returns when the host has stopped.
func (c *cluster) leave(h *host) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	if err := h.participant.Leave(ctx); err != nil {
		c.t.Errorf("host %s leaves: %v", h.transport.id, err)
	}
	h.kill()
}

// lose takes the disks of hosts, which start again with empty ones.
func (c *cluster) lose(ids []string) {
	for _, id := range ids {
		c.remove(id).kill()
		if err := os.RemoveAll(filepath.Join(c.dir, id)); err != nil {
			c.t.Fatal(err)
		}
	}
	time.Sleep(downTime)
	for _, id := range ids {
		c.start(id, false)
	}
}

func (c *cluster) ids() []string {
	var ids []string
	for id := range c.hosts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// leader returns the id of the host that most recently became leader, as far as the hosts know.
func (c *cluster) leader() string {
	for _, id := range c.ids() {
		if leader, _ := c.hosts[id].participant.Agent().Leader(); c.hosts[leader] != nil {
			return leader
		}
	}
	c.t.Fatal("no leader is known")
	return ""
}

// ack submits a configuration through a host until it is acknowledged.
func (c *cluster) ack(timeout time.Duration) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	c.sent++
	if _, err := c.hosts[c.ids()[0]].participant.Client().ImportConfig(ctx, c.sent, fmt.Appendf(nil, `{"revision":%d}`, c.sent), "operator"); err != nil {
		c.t.Errorf("revision %d is not acknowledged: %v", c.sent, err)
		return
	}
	c.acked = c.sent
}

// read returns the revision that a host reads back, or an error.
func (c *cluster) read(id string) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, document, err := c.hosts[id].participant.Client().Config(ctx)
	if err != nil {
		return 0, err
	}
	cfg, err := configurer.DecodeAccepted(document)
	if err != nil || cfg.Import == nil {
		return 0, errors.Join(err, errors.New("no import"))
	}
	return cfg.Import.Revision, nil
}

func (c *cluster) duration(s string) time.Duration {
	c.t.Helper()
	d, err := time.ParseDuration(s)
	if err != nil {
		c.t.Fatal(err)
	}
	return d
}

// run runs one step of a script.
func (c *cluster) run(step string) {
	c.t.Helper()
	words := strings.Fields(step)
	if i := slices.Index(words, "leader"); i > 0 {
		words[i] = c.leader()
	}
	switch args := words[1:]; words[0] {
	case "start":
		for _, id := range args {
			c.start(id, true)
		}
	case "add":
		for _, id := range args {
			c.start(id, false)
		}
	case "wait":
		time.Sleep(c.duration(args[0]))
	case "leave":
		c.leave(c.remove(args[0]))
	case "leave-during":
		h := c.remove(args[0])
		c.leaving.Go(func() { c.leave(h) })
		time.Sleep(20 * time.Millisecond)
	case "kill":
		c.remove(args[0]).kill()
	case "isolate", "join":
		c.network.setIsolated(args[0], words[0] == "isolate")
	case "stall", "resume":
		c.network.setStalled(args[0], words[0] == "stall")
	case "ack":
		timeout := ackTimeout
		if len(args) > 0 {
			timeout = c.duration(args[0])
		}
		c.ack(timeout)
	default:
		c.t.Fatalf("unknown step %q", step)
	}
}

// TestAckedConfigurationSurvivesVoterChanges guards against the loss of an acknowledged configuration, and of the cluster, when
// control hosts are replaced and two of the others lose their disks right after an acknowledgement.
func TestAckedConfigurationSurvivesVoterChanges(t *testing.T) {
	raw, err := voterScripts.ReadFile("testdata/voters.txt")
	if err != nil {
		t.Fatal(err)
	}
	for block := range strings.SplitSeq(strings.TrimSpace(string(raw)), "\n\n") {
		name, script, _ := strings.Cut(strings.TrimPrefix(block, "# "), "\n")
		t.Run(name, func(t *testing.T) {
			steps := strings.Split(script, "\n")
			for first := range targetVoters {
				for second := range first {
					t.Run(fmt.Sprintf("lost-%d-%d", second+1, first+1), func(t *testing.T) {
						t.Parallel()
						synctest.Test(t, func(t *testing.T) { playVoterScript(t, steps, second, first) })
					})
				}
			}
		})
	}
}

// playVoterScript runs the steps of a script. The step lose-two applies to two of the hosts that run, by their order.
func playVoterScript(t *testing.T, steps []string, first, second int) {
	c := newCluster(t)
	for _, step := range steps {
		if step == "lose-two" {
			c.lose([]string{c.ids()[first], c.ids()[second]})
			continue
		}
		c.run(step)
	}
	time.Sleep(recoveryTime)
	for _, id := range c.ids() {
		got, err := c.read(id)
		if diff := cmp.Diff(c.acked, got); diff != "" || err != nil {
			t.Errorf("revision read back at %s, %v (-want +got):\n%s", id, err, diff)
		}
	}
	if status, err := c.hosts[c.ids()[0]].participant.Client().Status(t.Context()); err != nil {
		t.Errorf("no status after the recovery: %v", err)
	} else if status.GetLeader() == "" {
		t.Error("no leader after the recovery")
	}
}
