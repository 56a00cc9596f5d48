package main

import (
	"bytes"
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/logwriter"
	"github.com/dragonflycroft/dragonflycroft/platform"
)

// logFlushTimeout limits the time for writing the remaining log lines when the process ends.
const logFlushTimeout = 200 * time.Millisecond

type platformCommand struct {
	SharedKey   string `help:"Key that all hosts share, at least 16 bytes; use the environment." default:""`
	MetricsPort string `help:"Port of the metrics; 0 for none." default:"0"`
	Verbosity   string `help:"Log verbosity, 0 to 4." default:"0" short:"v"`
}

// Help is shown by platform --help.
func (platformCommand) Help() string {
	return `Runs the role that the platform's settings file names: an entry host that forwards requests by the operators' routes, or a
control host that keeps the configuration. The environment variable ` + platform.SettingsVariable + ` holds the path of the file.`
}

// Run runs the role until SIGTERM or SIGINT.
func (p *platformCommand) Run() error {
	c := &checker{}
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		c.problems = append(c.problems, "the environment variable "+platform.SettingsVariable+" is required")
	}
	if len(p.SharedKey) < minKeyBytes {
		c.addProblem("shared-key", "must have at least %d bytes", minKeyBytes)
	}
	const maxPort = 65535
	port := c.number("metrics-port", p.MetricsPort, 0)
	if port > maxPort {
		c.addProblem("metrics-port", "is %d; it must be at most %d", port, maxPort)
	}
	if n := c.number("verbosity", p.Verbosity, 0); n > 4 {
		c.addProblem("verbosity", "is %d; it must be at most 4", n)
	}
	if err := c.err(); err != nil {
		return err
	}
	logs, err := logToStdout(p.Verbosity)
	if err != nil {
		return err
	}
	defer logs.Close(logFlushTimeout)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return platform.Run(ctx, platform.Options{SettingsPath: path, Key: []byte(p.SharedKey), MetricsPort: port})
}

// logToStdout sends the log to standard output through a writer that never blocks the caller.
func logToStdout(verbosity string) (*logwriter.Writer, error) {
	logging := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(logging)
	for name, value := range map[string]string{"logtostderr": "false", "stderrthreshold": "FATAL", "v": verbosity} {
		if err := logging.Set(name, value); err != nil {
			return nil, err
		}
	}
	answered := []byte(`outcome="answered"`)
	w := &logwriter.Writer{Output: os.Stdout, LowPriority: func(line []byte) bool { return bytes.Contains(line, answered) }}
	klog.SetOutput(w)
	return w, nil
}
