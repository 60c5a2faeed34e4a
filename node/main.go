// Samphire-node is the proxy process that runs beside the targets of a VM. It accepts callers' requests and routes
// them through the fleet, and it is the only way for requests to reach the targets of its VM.
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
