// Package demonstrator runs a complete system in one process on loopback addresses, puts it under load and reports the outcomes
// of the requests by tier.
package demonstrator

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflycroft/dragonflycroft"
	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/connector"
	"github.com/dragonflycroft/dragonflycroft/internal/controller"
	"github.com/dragonflycroft/dragonflycroft/internal/emulator"
	"github.com/dragonflycroft/dragonflycroft/internal/executor"
	"github.com/dragonflycroft/dragonflycroft/internal/lister"
	"github.com/dragonflycroft/dragonflycroft/internal/participant"
	"github.com/dragonflycroft/dragonflycroft/internal/standin"
	"github.com/dragonflycroft/dragonflycroft/internal/transporter"
)

const (
	hostCount = 3
	// reportLag is the delay of the engines' load reports and cache events.
	reportLag    = 500 * time.Millisecond
	startTimeout = 30 * time.Second
	orderLatency = 20 * time.Millisecond
)

// Demonstrator is one demonstration. Set the exported fields before Run.
type Demonstrator struct {
	// Document is the configuration; the addresses of its endpoints are replaced by those of stand-ins.
	Document []byte
	Duration time.Duration
	// BulkPerSecond is the number of bulk requests per second.
	BulkPerSecond float64
	Seed          uint64
	Out           io.Writer

	cfg          *configurer.Config
	records      *standin.Records
	list         *standin.HostList
	closers      []func() error
	nodes        []*dragonflycroft.Node
	participants []*participant.Participant
	dir          string
	running      sync.WaitGroup
	stop         context.CancelFunc
	nodeErrs     chan error
}

// Run starts the system, generates load for Duration or until ctx is done, prints the table of outcomes to Out and stops the
// system gracefully.
func (d *Demonstrator) Run(ctx context.Context) error {
	defer d.close()
	if err := d.start(ctx); err != nil {
		if ctx.Err() != nil {
			return nil
		}
		return err
	}
	d.printf("%d entry hosts, %d endpoints; flooding for %v (Ctrl-C ends earlier)\n", hostCount, len(d.cfg.Endpoints), d.Duration)
	load := newLoadGenerator(d)
	load.run(ctx)
	d.printf("%s", load.formatTable(d.records))
	return d.shutDown()
}

func (d *Demonstrator) printf(format string, args ...any) { _, _ = fmt.Fprintf(d.Out, format, args...) }

