package commander

import (
	"github.com/google/uuid"

	"samphiremount.example/core/configurer"
	"samphiremount.example/ctl/pkg/client"
)

type evacuations struct {
	*cli `no-flag:"true"`
}

// Execute implements flags.Commander.
func (c *evacuations) Execute([]string) error {
	api, err := c.client()
	if err != nil {
		return err
	}
	var found client.Configuration
	err = c.withProgress("asking control", func() error {
		found, err = api.Configuration(c.ctx)
		return err
	})
	if err != nil {
		return err
	}
	changes, err := configurer.Changes(found.Records)
	if err != nil {
		return err
	}
	centres := []string{}
	var rows [][]string
	for _, change := range changes {
		if change, ok := change.(configurer.Evacuate); ok {
			centres = append(centres, change.Evacuation.Centre)
			rows = append(rows, []string{change.Evacuation.Centre})
		}
	}
	return c.show(centres, func() error { return c.table("CENTRE", rows) })
}

// centreArgument is the argument of commands that change the evacuation of one data centre.
type centreArgument struct {
	Centre string `positional-arg-name:"CENTRE" required:"yes"`
}

type evacuate struct {
	*cli `no-flag:"true"`

	Wait      bool           `long:"wait" description:"Wait until it is in force on all nodes"`
	Arguments centreArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *evacuate) Execute([]string) error {
	return c.changeEvacuation(configurer.Evacuate{Evacuation: configurer.Evacuation{Centre: c.Arguments.Centre}}, c.Wait)
}

type evacuationsWithdraw struct {
	*cli `no-flag:"true"`

	Wait      bool           `long:"wait" description:"Wait until it is in force on all nodes"`
	Arguments centreArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *evacuationsWithdraw) Execute([]string) error {
	return c.changeEvacuation(configurer.WithdrawEvacuation{Centre: c.Arguments.Centre}, c.Wait)
}

func (c *cli) changeEvacuation(change configurer.Change, wait bool) error {
	return c.submit(client.Batch{Operation: uuid.NewString(), Changes: []configurer.Record{configurer.NewRecord(change)}}, wait)
}
