// The dragonflycroft command runs entry hosts and sends operators' requests to them.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kong"

	"github.com/dragonflycroft/dragonflycroft"
	"github.com/dragonflycroft/dragonflycroft/internal/commander"
)

// Exit codes.
const (
	exitOK          = 0
	exitFailure     = 1
	exitUsage       = 2
	exitCutOff      = 3
	exitRefused     = 4
	exitUnreachable = 5
)

const description = `dragonflycroft schedules requests of callers over model engines and plain services of unequal speed.

Every flag can also be given as an environment variable: --caller-listen is DRAGONFLYCROFT_CALLER_LISTEN. Secrets belong
into the environment, since command lines are visible to other users of a machine.

Exit codes:
  0  done; for serve: stopped as planned, and every accepted request has finished
  1  failed
  2  wrong command line or settings; all wrong settings are listed
  3  stopped by a second signal or at the drain timeout; the requests that were cut off are listed
  4  refused by the system, for example a patch against an old version
  5  no host answered; a change may have been made and can be sent again under the same id`

// cli is the command line.
type cli struct {
	Serve    serveCommand    `cmd:"" help:"Run an entry host."`
	Version  versionCommand  `cmd:"" help:"Print the version."`
	Replay   replayCommand   `cmd:"" help:"Replay recorded traces on virtual time and compare the measures."`
	Demo     demoCommand     `cmd:"" help:"Run three entry hosts and stand-in endpoints in one process with a mixed flood."`
	Config   configCommand   `cmd:"" help:"Read or change the configuration."`
	Members  membersCommand  `cmd:"" help:"Read or change the control hosts."`
	Status   statusCommand   `cmd:"" help:"Show the state of a host."`
	Drain    drainCommand    `cmd:"" help:"Stop new work at endpoints, or allow it again."`
	Platform platformCommand `cmd:"" help:"Run the role that the settings file of the platform names."`
	Explain  explainCommand  `cmd:"" help:"Tell the story of one request from log files."`
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// exitError is the panic value with which the parser's exit function returns its exit code to run.
type exitError struct{ code int }

// Error implements error.
func (e *exitError) Error() string { return fmt.Sprintf("exit %d", e.code) }

// run executes the command line and returns the exit code.
func run(args []string, stdout, stderr io.Writer) (code int) {
	defer func() {
		// After printing help, kong calls the exit function below. It panics instead of calling os.Exit, so that it does not end
		// a process that embeds run.
		if e, ok := recover().(*exitError); ok {
			code = e.code
		}
	}()
	var c cli
	parser, err := kong.New(&c,
		kong.Name("dragonflycroft"),
		kong.Description(description),
		kong.DefaultEnvars("DRAGONFLYCROFT"),
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { panic(&exitError{code: code}) }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, WrapUpperBound: 120}),
		kong.BindTo(stdout, (*io.Writer)(nil)),
	)
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "dragonflycroft: %v\n", err)
		return exitFailure
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "dragonflycroft: %v\nRun \"dragonflycroft --help\" for the flags.\n", err)
		return exitUsage
	}
	if err := parsed.Run(); err != nil {
		_, _ = fmt.Fprintf(stderr, "dragonflycroft: %v\n", err)
		return exitCode(err)
	}
	return exitOK
}

func exitCode(err error) int {
	var (
		settings    *settingsError
		cut         *dragonflycroft.CutOffError
		refused     *commander.RefusedError
		unreachable *commander.UnreachableError
		findings    *findingsError
	)
	switch {
	case errors.As(err, &findings) && findings.errors > 0:
		return exitUsage
	case errors.As(err, &settings):
		return exitUsage
	case errors.As(err, &cut):
		return exitCutOff
	case errors.As(err, &unreachable):
		return exitUnreachable
	case errors.As(err, &refused):
		return exitRefused
	}
	return exitFailure
}

type versionCommand struct{}

// Run prints the version in the build information.
func (versionCommand) Run(out io.Writer) error {
	version, revision := "(devel)", "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = s.Value
			}
		}
	}
	_, err := fmt.Fprintf(out, "dragonflycroft %s revision %s\n", version, revision)
	return err
}
