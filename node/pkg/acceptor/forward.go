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
	choice, err := a.chooser.choose(view, head)
	if err != nil {
		return carrier.Answer{}, err
	}
	target, node := choice.Placement.Target, choice.Placement.Node
	head.Target, head.Incarnation = target.Name, node.Incarnation
	answer, err := a.Client.Carry(ctx, node.Address, head, request.Body)
	a.chooser.observe(target, answer, err)
	if err != nil {
		a.chooser.leave(target.Name)
		return carrier.Answer{}, err
	}
	answer.Body = countedBody{answer.Body, sync.OnceFunc(func() { a.chooser.leave(target.Name) })}
	return answer, nil
}
