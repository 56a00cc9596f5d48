package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/dragonflycroft/dragonflycroft/internal/correlator"
)

type explainCommand struct {
	ID    string   `arg:"" help:"Id of the request."`
	Files []string `arg:"" help:"Log files, one for each host; the name of a file is taken for the name of its host."`
}

// Help is shown by explain --help.
func (explainCommand) Help() string {
	return `Reads log files and prints what they say of one request, in order of time: what its hosts believed, each decision with its
inputs, and the outcome. Lines that cannot be read are skipped and counted. Ends with code 1 if no line names the request.`
}

// Run prints what the logs contain about the request, in order of time.
func (e *explainCommand) Run(out io.Writer) error {
	logs := make([]correlator.Log, 0, len(e.Files))
	for _, path := range e.Files {
		f, err := os.Open(path)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }()
		name := filepath.Base(path)
		logs = append(logs, correlator.Log{Host: strings.TrimSuffix(name, filepath.Ext(name)), Reader: f})
	}
	report, err := correlator.Correlate(e.ID, logs)
	if err != nil {
		return err
	}
	if len(report.Lines) == 0 {
		return fmt.Errorf("no line of %d files names the request %s (%d lines could not be read)", len(e.Files), e.ID, report.Skipped)
	}
	return report.Write(out)
}
