// Samphire-control holds the fleet's configuration and directory and publishes both to the nodes.
package main

import (
	"context"
	"os"

	"samphiremount.example/control/pkg/starter"
	core "samphiremount.example/core/starter"
)

func main() {
	var settings starter.Settings
	os.Exit(core.Main(
		func() error { return core.Parse(os.Args[1:], os.Stdout, &settings) },
		func(ctx context.Context) error { return starter.Run(ctx, settings) },
	))
}
