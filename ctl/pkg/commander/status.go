package commander

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"samphiremount.example/ctl/pkg/client"
)

const (
	forceLimit = 30 * time.Second
	forcePause = 50 * time.Millisecond
)

type status struct {
	*tool `no-flag:"true"`
}

// fleetStatus is what all control processes together say. Behind lists the nodes where the newest version is not in
// force; a node that reports to no control process that answered has version 0.
type fleetStatus struct {
	Version  uint64          `json:"version"`
	Controls []controlStatus `json:"controls"`
	Nodes    int             `json:"nodes"`
	Behind   []nodeStatus    `json:"behind"`
}

type controlStatus struct {
	Address string `json:"address"`
	Version uint64 `json:"version"`
	Error   string `json:"error,omitempty"`
}

type nodeStatus struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
}

func (s fleetStatus) inForce() error {
	for _, control := range s.Controls {
		if control.Error != "" || control.Version < s.Version {
			return errNotInForce
		}
	}
	if len(s.Behind) > 0 {
		return errNotInForce
	}
	return nil
}

// Execute implements flags.Commander.
func (c *status) Execute([]string) error {
	caller, err := c.operator()
	if err != nil {
		return err
	}
	var found fleetStatus
	err = c.watch("asking control", func() error {
		var err error
		found, err = c.fleetStatus(caller)
		return err
	})
	if err != nil {
		return err
	}
	err = c.show(found, func() error { return c.printStatus(found) })
	if err != nil {
		return err
	}
	return found.inForce()
}

func (c *status) printStatus(found fleetStatus) error {
	err := c.print("newest version %d, in force on %d of %d nodes\n", found.Version, found.Nodes-len(found.Behind), found.Nodes)
	var rows [][]string
	for _, control := range found.Controls {
		rows = append(rows, []string{"control", control.Address, strconv.FormatUint(control.Version, 10), orDash(control.Error)})
	}
	for _, node := range found.Behind {
		rows = append(rows, []string{"node", node.Name, strconv.FormatUint(node.Version, 10), "not in force yet"})
	}
	return errors.CombineErrors(err, c.table("PART NAME VERSION REMARK", rows))
}

// fleetStatus asks every control process. It fails if none answers.
func (t *tool) fleetStatus(caller *client.Client) (fleetStatus, error) {
	directory, err := caller.Nodes(t.ctx)
	if err != nil {
		return fleetStatus{}, err
	}
	found := fleetStatus{Behind: []nodeStatus{}}
	applied := make(map[string]uint64)
	for _, result := range caller.Versions(t.ctx) {
		control := controlStatus{Address: result.Address, Version: result.Reply.Version}
		if result.Err != nil {
			control.Error = result.Err.Error()
		}
		found.Controls = append(found.Controls, control)
		found.Version = max(found.Version, result.Reply.Version)
		for name, version := range result.Reply.Applied {
			applied[name] = max(applied[name], version)
		}
	}
	for _, node := range directory.Nodes {
		if node.Gone {
			continue
		}
		found.Nodes++
		if applied[node.Name] < found.Version {
			found.Behind = append(found.Behind, nodeStatus{node.Name, applied[node.Name]})
		}
	}
	return found, nil
}

// waitInForce waits until all present nodes have version in force, and returns how many those are.
func (t *tool) waitInForce(caller *client.Client, version uint64) (int, error) {
	deadline := time.Now().Add(forceLimit)
	for {
		found, err := t.fleetStatus(caller)
		if err != nil {
			return 0, err
		}
		behind := 0
		for _, node := range found.Behind {
			if node.Version < version {
				behind++
			}
		}
		if behind == 0 {
			return found.Nodes, nil
		}
		if time.Now().After(deadline) {
			return 0, errors.Wrapf(errNotInForce, "version %d is accepted, but %d of %d nodes have it not", version, behind, found.Nodes)
		}
		select {
		case <-t.ctx.Done():
			return 0, errors.Wrap(t.ctx.Err(), "wait")
		case <-time.After(forcePause):
		}
	}
}
