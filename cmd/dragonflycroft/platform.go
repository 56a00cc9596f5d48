package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rotisserie/eris"

	"github.com/dragonflycroft/dragonflycroft/platform"
)

type platformCommand struct {
	SharedKey string `help:"Key that all hosts share, at least 16 bytes; use the environment." default:""`
}

// Help is shown by platform --help.
func (platformCommand) Help() string {
	return `Runs the role that the platform's settings file names: an entry host that forwards requests by the operators' routes, or a
control host that keeps the configuration. The environment variable ` + platform.SettingsVariable + ` holds the path of the file.`
}

// Run runs the role until a signal ends it.
func (c *platformCommand) Run() error {
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		return &settingsError{problems: []string{platform.SettingsVariable + ": is required"}}
	}
	if len(c.SharedKey) < minKeyBytes {
		return eris.Errorf("--shared-key must have at least %d bytes", minKeyBytes)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return platform.Run(ctx, path, []byte(c.SharedKey))
}
