package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflycroft/dragonflycroft/internal/configchecker"
	"github.com/dragonflycroft/dragonflycroft/platform"
)

const (
	// checkTimeout bounds the read of the configuration in force.
	checkTimeout = 5 * time.Second
	// maxCheckedBytes bounds the configuration in force that is read.
	maxCheckedBytes = 16 << 20
)

type configCheck struct {
	File     string `arg:"" help:"File with the configuration, in the platform's format."`
	Against  string `help:"Configuration in force: a file, or http://IP:PORT of a control host." default:""`
	MemoryMB int64  `help:"Memory of the smallest entry host in MB, to check limits against; 0 for none." default:"0" name:"memory-mb"`
	JSON     bool   `help:"Print the findings as JSON." default:"false" name:"json"`
}

// findingsError reports that a configuration has errors, or only warnings.
type findingsError struct{ errors, warnings int }

// Error implements error.
func (e *findingsError) Error() string {
	return fmt.Sprintf("%d errors, %d warnings", e.errors, e.warnings)
}

// Run checks the file.
func (c *configCheck) Run(out io.Writer) error {
	document, err := os.ReadFile(c.File)
	if err != nil {
		return eris.Wrap(err, "read configuration")
	}
	inForce, err := c.inForce()
	if err != nil {
		return err
	}
	findings, err := platform.CheckConfig(document, inForce, c.MemoryMB)
	if err != nil {
		return eris.Wrap(err, "configuration in force")
	}
	if err := c.print(out, findings); err != nil {
		return err
	}
	result := &findingsError{}
	for _, f := range findings {
		switch f.Severity {
		case configchecker.Error:
			result.errors++
		case configchecker.Warning:
			result.warnings++
		}
	}
	if result.errors+result.warnings == 0 {
		return nil
	}
	return result
}

func (c *configCheck) print(out io.Writer, findings []configchecker.Finding) error {
	if c.JSON {
		if findings == nil {
			findings = []configchecker.Finding{}
		}
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return eris.Wrap(encoder.Encode(findings), "print findings")
	}
	for _, f := range findings {
		place := c.File
		if f.Line > 0 {
			place = fmt.Sprintf("%s:%d", c.File, f.Line)
		}
		if _, err := fmt.Fprintf(out, "%s: %s: %s: %s\n", place, f.Severity, f.Path, f.Message); err != nil {
			return eris.Wrap(err, "print findings")
		}
	}
	return nil
}

// inForce returns the configuration in force, or nil if none is named.
func (c *configCheck) inForce() ([]byte, error) {
	if c.Against == "" {
		return nil, nil
	}
	if len(c.Against) < 7 || c.Against[:7] != "http://" {
		document, err := os.ReadFile(c.Against)
		return document, eris.Wrap(err, "read configuration in force")
	}
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.Against+platform.ConfigPath, nil)
	if err != nil {
		return nil, eris.Wrap(err, "read configuration in force")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "read configuration in force")
	}
	defer func() { _ = resp.Body.Close() }()
	document, err := io.ReadAll(io.LimitReader(resp.Body, maxCheckedBytes))
	if err == nil && resp.StatusCode != http.StatusOK {
		err = eris.Errorf("status %d", resp.StatusCode)
	}
	return document, eris.Wrap(err, "read configuration in force")
}
