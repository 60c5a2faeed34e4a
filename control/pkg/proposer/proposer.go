// Package proposer decides whether this control process may accept operators' changes.
package proposer

import (
	"context"

	"samphiremount.example/core/configurer"
	"samphiremount.example/core/refuser"
	"samphiremount.example/core/synchronizer"
)

// Proposer accepts batches of changes.
type Proposer interface {
	// Propose returns the receipt of an accepted batch. Its errors are refusals: ChangeInvalid, ChangeConflict, or
	// LeaderUnknown where another process must be asked.
	Propose(ctx context.Context, batch configurer.Batch) (configurer.Receipt, error)
}

// Primary accepts batches by itself. A fleet has at most one.
type Primary struct {
	hub *synchronizer.Hub
}

// NewPrimary returns the proposer that applies batches to hub.
func NewPrimary(hub *synchronizer.Hub) Primary {
	return Primary{hub: hub}
}

// Propose implements Proposer.
func (p Primary) Propose(_ context.Context, batch configurer.Batch) (configurer.Receipt, error) {
	return p.hub.Apply(batch)
}

// Secondary refuses batches, since it only follows the primary.
type Secondary struct{}

// Propose implements Proposer.
func (Secondary) Propose(context.Context, configurer.Batch) (configurer.Receipt, error) {
	return configurer.Receipt{}, refuser.Refuse(refuser.LeaderUnknown, "this process follows another")
}
