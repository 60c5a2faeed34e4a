package commander

import (
	"maps"
	"slices"

	"samphiremount.example/ctl/pkg/client"
)

type version struct {
	*cli `no-flag:"true"`
}

// Execute implements flags.Commander.
func (c *version) Execute([]string) error {
	api, err := c.client()
	if err != nil {
		return err
	}
	var reply client.Version
	err = c.withProgress("asking control", func() error {
		reply, err = api.Version(c.ctx)
		return err
	})
	if err != nil {
		return err
	}
	return c.show(reply, func() error {
		err := c.print("version %d\n", reply.Version)
		for _, name := range slices.Sorted(maps.Keys(reply.Applied)) {
			err = c.print("node %s %d\n", name, reply.Applied[name])
		}
		return err
	})
}
