package main

import (
	"flag"
	"io"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft"
	"github.com/dragonflycroft/dragonflycroft/internal/demonstrator"
)

type demoCommand struct {
	Duration string `help:"Length of the flood." default:"20s"`
	Flood    string `help:"Bulk requests per second." default:"100"`
	Seed     string `help:"Seed of the random times and lengths." default:"1"`
	Logs     bool   `help:"Show the log lines of the entry hosts."`
}

// Help is shown by demo --help.
func (demoCommand) Help() string {
	return `Three entry hosts, which are also the control hosts, and stand-ins for the endpoints of examples/kessler.json run in this
process on loopback addresses. Counter chat, orders, quotes and a flood of bulk work arrive at random times. The table shows
goodput (requests done within the targets of their tier, of those offered), and lost, duplicated and shed requests. Work that
still waits 5 s after the flood is withdrawn by its callers. Ctrl-C ends the flood earlier.`
}

// Run runs the demo and prints its table to out.
func (d *demoCommand) Run(out io.Writer) error {
	c := &checker{}
	duration := c.duration("duration", d.Duration, time.Second)
	rate, err := strconv.ParseFloat(d.Flood, 64)
	if err != nil || rate < 0 || rate > 1000 {
		c.addProblem("flood", "is %q, which is no number from 0 to 1000", d.Flood)
	}
	seed := c.number("seed", d.Seed, 0)
	if err := c.err(); err != nil {
		return err
	}
	if !d.Logs {
		logging := flag.NewFlagSet("klog", flag.ContinueOnError)
		klog.InitFlags(logging)
		for name, value := range map[string]string{"logtostderr": "false", "stderrthreshold": "FATAL"} {
			if err := logging.Set(name, value); err != nil {
				return err
			}
		}
		klog.SetOutput(io.Discard)
	}
	demo := &demonstrator.Demonstrator{
		Document: dragonflycroft.ExampleConfig, Duration: duration, BulkPerSecond: rate, Seed: uint64(seed), Out: out,
	}
	return runUntilSignal(demo.Run, func() {})
}
