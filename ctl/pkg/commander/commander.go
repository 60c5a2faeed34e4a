// Package commander implements the commands of the command line for operators.
package commander

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"samphiremount.example/core/starter"
	"samphiremount.example/ctl/pkg/client"
)

// Exit codes in addition to those that all programs share (package starter).
const (
	// ExitRefused means that nothing was changed, because the request is invalid or conflicts with another change.
	ExitRefused = 3
	// ExitNotInForce means that the change is accepted, but not yet in force on all nodes, or not yet known to all control
	// processes.
	ExitNotInForce = 4
)

var (
	errRefused    = errors.New("refused")
	errNotInForce = errors.New("not in force everywhere yet")
	errUsage      = errors.New("wrong usage")
)

// Main runs the command line and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	shared := &cli{ctx: ctx, out: out, errOut: errOut}
	parser, err := newParser(shared)
	if err == nil {
		_, err = parser.ParseArgs(args)
	}
	var flagsError *flags.Error
	if errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(out, flagsError.Message)
		return starter.ExitOK
	}
	if err != nil {
		_, _ = fmt.Fprintln(errOut, err)
	}
	return exitCode(err)
}

// exitCode returns the exit code for the error of a command.
func exitCode(err error) int {
	var flagsError *flags.Error
	var refusal *client.Refusal
	switch {
	case err == nil:
		return starter.ExitOK
	case errors.As(err, &flagsError), errors.Is(err, errUsage):
		return starter.ExitSettings
	case errors.Is(err, errNotInForce):
		return ExitNotInForce
	case errors.Is(err, errRefused), errors.As(err, &refusal) && !refusal.Kind.Answer().Retryable:
		return ExitRefused
	default:
		return starter.ExitFailed
	}
}

// newParser returns the command line parser with all commands.
func newParser(shared *cli) (*flags.Parser, error) {
	parser := flags.NewNamedParser("samphire", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Settings", "", &shared.Settings); err != nil {
		return nil, errors.Wrap(err, "add settings")
	}
	var err error
	add := func(parent *flags.Command, name, short string, command any) *flags.Command {
		var added *flags.Command
		if err == nil {
			added, err = parent.AddCommand(name, short, "", command)
		}
		return added
	}
	root := parser.Command
	add(root, "status", "Show where the newest version is not in force yet", &status{cli: shared})
	add(root, "nodes", "List nodes and their targets", &nodes{cli: shared})
	add(root, "targets", "List targets", &targets{cli: shared})
	add(root, "services", "List services with floors and announced capacity", &services{cli: shared})
	add(root, "workspaces", "List workspaces", &workspaces{cli: shared})
	add(root, "routes", "List routes", &routes{cli: shared})
	add(root, "explain", "Tell what the fleet did with a request", &explain{cli: shared})
	add(root, "timeline", "Tell from logs when and why requests were not served, and which targets got none", &timeline{cli: shared})
	add(root, "version", "Show the versions in force", &version{cli: shared})
	members := add(root, "members", "List control processes", &members{cli: shared})
	if members != nil {
		members.SubcommandsOptional = true
		add(members, "replace", "Replace a control process that lost its disk", &membersReplace{cli: shared})
	}
	evacuations := add(root, "evacuations", "List evacuated data centres", &evacuations{cli: shared})
	if evacuations != nil {
		evacuations.SubcommandsOptional = true
		add(evacuations, "withdraw", "Let the targets in a data centre get requests again", &evacuationsWithdraw{cli: shared})
	}
	add(root, "evacuate", "Let the targets in a data centre get no requests", &evacuate{cli: shared})
	add(root, "help", "Show this help", &help{parser: parser})
	if keys := add(root, "keys", "Issue and withdraw keys", &struct{}{}); keys != nil {
		add(keys, "issue", "Issue a key and show it once", &keysIssue{cli: shared})
		add(keys, "withdraw", "Withdraw a key for good, on every control process", &keysWithdraw{cli: shared})
	}
	if sheet := add(root, "sheet", "Check, compare, apply and export the planners' sheet", &struct{}{}); sheet != nil {
		add(sheet, "check", "Name every wrong cell of a sheet", &sheetCheck{cli: shared})
		add(sheet, "diff", "Show what applying a sheet would change", &sheetDiff{sheetOptions: sheetOptions{cli: shared}})
		add(sheet, "apply", "Apply a sheet as one change", &sheetApply{sheetOptions: sheetOptions{cli: shared}})
		add(sheet, "export", "Print the configuration as a sheet", &sheetExport{cli: shared})
	}
	return parser, errors.Wrap(err, "add commands")
}
