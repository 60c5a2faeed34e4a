package commander

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"samphiremount.example/ctl/pkg/client"
)

const (
	inForceTimeout      = 30 * time.Second
	inForcePollInterval = 50 * time.Millisecond
)

type status struct {
	*cli `no-flag:"true"`
}

// fleetStatus combines the reports of all control processes. Version is the newest version that any of them has. Behind
// lists the nodes where this version is not in force; a node that reports to none of the control processes that answered
// has version 0.
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

// checkInForce returns errNotInForce unless all control processes and all nodes have the newest version.
func (s fleetStatus) checkInForce() error {
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
	api, err := c.client()
	if err != nil {
		return err
	}
	var found fleetStatus
	err = c.withProgress("asking control", func() error {
		var err error
		found, err = c.loadStatus(api)
		return err
	})
	if err != nil {
		return err
	}
	err = c.show(found, func() error { return c.printStatus(found) })
	if err != nil {
		return err
	}
	return found.checkInForce()
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

// loadStatus gets the status from every control process. It fails if none answers.
func (c *cli) loadStatus(api *client.Client) (fleetStatus, error) {
	directory, err := api.Nodes(c.ctx)
	if err != nil {
		return fleetStatus{}, err
	}
	found := fleetStatus{Behind: []nodeStatus{}}
	applied := make(map[string]uint64)
	for _, result := range api.Versions(c.ctx) {
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

// waitInForce waits until version is in force on all nodes that are not gone, and returns the number of these nodes.
func (c *cli) waitInForce(api *client.Client, version uint64) (int, error) {
	deadline := time.Now().Add(inForceTimeout)
	for {
		found, err := c.loadStatus(api)
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
			return 0, errors.Wrapf(errNotInForce, "version %d is accepted, but not in force on %d of %d nodes", version, behind, found.Nodes)
		}
		select {
		case <-c.ctx.Done():
			return 0, errors.Wrap(c.ctx.Err(), "wait until in force")
		case <-time.After(inForcePollInterval):
		}
	}
}
