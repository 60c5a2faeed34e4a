// Command cases runs the cases of the review that are scripts. It starts the programs of the deploy file as separate
// processes on loopback addresses, with stand-ins for clients, servers and the operator.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case: the rule held, it was broken, or the case could not run.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxRun bounds a whole run.
const maxRun = 117 * time.Second

// scenario runs one case and returns the breaks of its rule that it saw. Without trouble it leaves out the disruption.
type scenario func(w *world, trouble bool) (breaks int, err error)

var scenarios = map[string]scenario{
	"twice-by-kind":       twiceByKind,
	"route-by-prefix":     routeByPrefix,
	"drain-by-slow-body":  drainBySlowBody,
	"drain-after-restart": drainAfterRestart,
	"floor-after-stops":   floorAfterStops,
}

func main() {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(run(*name, *record))
}

func run(name, recordPath string) int {
	play, ok := scenarios[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case is called %q\n", name)
		return exitFailed
	}
	trouble := os.Getenv("TROUBLE") != "0"
	w, err := newWorld(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer w.close()
	timer := time.AfterFunc(maxRun, func() {
		w.note("the case took too long")
		w.close()
		os.Exit(exitFailed)
	})
	defer timer.Stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	var group sync.WaitGroup
	group.Go(func() {
		if _, ok := <-signals; ok {
			w.close()
			os.Exit(exitFailed)
		}
	})
	w.note("case %s, trouble %v", name, trouble)
	breaks, err := play(w, trouble)
	switch {
	case err != nil:
		w.note("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitFailed
	case breaks > 0:
		w.note("RULE BROKEN: %d times", breaks)
		fmt.Println("rule broken:", breaks, "times")
		return exitBroken
	default:
		w.note("RULE HELD")
		fmt.Println("rule held")
		return exitHeld
	}
}
