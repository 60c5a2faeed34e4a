// Samphire is the command line for operators of the fleet.
package main

import (
	"os"

	"samphiremount.example/ctl/pkg/commander"
)

func main() {
	os.Exit(commander.Main(os.Args[1:], os.Stdout, os.Stderr))
}
