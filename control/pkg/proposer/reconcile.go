package proposer

import (
	"time"

	"samphiremount.example/core/reconciler"
	"samphiremount.example/core/replicator"
)

// minReconcileInterval is the minimum time between two membership changes that this process starts by itself.
const minReconcileInterval = 100 * time.Millisecond

// reconcile returns the membership change that is due at now, if any.
func (l *loop) reconcile(now time.Time) []replicator.Input {
	if !l.settings.AutoReconcile || now.Before(l.reconcileAt) || !l.replicator.CanChangeMembership() {
		return nil
	}
	l.reconcileAt = now.Add(minReconcileInterval)
	l.nextID++
	step := reconciler.Decide(now, l.replicator.Members(), l.replicator.Unresponsive(now), l.status.joinRequests())
	switch step := step.(type) {
	case reconciler.Add:
		l.log.Info("adding member", "member", step.Learner.Member.Name, "identity", step.Learner.Member.Identity,
			"replaces", step.Learner.Replaces, "reason", step.Reason)
		return []replicator.Input{replicator.AddLearner{ID: l.nextID, Learner: step.Learner}}
	case reconciler.Remove:
		l.log.Info("removing member", "member", step.Member.Name, "identity", step.Member.Identity, "reason", step.Reason)
		return []replicator.Input{replicator.RemoveMember{ID: l.nextID, Member: step.Member.Identity}}
	case reconciler.NoAction:
	}
	return nil
}
