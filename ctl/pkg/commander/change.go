package commander

import (
	"time"

	"samphiremount.example/ctl/pkg/client"
)

// change sends batch and, if wait is set, waits until it is in force on all present nodes.
func (t *tool) change(batch client.Batch, wait bool) error {
	caller, err := t.operator()
	if err != nil {
		return err
	}
	started := time.Now()
	var receipt client.Receipt
	err = t.watch("waiting for control to accept", func() error {
		receipt, err = caller.Change(t.ctx, batch)
		return err
	})
	if err != nil {
		return err
	}
	accepted := time.Since(started)
	if err := t.print("accepted in version %d after %d ms\n", receipt.Version, accepted.Milliseconds()); err != nil {
		return err
	}
	if !wait {
		return nil
	}
	var nodes int
	err = t.watch("waiting until it is in force", func() error {
		nodes, err = t.waitInForce(caller, receipt.Version)
		return err
	})
	if err != nil {
		return err
	}
	return t.print("in force on %d nodes after %d ms\n", nodes, time.Since(started).Milliseconds())
}
