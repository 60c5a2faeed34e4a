// Samphire-standin runs stand-in targets, generates load and measures a fleet. It is for tests and measurements only.
package main

import (
	"os"

	"samphiremount.example/standin/pkg/commander"
)

func main() {
	os.Exit(commander.Main(os.Args[1:], os.Stdout, os.Stderr))
}
