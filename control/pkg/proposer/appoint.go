package proposer

import (
	"context"
	"strconv"
	"time"

	"samphiremount.example/core/appointer"
	"samphiremount.example/core/configurer"
	"samphiremount.example/core/timekeeper"
)

// appointInterval is the time between two looks at whether the lenders are to change.
const appointInterval = 250 * time.Millisecond

// runAppointments has the leader choose the nodes that lend the workspaces' rates. It does nothing while no node has announced
// that it can lend.
func (r *Replica) runAppointments(ctx context.Context) error {
	ticker := time.NewTicker(appointInterval)
	defer ticker.Stop()
	chooser, led := appointer.New(), uint64(0)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		status := r.status.get()
		if status.Leader != r.settings.Name {
			led = 0
			continue
		}
		if led != status.Term {
			// What another leader has seen meanwhile is not known, so all waits begin again.
			chooser, led = appointer.New(), status.Term
		}
		r.appoint(ctx, chooser)
	}
}

// appoint proposes other lenders if chooser decides so. The log refuses what does not follow the lenders in force.
func (r *Replica) appoint(ctx context.Context, chooser *appointer.Appointer) {
	next, reason, change := chooser.Decide(timekeeper.Now(), r.hub.Configuration().Lenders(), r.hub.Directory())
	if !change {
		return
	}
	receipt, err := r.Propose(ctx, configurer.Batch{
		Operation: "lenders-" + r.settings.Name + "-" + strconv.FormatUint(next.Epoch, 10),
		Changes:   []configurer.Change{configurer.PutLenders{Lenders: next}},
	})
	if err != nil {
		r.log.Warn("lenders not changed", "epoch", next.Epoch, "reason", err.Error())
		return
	}
	metrics.Add("appointments", 1)
	r.log.Info("lenders changed", "epoch", next.Epoch, "slots", len(next.Slots), "version", receipt.Version, "reason", reason)
}
