package main

import (
	"context"
	"crypto/rand"
	"flag"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft"
	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/connector"
	"github.com/dragonflycroft/dragonflycroft/internal/executor"
	"github.com/dragonflycroft/dragonflycroft/internal/resumer"
)

// serveCommand holds the settings of an entry host. They are strings, so that parse can report all invalid ones together.
type serveCommand struct {
	HostID         string `help:"Unique name of this host." group:"Host"`
	Zone           string `help:"Availability zone of this host." group:"Host"`
	CallerListen   string `help:"Address for callers, IP:PORT." default:"0.0.0.0:8080" group:"Host"`
	OperatorListen string `help:"Address for operators, IP:PORT; empty for none." default:"" group:"Host"`
	PeerListen     string `help:"Address for other hosts, IP:PORT." default:"0.0.0.0:8090" group:"Host"`
	PeerAdvertise  string `help:"Address at which other hosts reach this one; the peer listen address if empty." default:"" group:"Host"`
	SharedKey      string `help:"Key that all hosts share, at least 16 bytes; use the environment." default:"" group:"Host"`
	OperatorTokens string `help:"NAME=SHA256,... with the hexadecimal digest of each operator's token." default:"" group:"Host"`
	HostList       string `help:"Address of the platform's list of live and leaving endpoints, IP:PORT; empty for none." default:"" group:"Host"`
	Verbosity      string `help:"Log verbosity, 0 to 4." default:"0" short:"v" group:"Host"`

	ControlHosts string `help:"ID=IP:PORT,... of the control hosts' peer addresses." default:"" group:"Control"`
	DataDir      string `help:"Data folder; a host with one is a control host." default:"" group:"Control"`
	Bootstrap    bool   `help:"Form the cluster from the control hosts when the data folder is empty." group:"Control"`
	TrialConfig  string `help:"Configuration file for a trial with this host alone. Nothing is replicated, and orders are forgotten with the process." default:"" group:"Control"`

	ConnectTimeout   string `help:"Limit of a connect to an endpoint." default:"500ms" group:"Endpoints"`
	FirstByteTimeout string `help:"Limit until an endpoint begins to answer." default:"5s" group:"Endpoints"`
	GapTimeout       string `help:"Limit of silence within an answer before it is resumed." default:"5s" group:"Endpoints"`
	RunTimeout       string `help:"Limit of a whole run." default:"15m" group:"Endpoints"`
	ResumeAttempts   string `help:"Attempts to resume an answer without a new chunk." default:"8" group:"Endpoints"`
	PollInterval     string `help:"Time between two load reports of an endpoint." default:"500ms" group:"Endpoints"`
	LedgerTimeout    string `help:"Limit of one commit to the ledger of orders." default:"2s" group:"Endpoints"`

	MaxBody      string `help:"Largest request body." default:"8MiB" group:"Callers"`
	MaxHeader    string `help:"Largest request header." default:"64KiB" group:"Callers"`
	BodyMemory   string `help:"Memory for request bodies; when it is full, reading further bodies is delayed." default:"256MiB" group:"Callers"`
	ClientMemory string `help:"Memory for callers' connections, request headers and bodies together; when it is full, the connection that holds most and makes the least progress is closed. If empty, twice the memory for bodies, and half of GOMEMLIMIT at most." default:"" group:"Callers"`
	MaxConns     string `help:"Open connections of callers; above it, the same order decides. 0 for half of the process's descriptors." default:"0" group:"Callers"`
	ReadTimeout  string `help:"Limit of a pause while a request is read." default:"30s" group:"Callers"`
	WriteTimeout string `help:"Limit of a pause while an answer is written." default:"30s" group:"Callers"`
	IdleTimeout  string `help:"Limit of an idle connection." default:"2m" group:"Callers"`
	BodyTimeout  string `help:"Limit of reading a whole body." default:"1m" group:"Callers"`
	KeptMemory   string `help:"Memory for answers kept for fetches and repeated keys." default:"256MiB" group:"Callers"`
	KeptFor      string `help:"Time for which finished answers are kept." default:"5m" group:"Callers"`
	Linger       string `help:"Time for which a run without a caller continues." default:"30s" group:"Callers"`

	BalancerDelay string `help:"Time between unready and the end of service in a planned stop." default:"1s" group:"Stop"`
	DrainTimeout  string `help:"Limit of the wait for accepted requests in a planned stop; 0s for none." default:"0s" group:"Stop"`
}

