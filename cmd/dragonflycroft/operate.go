package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/dragonflycroft/dragonflycroft/internal/commander"
)

// operatorFlags are the flags of commands that send requests to the operators' listeners.
type operatorFlags struct {
	Operator string `help:"Operators' listeners to try in order, IP:PORT,..." default:"127.0.0.1:8070"`
	Token    string `help:"Operator's token; use the environment." default:""`
}

func (f *operatorFlags) commander() (*commander.Commander, error) {
	c := &checker{}
	addrs := strings.Split(f.Operator, ",")
	for _, a := range addrs {
		c.address("operator", a)
	}
	if f.Token == "" {
		c.addProblem("token", "is missing (set DRAGONFLYCROFT_TOKEN)")
	}
	return &commander.Commander{Addrs: addrs, Token: f.Token}, c.err()
}

// printResult calls the system and prints the response; JSON is indented.
func (f *operatorFlags) printResult(out io.Writer, call func(ctx context.Context, c *commander.Commander) ([]byte, error)) error {
	c, err := f.commander()
	if err != nil {
		return err
	}
	data, err := call(context.Background(), c)
	if err != nil {
		return err
	}
	var indented bytes.Buffer
	if json.Indent(&indented, data, "", "  ") == nil {
		data = indented.Bytes()
	}
	_, err = fmt.Fprintf(out, "%s\n", bytes.TrimSpace(data))
	return err
}

type configCommand struct {
	Get     configGet     `cmd:"" help:"Print the configuration with its version."`
	Patch   configPatch   `cmd:"" help:"Apply a JSON merge patch."`
	History configHistory `cmd:"" help:"Print the accepted versions."`
	Check   configCheck   `cmd:"" help:"Check a configuration of the platform before it is sent: errors, entries that can never match, contradictory limits, and what differs from the one in force. Exit codes: 0 nothing found, 1 warnings, 2 errors."`
}

type configGet struct{ operatorFlags }

// Run prints the configuration.
func (g *configGet) Run(out io.Writer) error {
	return g.printResult(out, func(ctx context.Context, c *commander.Commander) ([]byte, error) { return c.Config(ctx) })
}

type configPatch struct {
	operatorFlags
	Base uint64 `help:"Version that the patch was written against; 0 for the first configuration." required:""`
	ID   string `help:"Id of the patch. The same id sent again returns the first result; a random one if empty." default:"" name:"id"`
	File string `help:"File with the patch; - reads standard input." default:"-"`
}

// Run applies the patch. A random id is printed first, so that the patch can be sent again under it if the response is lost.
func (p *configPatch) Run(out io.Writer) error {
	body, err := readFile(p.File)
	if err != nil {
		return err
	}
	id := p.ID
	if id == "" {
		id = rand.Text()
		if _, err := fmt.Fprintf(os.Stderr, "patch id %s\n", id); err != nil {
			return err
		}
	}
	return p.printResult(out, func(ctx context.Context, c *commander.Commander) ([]byte, error) {
		return c.Patch(ctx, id, p.Base, body)
	})
}

func readFile(name string) ([]byte, error) {
	if name == "-" {
		data, err := io.ReadAll(os.Stdin)
		return data, eris.Wrap(err, "read standard input")
	}
	data, err := os.ReadFile(name)
	return data, eris.Wrap(err, "read patch")
}

type configHistory struct {
	operatorFlags
	From  uint64 `help:"First version." default:"1"`
	Limit int    `help:"Largest number of versions." default:"50"`
}

// Run prints the history.
func (h *configHistory) Run(out io.Writer) error {
	return h.printResult(out, func(ctx context.Context, c *commander.Commander) ([]byte, error) {
		return c.History(ctx, h.From, h.Limit)
	})
}

type membersCommand struct {
	List   membersList   `cmd:"" help:"Print the hosts."`
	Add    membersAdd    `cmd:"" help:"Add a control host as a learner, or promote a learner to a voter."`
	Remove membersRemove `cmd:"" help:"Remove a control host."`
}

type membersList struct{ operatorFlags }

// Run prints the members.
func (l *membersList) Run(out io.Writer) error {
	return l.printResult(out, func(ctx context.Context, c *commander.Commander) ([]byte, error) { return c.Members(ctx) })
}

type membersAdd struct {
	operatorFlags
	Member  string `arg:"" help:"Id of the host."`
	Addr    string `help:"Peer address of the host, IP:PORT; needed for a learner." default:""`
	Promote bool   `help:"Make a learner that has caught up a voter."`
}

// Run adds or promotes the member.
func (a *membersAdd) Run(out io.Writer) error {
	if !a.Promote {
		c := &checker{}
		c.address("addr", a.Addr)
		if err := c.err(); err != nil {
			return err
		}
	}
	return a.printResult(out, func(ctx context.Context, c *commander.Commander) ([]byte, error) {
		if a.Promote {
			return c.PromoteMember(ctx, a.Member)
		}
		return c.AddMember(ctx, a.Member, a.Addr)
	})
}

type membersRemove struct {
	operatorFlags
	Member string `arg:"" help:"Id of the host."`
}

// Run removes the member.
func (r *membersRemove) Run(out io.Writer) error {
	return r.printResult(out, func(ctx context.Context, c *commander.Commander) ([]byte, error) {
		return c.RemoveMember(ctx, r.Member)
	})
}

type statusCommand struct{ operatorFlags }

// Run prints the state of the host.
func (s *statusCommand) Run(out io.Writer) error {
	return s.printResult(out, func(ctx context.Context, c *commander.Commander) ([]byte, error) { return c.Status(ctx) })
}

type drainCommand struct {
	operatorFlags
	Undo      bool     `help:"Allow new work again."`
	Endpoints []string `arg:"" help:"Names of the endpoints."`
}

// Run sets or clears the drain flag of each endpoint in the configuration, one at a time. It stops at the first error.
func (d *drainCommand) Run(out io.Writer) error {
	for _, name := range d.Endpoints {
		err := d.printResult(out, func(ctx context.Context, c *commander.Commander) ([]byte, error) {
			return c.Drain(ctx, name, !d.Undo)
		})
		if err != nil {
			return eris.Wrapf(err, "drain %s", name)
		}
	}
	return nil
}