func (d *Demonstrator) start(ctx context.Context) error {
	cfg, err := configurer.Decode(d.Document)
	if err != nil {
		return err
	}
	d.cfg, d.records = cfg, &standin.Records{}
	if err := d.startEndpoints(); err != nil {
		return err
	}
	if d.dir, err = os.MkdirTemp("", "dragonflycroft-demo-"); err != nil {
		return eris.Wrap(err, "create data folder")
	}
	if err := d.startNodes(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := d.submitConfig(ctx); err != nil {
		return err
	}
	return d.waitReady(ctx)
}

// startEndpoints starts a stand-in for each endpoint of the configuration.
func (d *Demonstrator) startEndpoints() error {
	kinds := make(map[string]string)
	for _, p := range d.cfg.Pools {
		kinds[p.Name] = p.Kind
	}
	d.list = &standin.HostList{ListenAddr: "127.0.0.1:0"}
	if err := d.list.Start(); err != nil {
		return err
	}
	d.closers = append(d.closers, d.list.Close)
	for i := range d.cfg.Endpoints {
		e := &d.cfg.Endpoints[i]
		d.list.Set(e.Name, "live")
		if kinds[e.Pool] == configurer.KindService {
			s := &standin.Service{Name: e.Name, ListenAddr: "127.0.0.1:0", Latency: orderLatency, Records: d.records}
			if err := s.Start(); err != nil {
				return err
			}
			d.closers = append(d.closers, s.Close)
			e.Address = s.Addr()
			continue
		}
		model, ok := emulator.HardwareOptions(e.Hardware)
		if !ok {
			return eris.Errorf("endpoint %s: unknown hardware %q", e.Name, e.Hardware)
		}
		model.Name, model.Seed = e.Name, d.Seed+uint64(i)
		engine := &standin.Engine{
			Name: e.Name, ListenAddr: "127.0.0.1:0", Model: model, Models: e.Models, ChecksFencing: e.ChecksFencing,
			LoadLag: reportLag, CacheLag: reportLag, Records: d.records,
		}
		if err := engine.Start(); err != nil {
			return err
		}
		d.closers = append(d.closers, engine.Close)
		e.Address = engine.Addr()
	}
	return nil
}

// startNodes starts the entry hosts, which are also the control hosts. It binds the addresses of all before it runs any, since
// each host is configured with the addresses of the others.
func (d *Demonstrator) startNodes() error {
	zones := []string{"zone-a", "zone-b", "zone-c"}
	controllers := make(map[string]string)
	key := []byte(rand.Text())
	ctx, stop := context.WithCancel(context.Background())
	d.stop, d.nodeErrs = stop, make(chan error, hostCount)
	for i := range hostCount {
		id := fmt.Sprintf("host-%d", i+1)
		n := &dragonflycroft.Node{
			HostID: id, Zone: zones[i%len(zones)], PeerAddr: "127.0.0.1:0", CallerAddr: "127.0.0.1:0", Key: key,
			HostList: &lister.HTTPSource{Addr: d.list.Addr(), Timeouts: connector.DefaultTimeouts()},
			// Callers of the demo that cancel a request never reconnect to fetch its answer.
			Times: executor.Timeouts{Linger: time.Second},
		}
		n.NewControl = func(t *transporter.Transport) (dragonflycroft.Control, error) {
			controllers[id] = t.Addr()
			p := participant.New(t, participant.Options{
				HostID: id, Zone: n.Zone, Controllers: controllers, DataDir: filepath.Join(d.dir, id), Bootstrap: true,
			})
			d.participants = append(d.participants, p)
			return p, nil
		}
		if err := n.Listen(); err != nil {
			return err
		}
		d.nodes = append(d.nodes, n)
	}
	for i, n := range d.nodes {
		d.participants[i].SetControlHosts(controllers)
		d.running.Go(func() { d.nodeErrs <- n.Run(ctx) })
	}
	return nil
}

// submitConfig submits the first configuration. It retries while the control hosts are unavailable, until ctx is done.
func (d *Demonstrator) submitConfig(ctx context.Context) error {
	document, err := configurer.Encode(d.cfg)
	if err != nil {
		return eris.Wrap(err, "encode configuration")
	}
	patch := controller.Patch{ID: "demo", Body: document, Author: "demo"}
	for {
		_, err := d.participants[0].Client().PatchConfig(ctx, patch)
		var unavailable *controller.UnavailableError
		if err == nil || ctx.Err() != nil || !errors.As(err, &unavailable) {
			return err
		}
	}
}

// waitReady waits until all hosts accept requests and every pool has a coordinator.
func (d *Demonstrator) waitReady(ctx context.Context) error {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for !d.ready() {
		select {
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "wait for the entry hosts to become ready")
		case err := <-d.nodeErrs:
			return errors.Join(eris.New("an entry host exited during startup"), err)
		case <-ticker.C:
		}
	}
	return nil
}

func (d *Demonstrator) ready() bool {
	for _, n := range d.nodes {
		if n.Unready() != "" {
			return false
		}
	}
	for _, p := range d.cfg.Pools {
		if _, _, _, ok := d.participants[0].Holder(controller.PoolRole(p.Name)); !ok {
			return false
		}
	}
	return true
}

// shutDown stops the entry hosts gracefully and returns their errors.
func (d *Demonstrator) shutDown() error {
	d.stop()
	var errs []error
	for range d.nodes {
		errs = append(errs, <-d.nodeErrs)
	}
	return errors.Join(errs...)
}

func (d *Demonstrator) close() {
	if d.stop != nil {
		d.stop()
	}
	for _, n := range d.nodes {
		n.Abort()
	}
	d.running.Wait()
	for _, c := range d.closers {
		_ = c()
	}
	if d.dir != "" {
		_ = os.RemoveAll(d.dir)
	}
}
