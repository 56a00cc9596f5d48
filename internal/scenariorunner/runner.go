package scenariorunner

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/launcher"
	"github.com/dragonflycroft/dragonflycroft/internal/standin"
)

// Runner runs scenarios. Set the exported fields before Run.
type Runner struct {
	// Binary is the path of the dragonflycroft program.
	Binary string
	// Dir is the parent of the log files and data folders.
	Dir string
	// Config is the first configuration; the addresses of its endpoints are replaced by those of stand-ins.
	Config []byte
	// Logf receives one line per step.
	Logf func(format string, args ...any)

	cluster        *launcher.Cluster
	loads          map[string]*load
	versions       map[string]uint64
	leaving        map[string]leavingEndpoint
	versionReverts int
	stopFailures   int
}

// leavingEndpoint holds the number of dispatches that an endpoint had received 5 s after it was marked as leaving. dispatches is
// valid once recorded is true.
type leavingEndpoint struct {
	since      time.Time
	dispatches int
	recorded   bool
}

// verbs maps each verb of a scenario to the function that executes it.
var verbs map[string]func(r *Runner, ctx context.Context, s Step) error

func init() {
	verbs = map[string]func(r *Runner, ctx context.Context, s Step) error{
		"cluster": (*Runner).stepCluster,
		"load":    (*Runner).stepLoad,
		"wait":    (*Runner).stepWait,
		"sleep":   (*Runner).stepSleep,
		"kill":    (*Runner).stepKill,
		"start":   (*Runner).stepStart,
		"stop":    (*Runner).stepStop,
		"pause":   (*Runner).stepPause,
		"resume":  (*Runner).stepResume,
		"cut":     (*Runner).stepCut,
		"heal":    (*Runner).stepHeal,
		"mute":    (*Runner).stepMute,
		"wipe":    (*Runner).stepWipe,
		"join":    (*Runner).stepJoin,
		"patch":   (*Runner).stepPatch,
		"race":    (*Runner).stepRace,
		"version": (*Runner).stepVersion,
		"engine":  (*Runner).stepEngine,
		"leave":   (*Runner).stepLeave,
		"expect":  (*Runner).stepExpect,
	}
}

// Run executes the steps and returns the report of the checks.
func (r *Runner) Run(ctx context.Context, steps []Step) (*Report, error) {
	r.loads = make(map[string]*load)
	r.versions = make(map[string]uint64)
	r.leaving = make(map[string]leavingEndpoint)
	defer func() {
		if r.cluster != nil {
			r.cluster.Close()
		}
	}()
	for _, s := range steps {
		started := time.Now()
		if err := verbs[s.Verb](r, ctx, s); err != nil {
			return nil, &StepError{Line: s.Line, Verb: s.Verb, Err: err}
		}
		r.observeVersions(ctx)
		r.recordLeaving()
		r.Logf("line %d: %s %v %v took %v", s.Line, s.Verb, s.Args, s.Options, time.Since(started).Round(time.Millisecond))
	}
	for _, l := range r.loads {
		l.wg.Wait()
	}
	r.observeVersions(ctx)
	return r.checkOutcomes(), nil
}

func (r *Runner) stepCluster(ctx context.Context, s Step) error {
	if r.cluster != nil {
		return errors.New("the cluster is already running")
	}
	hosts, err1 := s.intOption("hosts", 6)
	voters, err2 := s.intOption("voters", 3)
	if err := errors.Join(err1, err2); err != nil {
		return err
	}
	config, err := configurer.Decode(r.Config)
	if err != nil {
		return err
	}
	c := &launcher.Cluster{
		Binary: r.Binary, Dir: r.Dir, Config: config, Records: &standin.Records{},
		Engines: make(map[string]*standin.Engine), Services: make(map[string]*standin.Service),
		HostList: &standin.HostList{ListenAddr: "127.0.0.1:0", Lag: time.Second},
	}
	r.cluster = c
	if err := c.HostList.Start(); err != nil {
		return err
	}
	if err := c.StartEndpoints(time.Second, 2*time.Second); err != nil {
		return err
	}
	for i := range hosts {
		h, err := c.NewHost(i, i < voters, i < voters)
		if err != nil {
			return err
		}
		c.Hosts = append(c.Hosts, h)
	}
	for _, h := range c.Hosts {
		if err := c.Start(h); err != nil {
			return err
		}
	}
	if err := c.Bootstrap(ctx); err != nil {
		return err
	}
	return r.waitReady(ctx)
}

func (r *Runner) waitReady(ctx context.Context) error {
	for _, h := range r.cluster.Hosts {
		if h.Running() && !h.Stopping {
			if err := r.cluster.WaitReady(ctx, h); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *Runner) stepLoad(ctx context.Context, s Step) error {
	w, err := s.workload(r.cluster)
	if err != nil {
		return err
	}
	if _, exists := r.loads[w.name]; exists {
		return fmt.Errorf("load %q already exists", w.name)
	}
	l := &load{}
	r.loads[w.name] = l
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		finished := &load{}
		w.run(ctx, finished)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.results = finished.results
	}()
	return nil
}

func (r *Runner) stepWait(ctx context.Context, s Step) error {
	if len(s.Args) == 0 || s.Args[0] == "ready" {
		return r.waitReady(ctx)
	}
	l, ok := r.loads[s.Args[0]]
	if !ok {
		return fmt.Errorf("unknown load %q", s.Args[0])
	}
	l.wg.Wait()
	return nil
}

func (r *Runner) stepSleep(ctx context.Context, s Step) error {
	d, err := s.durationArg(0)
	if err != nil {
		return err
	}
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// observeVersions checks that the configuration version in force on a host never decreases during the life of its process.
func (r *Runner) observeVersions(ctx context.Context) {
	if r.cluster == nil {
		return
	}
	for _, h := range r.cluster.Hosts {
		if !h.Running() {
			continue
		}
		v, err := r.cluster.Version(ctx, h)
		if err != nil || v == 0 {
			// A paused host does not respond, and a restarted one has no version in force until it has confirmed one.
			continue
		}
		if v < r.versions[h.ID] {
			r.versionReverts++
			r.Logf("%s: configuration version decreased from %d to %d", h.ID, r.versions[h.ID], v)
		}
		r.versions[h.ID] = v
	}
}

// recordLeaving records the dispatches of endpoints that have been leaving for more than 5 s.
func (r *Runner) recordLeaving() {
	for name, mark := range r.leaving {
		if !mark.recorded && time.Since(mark.since) > 5*time.Second {
			mark.recorded, mark.dispatches = true, r.cluster.Records.ByEndpoint()[name]
			r.leaving[name] = mark
		}
	}
}

func (r *Runner) dispatchesAfterLeaving() int {
	breaches := 0
	for name, mark := range r.leaving {
		if mark.recorded {
			breaches += r.cluster.Records.ByEndpoint()[name] - mark.dispatches
		}
	}
	return breaches
}

// RunFile parses and runs the scenario in a file.
func (r *Runner) RunFile(ctx context.Context, path string) (*Report, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "open scenario")
	}
	defer func() { _ = f.Close() }()
	steps, err := Parse(f)
	if err != nil {
		return nil, eris.Wrapf(err, "parse %s", path)
	}
	return r.Run(ctx, steps)
}
