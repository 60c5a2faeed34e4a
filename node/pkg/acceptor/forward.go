package acceptor

import (
	"context"
	"net/http"
	"sync"

	"samphiremount.example/node/pkg/carrier"
	"samphiremount.example/node/pkg/viewer"
)

func (a *Acceptor) forward(
	ctx context.Context, view *viewer.View, head carrier.Head, request *http.Request,
) (carrier.Answer, error) {
	choice, err := a.choose(view, head.Service)
	if err != nil {
		return carrier.Answer{}, err
	}
	target, node := choice.Placement.Target, choice.Placement.Node
	head.Target, head.Incarnation = target.Name, node.Incarnation
	a.Route.Info("target chosen", "request", head.ID, "workspace", head.Workspace, "service", head.Service,
		"target", target.Name, "node", node.Name, "reason", choice.Reason)
	answer, err := a.Client.Carry(ctx, node.Address, head, request.Body)
	if err != nil {
		a.leave(target.Name)
		return carrier.Answer{}, err
	}
	answer.Body = countedBody{answer.Body, sync.OnceFunc(func() { a.leave(target.Name) })}
	return answer, nil
}
