// Command review2 runs one case of the review with the project's own programs as separate processes on loopback addresses:
//
//	review2 CASE RECORD
//
// Clients, servers and the platform are stand-ins within this program. It exits with 1 if the rule was broken, 0 if it held, and
// 2 if the case could not run. With TROUBLE=0 in its environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// caseFunc runs a case and reports whether the rule was broken. trouble is false if the disruption is left out.
type caseFunc func(f *fleet, trouble bool) (broken bool, err error)

var cases = map[string]caseFunc{
	"smuggled":      runSmuggled,
	"crash-chunked": runCrashChunked,
	"crash-begun":   runCrashBegun,
	"path":          runPath,
	"quota":         runQuota,
	"departure":     runDeparture,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE RECORD")
		return exitCannot
	}
	f, err := newFleet(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	defer f.stop()
	trouble := os.Getenv("TROUBLE") != "0"
	f.record.write("case %s, trouble %t", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](f, trouble)
	switch {
	case err != nil:
		f.record.write("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	case broken:
		f.record.write("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	default:
		f.record.write("the rule held")
		fmt.Println("the rule held")
		return exitHeld
	}
}
