package acceptor

import (
	"context"
	"time"

	"samphiremount.example/core/refuser"
)

// Limiter spends tokens of workspaces' rates.
type Limiter interface {
	// Acquire spends one token of workspace for a request with the objective, if it has one, and the deadline. It returns
	// the reason for the admission, or a refusal.
	Acquire(ctx context.Context, workspace string, objective time.Duration, deadline time.Time) (reason string, err error)
}

func (a *Acceptor) admit(ctx context.Context, admission admission, id string, deadline time.Time) error {
	if admission.route.Open || admission.workspace.Rate == 0 {
		return nil
	}
	workspace := admission.workspace.Name
	reason, err := a.Limiter.Acquire(ctx, workspace, admission.route.Objective, deadline)
	if err == nil && !time.Now().Before(deadline) {
		err = refuser.Refuse(refuser.DeadlinePassed, "no time was left after the admission")
	}
	if err != nil {
		refusal := refuser.From(err)
		a.AdmitLog.Info("request not admitted", "request", id, "workspace", workspace, "kind", refusal.Kind,
			"reason", refusal.Detail)
		return err
	}
	a.AdmitLog.Info("request admitted", "request", id, "workspace", workspace, "reason", reason)
	return nil
}
