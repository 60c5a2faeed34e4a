package commander

import (
	"strconv"

	"samphiremount.example/core/tracker"
)

type nodes struct {
	*cli `no-flag:"true"`
}

// Execute implements flags.Commander.
func (c *nodes) Execute([]string) error {
	all, err := c.listNodes()
	if err != nil {
		return err
	}
	return c.show(all, func() error {
		var err error
		for _, node := range all {
			err = c.print("node %s %s %s gone=%t\n", node.Name, node.Centre, node.Entry, node.Gone)
			for _, target := range node.Targets {
				err = c.print("target %s %s slots=%d\n", target.Name, target.Service, target.Slots)
			}
		}
		return err
	})
}

func (c *cli) listNodes() ([]tracker.Node, error) {
	api, err := c.client()
	if err != nil {
		return nil, err
	}
	var all []tracker.Node
	err = c.withProgress("asking control", func() error {
		reply, err := api.Nodes(c.ctx)
		all = reply.Nodes
		return err
	})
	return all, err
}

type targets struct {
	*cli `no-flag:"true"`
}

type targetRow struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Slots   int    `json:"slots"`
	Node    string `json:"node"`
	Centre  string `json:"centre"`
	State   string `json:"state"`
}

// Execute implements flags.Commander.
func (c *targets) Execute([]string) error {
	all, err := c.listNodes()
	if err != nil {
		return err
	}
	found := []targetRow{}
	for _, node := range all {
		for _, target := range node.Targets {
			found = append(found, targetRow{
				target.Name, target.Service, target.Slots, node.Name, node.Centre, targetState(node, target),
			})
		}
	}
	return c.show(found, func() error {
		var rows [][]string
		for _, t := range found {
			rows = append(rows, []string{t.Name, t.Service, strconv.Itoa(t.Slots), t.Node, t.Centre, t.State})
		}
		return c.table("TARGET SERVICE SLOTS NODE CENTRE STATE", rows)
	})
}

func targetState(node tracker.Node, target tracker.Target) string {
	switch {
	case node.Gone:
		return "gone"
	case node.Leaving || target.Leaving:
		return "leaving"
	default:
		return "present"
	}
}
