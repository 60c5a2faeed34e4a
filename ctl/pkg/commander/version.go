package commander

import (
	"maps"
	"slices"

	"samphiremount.example/ctl/pkg/client"
)

type version struct {
	*tool `no-flag:"true"`
}

// Execute implements flags.Commander.
func (c *version) Execute([]string) error {
	caller, err := c.operator()
	if err != nil {
		return err
	}
	var reply client.Version
	err = c.watch("asking control", func() error {
		reply, err = caller.Version(c.ctx)
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
