// Samphire-node runs in the slot beside the targets of a VM. It takes callers' requests, routes them through the fleet
// and is the only way to its own targets.
package main

import (
	"context"
	"os"

	core "samphiremount.example/core/starter"
	"samphiremount.example/node/pkg/starter"
)

func main() {
	var settings starter.Settings
	os.Exit(core.Main(
		func() error { return core.Parse(os.Args[1:], os.Stdout, &settings) },
		func(ctx context.Context) error { return starter.Run(ctx, settings) },
	))
}
