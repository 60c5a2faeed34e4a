// Samphire-standin is a stand-in target and a load generator, for tests and measurements only.
package main

import (
	"os"

	"samphiremount.example/standin/pkg/commander"
)

func main() {
	os.Exit(commander.Main(os.Args[1:], os.Stdout, os.Stderr))
}