// Help is shown by serve --help.
func (serveCommand) Help() string {
	return `An entry host takes callers' requests at --caller-listen. Hosts find each other through --control-hosts.

First start of three control hosts, each with its own id and addresses:
  DRAGONFLYCROFT_SHARED_KEY=... dragonflycroft serve --host-id=a --zone=z1 --data-dir=/var/lib/dragonflycroft --bootstrap \
    --peer-listen=10.0.0.1:8090 --control-hosts=a=10.0.0.1:8090,b=10.0.0.2:8090,c=10.0.0.3:8090
Entry hosts without a disk leave out --data-dir and --bootstrap. Then give the system its first configuration:
  dragonflycroft config patch --base=0 --file=config.json

A trial of one host alone:
  dragonflycroft serve --host-id=a --zone=z1 --trial-config=examples/kessler.json

SIGTERM or SIGINT stops as planned: /readyz turns 503, and after --balancer-delay the host hands its roles over, lets each
accepted request finish and exits with 0. A second signal ends the process at once; it lists the requests that it cut off
and exits with 3.`
}

// settings are the parsed settings.
type settings struct {
	node        *dragonflycroft.Node
	controllers map[string]string
	operators   map[string]string
	trialConfig *configurer.Config
}

// parse parses and validates the settings. The error lists every problem.
func (s *serveCommand) parse() (*settings, error) {
	c := &checker{}
	c.name("host-id", s.HostID)
	c.name("zone", s.Zone)
	c.address("caller-listen", s.CallerListen)
	c.address("peer-listen", s.PeerListen)
	for _, optional := range []struct{ flag, text string }{
		{"operator-listen", s.OperatorListen}, {"peer-advertise", s.PeerAdvertise}, {"host-list", s.HostList},
	} {
		if optional.text != "" {
			c.address(optional.flag, optional.text)
		}
	}
	out := &settings{controllers: c.pairs("control-hosts", s.ControlHosts)}
	out.operators = c.pairs("operator-tokens", s.OperatorTokens)
	c.digests("operator-tokens", out.operators)
	s.checkControl(c, out)
	if n := c.number("verbosity", s.Verbosity, 0); n > 4 {
		c.addProblem("verbosity", "is %d; it must be at most 4", n)
	}
	out.node = s.newNode(c)
	return out, c.err()
}

func (s *serveCommand) checkControl(c *checker, out *settings) {
	if s.TrialConfig != "" {
		out.trialConfig = c.document("trial-config", s.TrialConfig)
		s.PeerListen, s.PeerAdvertise, s.SharedKey = "127.0.0.1:0", "", rand.Text()
		if s.ControlHosts != "" || s.DataDir != "" || s.Bootstrap || s.OperatorListen != "" {
			c.addProblem("trial-config", "excludes --control-hosts, --data-dir, --bootstrap and --operator-listen")
		}
		return
	}
	for _, addr := range out.controllers {
		c.address("control-hosts", addr)
	}
	if len(out.controllers) == 0 {
		c.addProblem("control-hosts", "is missing; use --trial-config for a trial of one host")
	}
	if ip, _, err := net.SplitHostPort(s.PeerListen); err == nil && s.PeerAdvertise == "" && net.ParseIP(ip).IsUnspecified() {
		c.addProblem("peer-advertise", "is missing; other hosts cannot reach %s", s.PeerListen)
	}
	if len(s.SharedKey) < minKeyBytes {
		c.addProblem("shared-key", "has %d bytes; it must have at least %d (set DRAGONFLYCROFT_SHARED_KEY)", len(s.SharedKey), minKeyBytes)
	}
	if !s.Bootstrap {
		return
	}
	if s.DataDir == "" {
		c.addProblem("bootstrap", "needs --data-dir")
	}
	if _, ok := out.controllers[s.HostID]; !ok {
		c.addProblem("bootstrap", "needs this host among --control-hosts")
	}
	if len(out.controllers)%2 == 0 {
		c.addProblem("control-hosts", "names %d hosts; the number must be odd for --bootstrap", len(out.controllers))
	}
}

