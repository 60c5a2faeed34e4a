package scenarios_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"samphiremount.example/standin/pkg/finder"
)

const (
	controls = 3
	nodes    = 4
	// waitTimeout bounds each wait for an outcome, and each request.
	waitTimeout  = 20 * time.Second
	pollInterval = 50 * time.Millisecond
	// tailBytes is how much of the end of each log a failed wait prints.
	tailBytes = 1500
)

// lendingNodes are the nodes that are lenders of rate tokens beside the control processes, one in each data centre.
var lendingNodes = []int{0, 2}

type fleetKey struct{}

// fleet holds the processes of one scenario: the command lines of defined processes, the started processes and the relays
// between them, all by name. The log of a process is NAME.log in dir.
type fleet struct {
	dir      string
	commands map[string][]string

	mu        sync.Mutex
	processes map[string]*process
	relays    map[string]*relay
	flood     *flood
}

// process is a started process. done is closed when it has ended.
type process struct {
	command *exec.Cmd
	done    chan struct{}
}

// setUp creates the fleet of a scenario. It assigns addresses for all processes and writes the shared secret and the operator
// token. Scripts find the addresses in variables such as $CONTROL0 and $ENTRY3.
func setUp(env *testscript.Env) error {
	f := &fleet{dir: env.WorkDir, commands: make(map[string][]string), processes: make(map[string]*process)}
	f.relays = make(map[string]*relay)
	env.Values[fleetKey{}] = f
	env.Defer(f.killAll)
	free, err := finder.Addresses(2*controls + 5*nodes)
	if err != nil {
		return err
	}
	address := func() string {
		next := free[0]
		free = free[1:]
		return next
	}
	var operators []string
	for i := range controls {
		env.Setenv(fmt.Sprintf("CONTROL%d", i), address())
		env.Setenv(fmt.Sprintf("OPERATORS%d", i), address())
		operators = append(operators, env.Getenv(fmt.Sprintf("OPERATORS%d", i)))
	}
	for i := range nodes {
		for _, kind := range []string{"ENTRY", "FLEET", "LOCAL", "TARGET", "FAULT"} {
			env.Setenv(fmt.Sprintf("%s%d", kind, i), address())
		}
	}
	for name, content := range map[string]string{"secret": "a-secret-of-a-test-fleet", "token": "a-token-of-test-operators"} {
		if err := os.WriteFile(filepath.Join(env.WorkDir, name), []byte(content), 0o600); err != nil {
			return errors.Wrap(err, "write secret")
		}
	}
	env.Setenv("SAMPHIRE_SECRET_FILE", filepath.Join(env.WorkDir, "secret"))
	env.Setenv("SAMPHIRE_TOKEN_FILE", filepath.Join(env.WorkDir, "token"))
	env.Setenv("SAMPHIRE_ADDRESSES", strings.Join(operators, ","))
	return nil
}

// processCommand defines a process, or replaces its definition: process NAME PROGRAM ARGUMENT...
func processCommand(ts *testscript.TestScript, _ bool, args []string) {
	fleetOf(ts).commands[args[0]] = args[1:]
}

// flagsCommand adds arguments to a defined process: flags NAME ARGUMENT...
func flagsCommand(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	f.commands[args[0]] = append(slices.Clone(f.commands[args[0]]), args[1:]...)
}

// fleetCommand starts 3 control processes, 4 nodes in 2 data centres and 4 targets of 2 services, applies the example
// sheet and waits until it is in force on every node. With an argument it only defines the processes, for upCommand.
func fleetCommand(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	for i := range controls {
		f.defineControl(ts, i)
	}
	for i := range nodes {
		f.defineNode(ts, i)
	}
	if len(args) > 0 {
		return
	}
	f.startAll(ts)
}

// upCommand starts the processes that "fleet defined" defined, with the changes that process and flags made since.
func upCommand(ts *testscript.TestScript, _ bool, _ []string) {
	fleetOf(ts).startAll(ts)
}

// startAll starts all processes, applies the example sheet and waits until each node has it in force and reports its target.
func (f *fleet) startAll(ts *testscript.TestScript) {
	for i := range controls {
		f.start(ts, fmt.Sprintf("control%d", i))
	}
	// A node subscribes to the first control process that answers and stays with it. The nodes are to use different ones,
	// so all must answer before any node starts.
	for i := range controls {
		f.waitForOutput(ts, "version", "samphire", "version", "--control", ts.Getenv(fmt.Sprintf("OPERATORS%d", i)))
	}
	for i := range nodes {
		f.start(ts, fmt.Sprintf("node%d", i))
		f.start(ts, fmt.Sprintf("target%d", i))
	}
	for i := range controls {
		loggedCommand(ts, false, []string{fmt.Sprintf("control%d", i), "lend: lending starts"})
	}
	for _, i := range lendingNodes {
		loggedCommand(ts, false, []string{fmt.Sprintf("node%d", i), "lend: lending starts"})
	}
	f.waitForOutput(ts, "version", "samphire", "version")
	ts.Check(ts.Exec("samphire", "sheet", "apply", "--floors", ts.Getenv("ROOT")+"/examples/showbook.csv"))
	for i := range nodes {
		f.waitForOutput(ts, fmt.Sprintf("(?s)node node%d.*target [a-z]+%d ", i, i), "samphire", "nodes")
		f.waitForConfiguration(ts, fmt.Sprintf("node%d", i))
	}
}

