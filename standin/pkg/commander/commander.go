// Package commander implements the commands of the stand-in program.
package commander

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
	"golang.org/x/sync/errgroup"

	"samphiremount.example/core/logger"
	"samphiremount.example/core/registrar"
	"samphiremount.example/core/starter"
	"samphiremount.example/standin/pkg/finder"
	"samphiremount.example/standin/pkg/loader"
	"samphiremount.example/standin/pkg/responder"
)

const (
	stopGrace   = 30 * time.Second
	exitCrashed = 3
	drainDelay  = 500 * time.Millisecond
)

// Main runs the command that args name and returns the exit code of the process.
func Main(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	parser := flags.NewNamedParser("samphire-standin", flags.HelpFlag|flags.PassDoubleDash)
	err := addCommands(ctx, parser, out)
	if err == nil {
		_, err = parser.ParseArgs(args)
	}
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

func addCommands(ctx context.Context, parser *flags.Parser, out io.Writer) error {
	var err error
	add := func(name, short string, command any) {
		if err == nil {
			_, err = parser.AddCommand(name, short, "", command)
		}
	}
	add("target", "Serve requests as a target", &target{ctx: ctx, out: out})
	add("fault", "Set the faults of a running target", &fault{ctx: ctx})
	add("load", "Send the requests of a plan and check their outcomes", &load{ctx: ctx, out: out})
	add("sheet", "Print a sheet of the size that the fleet is designed for", &sheet{out: out})
	add("slopes", "Measure how the costs of a small fleet grow", &slopes{ctx: ctx, out: out})
	add("simulate", "Simulate a fleet whose targets fail for some seconds at a time", &simulate{out: out})
	add("addresses", "Print free loopback addresses", &addresses{out: out})
	return errors.Wrap(err, "add commands")
}

// target runs a stand-in target that announces itself to the node on its VM.
type target struct {
	ctx context.Context
	out io.Writer

	Name    string        `long:"name" required:"yes" description:"Name of the target"`
	Service string        `long:"service" required:"yes" description:"Service that the target belongs to"`
	Listen  string        `long:"listen" required:"yes" description:"IP address and port of the target's listener"`
	Local   string        `long:"local" required:"yes" description:"IP address and port of the node's listener for announcements"`
	Slots   int           `long:"slots" default:"5" description:"Requests that the target can run at a time"`
	Work    time.Duration `long:"work" default:"0s" description:"Time that each request takes"`
	Control string        `long:"control" default:"127.0.0.1:0" description:"IP address and port of the listener by which the faults are set"`

	responder.Faults
}

// Execute implements flags.Commander.
func (c *target) Execute([]string) error {
	listener, err := starter.Listen("--listen", c.Listen)
	if err != nil {
		return err
	}
	announcement := registrar.Announcement{
		Name: c.Name, Service: c.Service, Address: listener.Addr().String(), Slots: c.Slots,
	}
	control, err := starter.Listen("--control", c.Control)
	if err != nil {
		return err
	}
	log := logger.New(os.Stderr, (starter.Settings{}).LogLevel())
	crash := func() { os.Exit(exitCrashed) }
	server := responder.New(announcement, c.Local, c.Work, c.Faults, crash, log.Part("target"))
	group, ctx := errgroup.WithContext(c.ctx)
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	group.Go(func() error {
		// The listener stays open until the node knows that the target leaves and the requests that the node sent
		// before that have arrived.
		defer stop()
		err := server.Announce(ctx)
		time.Sleep(drainDelay)
		return err
	})
	group.Go(func() error { return starter.ServeHTTP(serving, listener, server.Handler(), stopGrace) })
	group.Go(func() error { return starter.ServeHTTP(ctx, control, server.ControlHandler(), time.Second) })
	return group.Wait()
}

// load sends the requests of a plan through the fleet, prints the results and fails on unexpected outcomes.
type load struct {
	ctx context.Context
	out io.Writer

	Entries   []string `long:"entry" required:"yes" description:"IP address and port of a node's listener for callers; repeat it"`
	Direct    []string `long:"direct" description:"IP address and port of a target to compare with; repeat it"`
	Arguments struct {
		Plan string `positional-arg-name:"PLAN" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *load) Execute([]string) error {
	file, err := os.Open(c.Arguments.Plan)
	if err != nil {
		return errors.Wrap(err, "open plan")
	}
	defer func() { _ = file.Close() }()
	steps, err := loader.ParsePlan(file)
	if err != nil {
		return err
	}
	sender := loader.New(c.Entries, c.Direct)
	var results []loader.Result
	ok := true
	for _, step := range steps {
		result, err := sender.Run(c.ctx, step)
		if err != nil {
			return err
		}
		results = append(results, result)
		ok = ok && result.OK()
		for _, detail := range result.Unexpected[:min(len(result.Unexpected), 3)] {
			_, _ = fmt.Fprintf(c.out, "%s: not expected: %s\n", step.Name, detail)
		}
	}
	if err := loader.Print(c.out, results); err != nil {
		return err
	}
	if !ok {
		return errors.New("a step had unexpected outcomes or lacked an expected one")
	}
	return nil
}

// addresses prints free TCP addresses of 127.0.0.1, one per line.
type addresses struct {
	out io.Writer

	Arguments struct {
		Count int `positional-arg-name:"COUNT" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *addresses) Execute([]string) error {
	free, err := finder.LocalhostAddresses(c.Arguments.Count)
	if err != nil {
		return err
	}
	for _, address := range free {
		_, _ = fmt.Fprintln(c.out, address)
	}
	return nil
}
