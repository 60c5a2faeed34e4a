// Package commander holds the commands of the operators' command line.
package commander

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"os"
	"os/signal"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/jessevdk/go-flags"

	"samphiremount.example/core/configurer"
	"samphiremount.example/core/keyer"
	"samphiremount.example/core/starter"
	"samphiremount.example/ctl/pkg/importer"
	"samphiremount.example/ctl/pkg/operator"
)

// Settings are the flags and environment variables that every command takes.
type Settings struct {
	Controls []string `long:"control" env:"SAMPHIRE_OPERATORS" env-delim:"," description:"IP address and port of a control process's listener for operators; repeat it"`
	Token    string   `long:"token-file" env:"SAMPHIRE_TOKEN_FILE" description:"File with the operators' token"`
}

// tool is what the commands share.
type tool struct {
	Settings

	ctx context.Context
	out io.Writer
}

func (t *tool) operator() (*operator.Operator, error) {
	var wrong []error
	if len(t.Controls) == 0 {
		wrong = append(wrong, errors.New("--control must be given at least once"))
	}
	token, err := starter.ReadSecret("--token-file", t.Token)
	if err != nil {
		wrong = append(wrong, err)
	}
	return operator.New(t.Controls, string(token)), starter.Join(wrong)
}

func (t *tool) change(operation string, records ...configurer.Record) error {
	caller, err := t.operator()
	if err != nil {
		return err
	}
	if operation == "" {
		operation = uuid.NewString()
	}
	receipt, err := caller.Change(t.ctx, operator.Batch{Operation: operation, Changes: records})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(t.out, "accepted in version %d\n", receipt.Version)
	return errors.Wrap(err, "write")
}

// Main runs the command line and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	shared := &tool{ctx: ctx, out: out}
	parser := flags.NewNamedParser("samphire", flags.HelpFlag|flags.PassDoubleDash)
	if err := addCommands(parser, shared); err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return starter.ExitFailed
	}
	_, err := parser.ParseArgs(args)
	var flagsError *flags.Error
	switch {
	case err == nil:
		return starter.ExitOK
	case errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(out, flagsError.Message)
		return starter.ExitOK
	case errors.As(err, &flagsError):
		_, _ = fmt.Fprintln(errOut, err)
		return starter.ExitSettings
	default:
		_, _ = fmt.Fprintln(errOut, err)
		return starter.ExitFailed
	}
}

func addCommands(parser *flags.Parser, shared *tool) error {
	if _, err := parser.AddGroup("Settings", "", &shared.Settings); err != nil {
		return errors.Wrap(err, "settings")
	}
	keys, err := parser.AddCommand("keys", "Issue and withdraw keys", "", &struct{}{})
	if err != nil {
		return errors.Wrap(err, "keys")
	}
	sheet, err := parser.AddCommand("sheet", "Apply the planners' sheet", "", &struct{}{})
	if err != nil {
		return errors.Wrap(err, "sheet")
	}
	add := func(parent *flags.Command, name, short string, command any) {
		if err == nil {
			_, err = parent.AddCommand(name, short, "", command)
		}
	}
	add(keys, "issue", "Issue a key and show it once", &keysIssue{tool: shared})
	add(keys, "withdraw", "Withdraw a key for good", &keysWithdraw{tool: shared})
	add(sheet, "apply", "Apply a sheet as one change", &sheetApply{tool: shared})
	add(parser.Command, "nodes", "List nodes and their targets", &nodes{tool: shared})
	add(parser.Command, "version", "Show the versions in force", &version{tool: shared})
	return errors.Wrap(err, "commands")
}

type keysIssue struct {
	*tool `no-flag:"true"`

	Workspace string `long:"workspace" required:"yes" description:"Workspace that requests with the key run for"`
}

// Execute implements flags.Commander.
func (c *keysIssue) Execute([]string) error {
	key, err := keyer.New(rand.Reader)
	if err != nil {
		return err
	}
	record := configurer.NewRecord(configurer.IssueKey{
		Key: configurer.Key{ID: key.ID, Workspace: c.Workspace, Digest: key.Digest()},
	})
	if err := c.change("", record); err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.out, "key %s\n%s\n", key.ID, key.Reveal())
	return errors.Wrap(err, "write")
}

type keysWithdraw struct {
	*tool `no-flag:"true"`

	Arguments struct {
		ID string `positional-arg-name:"ID" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *keysWithdraw) Execute([]string) error {
	return c.change("", configurer.NewRecord(configurer.WithdrawKey{ID: c.Arguments.ID}))
}

type sheetApply struct {
	*tool `no-flag:"true"`

	Arguments struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *sheetApply) Execute([]string) error {
	file, err := os.Open(c.Arguments.File)
	if err != nil {
		return errors.Wrap(err, "open sheet")
	}
	defer func() { _ = file.Close() }()
	records, err := importer.Parse(file)
	if err != nil {
		return err
	}
	return c.change("", records...)
}

type nodes struct {
	*tool `no-flag:"true"`
}

// Execute implements flags.Commander.
func (c *nodes) Execute([]string) error {
	caller, err := c.operator()
	if err != nil {
		return err
	}
	reply, err := caller.Nodes(c.ctx)
	for _, node := range reply.Nodes {
		_, _ = fmt.Fprintf(c.out, "node %s %s %s gone=%t\n", node.Name, node.Centre, node.Entry, node.Gone)
		for _, target := range node.Targets {
			_, _ = fmt.Fprintf(c.out, "target %s %s slots=%d\n", target.Name, target.Service, target.Slots)
		}
	}
	return err
}

type version struct {
	*tool `no-flag:"true"`
}

// Execute implements flags.Commander.
func (c *version) Execute([]string) error {
	caller, err := c.operator()
	if err != nil {
		return err
	}
	reply, err := caller.Version(c.ctx)
	_, _ = fmt.Fprintf(c.out, "version %d\n", reply.Version)
	for name, applied := range reply.Applied {
		_, _ = fmt.Fprintf(c.out, "node %s %d\n", name, applied)
	}
	return err
}
