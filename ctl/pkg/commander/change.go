package commander

import (
	"time"

	"samphiremount.example/ctl/pkg/client"
)

// submit sends batch to the control processes and, if wait is set, waits until it is in force on all nodes that are not
// gone.
func (c *cli) submit(batch client.Batch, wait bool) error {
	api, err := c.client()
	if err != nil {
		return err
	}
	started := time.Now()
	var receipt client.Receipt
	err = c.withProgress("waiting for control to accept", func() error {
		receipt, err = api.Change(c.ctx, batch)
		return err
	})
	if err != nil {
		return err
	}
	accepted := time.Since(started)
	if err := c.print("accepted in version %d after %d ms\n", receipt.Version, accepted.Milliseconds()); err != nil {
		return err
	}
	if !wait {
		return nil
	}
	var nodes int
	err = c.withProgress("waiting until it is in force", func() error {
		nodes, err = c.waitInForce(api, receipt.Version)
		return err
	})
	if err != nil {
		return err
	}
	return c.print("in force on %d nodes after %d ms\n", nodes, time.Since(started).Milliseconds())
}
