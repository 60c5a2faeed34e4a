// Package commander holds the commands of the operators' command line, one file for each.
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

// Exit codes beside those of every program.
const (
	// ExitRefused says that nothing was changed, since what was asked for is wrong or in conflict.
	ExitRefused = 3
	// ExitNotInForce says that the change is accepted, but not in force or not known everywhere yet.
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
	shared := &tool{ctx: ctx, out: out, errOut: errOut}
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

// newParser returns the parser of all commands.
func newParser(shared *tool) (*flags.Parser, error) {
	parser := flags.NewNamedParser("samphire", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Settings", "", &shared.Settings); err != nil {
		return nil, errors.Wrap(err, "settings")
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
	add(root, "status", "Show where the newest version is not in force yet", &status{tool: shared})
	add(root, "nodes", "List nodes and their targets", &nodes{tool: shared})
	add(root, "targets", "List targets", &targets{tool: shared})
	add(root, "services", "List services with floors and announced capacity", &services{tool: shared})
	add(root, "workspaces", "List workspaces", &workspaces{tool: shared})
	add(root, "routes", "List routes", &routes{tool: shared})
	add(root, "explain", "Tell what the fleet did with a request", &explain{tool: shared})
	add(root, "version", "Show the versions in force", &version{tool: shared})
	members := add(root, "members", "List control processes", &members{tool: shared})
	if members != nil {
		members.SubcommandsOptional = true
		add(members, "replace", "Replace a control process that lost its disk", &membersReplace{tool: shared})
	}
	add(root, "help", "Show this help", &help{parser: parser})
	if keys := add(root, "keys", "Issue and withdraw keys", &struct{}{}); keys != nil {
		add(keys, "issue", "Issue a key and show it once", &keysIssue{tool: shared})
		add(keys, "withdraw", "Withdraw a key for good, on every control process", &keysWithdraw{tool: shared})
	}
	if sheet := add(root, "sheet", "Check, compare, apply and export the planners' sheet", &struct{}{}); sheet != nil {
		add(sheet, "check", "Name every wrong cell of a sheet", &sheetCheck{tool: shared})
		add(sheet, "diff", "Show what applying a sheet would change", &sheetDiff{sheetCompare: sheetCompare{tool: shared}})
		add(sheet, "apply", "Apply a sheet as one change", &sheetApply{sheetCompare: sheetCompare{tool: shared}})
		add(sheet, "export", "Print the configuration as a sheet", &sheetExport{tool: shared})
	}
	return parser, errors.Wrap(err, "commands")
}