// newNode builds the node and adds invalid durations, sizes and numbers to the problems of c.
func (s *serveCommand) newNode(c *checker) *dragonflycroft.Node {
	const minimum = 1 // nanosecond: zero would select a default
	n := &dragonflycroft.Node{
		HostID: s.HostID, Zone: s.Zone, PeerAddr: s.PeerListen, PeerAdvertise: s.PeerAdvertise, CallerAddr: s.CallerListen,
		Key: []byte(s.SharedKey),
		Endpoint: connector.Timeouts{
			Connect:   c.duration("connect-timeout", s.ConnectTimeout, minimum),
			FirstByte: c.duration("first-byte-timeout", s.FirstByteTimeout, minimum),
			Gap:       c.duration("gap-timeout", s.GapTimeout, minimum),
		},
		PollInterval: c.duration("poll-interval", s.PollInterval, minimum),
		Times: executor.Timeouts{
			Total:  c.duration("run-timeout", s.RunTimeout, minimum),
			Linger: c.duration("linger", s.Linger, minimum),
			Ledger: c.duration("ledger-timeout", s.LedgerTimeout, minimum),
			Resume: resumer.Limits{Attempts: c.number("resume-attempts", s.ResumeAttempts, 1)},
		},
		KeptBytes:       int(c.size("kept-memory", s.KeptMemory, 1<<20)),
		KeptFor:         c.duration("kept-for", s.KeptFor, minimum),
		MaxBodyBytes:    int(c.size("max-body", s.MaxBody, 1<<10)),
		MaxHeaderBytes:  int(c.size("max-header", s.MaxHeader, 1<<10)),
		BodyMemoryBytes: c.size("body-memory", s.BodyMemory, 1<<20),
		MaxConns:        c.number("max-conns", s.MaxConns, 0),
		ReadTimeout:     c.duration("read-timeout", s.ReadTimeout, minimum),
		WriteTimeout:    c.duration("write-timeout", s.WriteTimeout, minimum),
		IdleTimeout:     c.duration("idle-timeout", s.IdleTimeout, minimum),
		BodyTimeout:     c.duration("body-timeout", s.BodyTimeout, minimum),
		BalancerDelay:   c.duration("balancer-delay", s.BalancerDelay, 0),
		DrainTimeout:    c.duration("drain-timeout", s.DrainTimeout, 0),
	}
	if int64(n.MaxBodyBytes) > n.BodyMemoryBytes {
		c.addProblem("body-memory", "is smaller than --max-body")
	}
	if s.ClientMemory != "" {
		n.ClientMemoryBytes = c.size("client-memory", s.ClientMemory, 1<<20)
	} else {
		n.ClientMemoryBytes = min(2*n.BodyMemoryBytes, debug.SetMemoryLimit(-1)/2)
	}
	if n.ClientMemoryBytes < n.BodyMemoryBytes {
		c.addProblem("client-memory", "is smaller than --body-memory")
	}
	if n.MaxConns == 0 {
		n.MaxConns = defaultMaxConns()
	}
	if s.HostList != "" {
		n.UseHostList(s.HostList)
	}
	return n
}

// connFraction is the part of the process's descriptors that callers may use by default. The rest is for endpoints, a
// connection for each request that runs, other hosts and files.
const connFraction = 0.5

// defaultMaxConns returns the bound on callers' connections that the limit of descriptors allows; 0 if that is not known.
func defaultMaxConns() int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	return int(connFraction * float64(min(limit.Cur, math.MaxInt32)))
}

// Run serves until SIGTERM or SIGINT.
func (s *serveCommand) Run() error {
	parsed, err := s.parse()
	if err != nil {
		return err
	}
	logging := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(logging)
	if err := logging.Set("v", s.Verbosity); err != nil {
		return err
	}
	defer klog.Flush()
	node := parsed.node
	if parsed.trialConfig != nil {
		node.UseTrialControl(parsed.trialConfig)
	} else {
		node.UseReplicatedControl(dragonflycroft.ReplicatedControl{
			Controllers: parsed.controllers, DataDir: s.DataDir, Bootstrap: s.Bootstrap,
			OperatorAddr: s.OperatorListen, OperatorTokens: parsed.operators,
		})
	}
	return runUntilSignal(node.Run, node.Abort)
}

// runUntilSignal calls run. The first SIGTERM or SIGINT cancels its context, for a graceful stop, and the second calls abort.
func runUntilSignal(run func(ctx context.Context) error, abort func()) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		for _, act := range []func(){stop, abort} {
			select {
			case <-ended:
				return
			case s := <-signals:
				klog.Infof("node: received signal=%s", s)
				act()
			}
		}
	}()
	return run(ctx)
}