// waitForConfiguration waits until any control process reports that a node has a configuration in force.
func (f *fleet) waitForConfiguration(ts *testscript.TestScript, node string) {
	wanted := regexp.MustCompile("node " + node + " [1-9]")
	deadline := time.Now().Add(waitTimeout)
	for time.Now().Before(deadline) {
		for i := range controls {
			output, _ := f.runCommand(ts, "samphire", "version", "--control", ts.Getenv(fmt.Sprintf("OPERATORS%d", i)))
			if wanted.Match(output) {
				return
			}
		}
		time.Sleep(pollInterval)
	}
	ts.Fatalf("%s has no configuration in force within %s", node, waitTimeout)
}

// runCommand runs a program from bin with the fleet's settings and returns its standard output.
func (f *fleet) runCommand(ts *testscript.TestScript, command ...string) ([]byte, error) {
	process := exec.Command(filepath.Join(ts.Getenv("ROOT"), "bin", command[0]), command[1:]...)
	process.Env = environment(ts)
	return process.Output()
}

// defineControl defines control process i. The scenario runs it with the other control processes as members of one cluster.
func (f *fleet) defineControl(ts *testscript.TestScript, i int) {
	args := []string{
		"samphire-control", "--name", fmt.Sprintf("control%d", i),
		"--fleet", ts.Getenv(fmt.Sprintf("CONTROL%d", i)), "--operators", ts.Getenv(fmt.Sprintf("OPERATORS%d", i)),
	}
	args = append(args, "--data", filepath.Join(f.dir, fmt.Sprintf("data%d", i)))
	for j := range controls {
		args = append(args, "--member", fmt.Sprintf("control%d=%s", j, ts.Getenv(fmt.Sprintf("CONTROL%d", j))))
	}
	for _, j := range lendingNodes {
		args = append(args, "--lender", fmt.Sprintf("node%d=%s", j, ts.Getenv(fmt.Sprintf("FLEET%d", j))))
	}
	f.commands[fmt.Sprintf("control%d", i)] = args
}

// defineNode defines node i and the target beside it. Each node lists the control processes in a different order.
func (f *fleet) defineNode(ts *testscript.TestScript, i int) {
	centre := []string{"auckland", "auckland", "hamilton", "hamilton"}[i]
	service := []string{"bookings", "catalogue"}[i%2]
	args := []string{
		"samphire-node", "--name", fmt.Sprintf("node%d", i), "--region", "north", "--centre", centre,
		"--entry", ts.Getenv(fmt.Sprintf("ENTRY%d", i)), "--fleet", ts.Getenv(fmt.Sprintf("FLEET%d", i)),
		"--local", ts.Getenv(fmt.Sprintf("LOCAL%d", i)),
	}
	for j := range controls {
		args = append(args, "--control", ts.Getenv(fmt.Sprintf("CONTROL%d", (i+j)%controls)))
		args = append(args, "--lender", fmt.Sprintf("control%d=%s", j, ts.Getenv(fmt.Sprintf("CONTROL%d", j))))
	}
	for _, j := range lendingNodes {
		args = append(args, "--lender", fmt.Sprintf("node%d=%s", j, ts.Getenv(fmt.Sprintf("FLEET%d", j))))
	}
	f.commands[fmt.Sprintf("node%d", i)] = args
	f.commands[fmt.Sprintf("target%d", i)] = []string{
		"samphire-standin", "target", "--name", fmt.Sprintf("%s%d", service, i), "--service", service,
		"--listen", ts.Getenv(fmt.Sprintf("TARGET%d", i)), "--local", ts.Getenv(fmt.Sprintf("LOCAL%d", i)),
		"--control", ts.Getenv(fmt.Sprintf("FAULT%d", i)),
	}
}

func fleetOf(ts *testscript.TestScript) *fleet {
	f, ok := ts.Value(fleetKey{}).(*fleet)
	if !ok {
		ts.Fatalf("the scenario has no fleet")
	}
	return f
}

// start starts a defined process. Its output is appended to NAME.log.
func (f *fleet) start(ts *testscript.TestScript, name string) {
	args, ok := f.commands[name]
	if !ok {
		ts.Fatalf("process %s is not defined", name)
	}
	log, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	ts.Check(err)
	program := filepath.Join(ts.Getenv("ROOT"), "bin", args[0])
	command := exec.Command(program, args[1:]...)
	command.Stdout, command.Stderr = log, log
	command.Env = environment(ts)
	ts.Check(command.Start())
	started := &process{command: command, done: make(chan struct{})}
	f.mu.Lock()
	f.processes[name] = started
	f.mu.Unlock()
	go func() {
		defer close(started.done)
		_ = command.Wait()
		_ = log.Close()
	}()
}

// environment returns the environment of the fleet's processes and commands: that of the test and the shared settings.
func environment(ts *testscript.TestScript) []string {
	variables := os.Environ()
	for _, name := range []string{"SAMPHIRE_SECRET_FILE", "SAMPHIRE_TOKEN_FILE", "SAMPHIRE_ADDRESSES"} {
		variables = append(variables, name+"="+ts.Getenv(name))
	}
	return variables
}

// logTails returns the end of each process's log, which shows why a scenario failed.
func (f *fleet) logTails() string {
	var text strings.Builder
	logs, _ := filepath.Glob(filepath.Join(f.dir, "*.log"))
	for _, path := range logs {
		content, _ := os.ReadFile(path)
		_, _ = fmt.Fprintf(&text, "== %s\n%s\n", filepath.Base(path), content[max(0, len(content)-tailBytes):])
	}
	return text.String()
}

func (f *fleet) process(ts *testscript.TestScript, name string) *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	found, ok := f.processes[name]
	if !ok {
		ts.Fatalf("process %s was not started", name)
	}
	return found
}

// killAll kills the processes of the scenario and closes its relays. Suspended processes are continued first.
func (f *fleet) killAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
		<-p.done
	}
	for _, r := range f.relays {
		_ = r.listener.Close()
		r.closeConnections()
	}
}
