// The standin command runs a stand-in for every endpoint of a configuration document.
//
// It lets a developer run the system without real engines:
//
//	go run ./cmd/standin --config examples/kessler.json
package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/emulator"
	"github.com/dragonflycroft/dragonflycroft/internal/standin"
)

// settings are the flags of the command.
type settings struct {
	Config    string        `help:"Configuration document whose endpoints are served." required:"" type:"existingfile" env:"DRAGONFLYCROFT_STANDIN_CONFIG"`
	HostList  string        `help:"Address that serves the platform's host list." default:"127.0.0.1:9090" env:"DRAGONFLYCROFT_STANDIN_HOST_LIST"`
	Lag       time.Duration `help:"Age of load reports, cache events and the host list." default:"2s" env:"DRAGONFLYCROFT_STANDIN_LAG"`
	CacheGaps int           `help:"Drop every n-th cache event." default:"50" env:"DRAGONFLYCROFT_STANDIN_CACHE_GAPS"`
}

func main() {
	var s settings
	kong.Parse(&s, kong.Name("standin"), kong.Description("Runs stand-in endpoints for a configuration document."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, s); err != nil {
		klog.Errorf("standin: %v", err)
		klog.Flush()
		os.Exit(1)
	}
}

func run(ctx context.Context, s settings) error {
	data, err := os.ReadFile(s.Config)
	if err != nil {
		return eris.Wrap(err, "read configuration")
	}
	cfg, err := configurer.Decode(data)
	if err != nil {
		return err
	}
	list := &standin.HostList{ListenAddr: s.HostList, Lag: s.Lag}
	if err := list.Start(); err != nil {
		return err
	}
	closers := []io.Closer{list}
	defer func() {
		for _, c := range closers {
			_ = c.Close()
		}
	}()
	kinds := make(map[string]string)
	for _, p := range cfg.Pools {
		kinds[p.Name] = p.Kind
	}
	records := &standin.Records{}
	for _, e := range cfg.Endpoints {
		c, err := startEndpoint(e, kinds[e.Pool], s, records)
		if err != nil {
			return eris.Wrapf(err, "start endpoint %s", e.Name)
		}
		closers = append(closers, c)
		list.Set(e.Name, "live")
	}
	klog.Infof("standin: serving endpoints=%d host_list=%s", len(cfg.Endpoints), list.Addr())
	<-ctx.Done()
	klog.Infof("standin: stopping dispatches=%d", len(records.Dispatches()))
	return nil
}

func startEndpoint(e configurer.Endpoint, kind string, s settings, records *standin.Records) (io.Closer, error) {
	if kind == configurer.KindService {
		service := &standin.Service{Name: e.Name, ListenAddr: e.Address, Latency: 20 * time.Millisecond, Records: records}
		return service, service.Start()
	}
	model, ok := emulator.HardwareOptions(e.Hardware)
	if !ok {
		model, _ = emulator.HardwareOptions("g2")
	}
	engine := &standin.Engine{
		Name: e.Name, ListenAddr: e.Address, Model: model, Models: e.Models, ChecksFencing: e.ChecksFencing,
		LoadLag: s.Lag, CacheLag: s.Lag, CacheGapEvery: s.CacheGaps, RestartAfter: 2 * time.Second, Records: records,
	}
	return engine, engine.Start()
}
