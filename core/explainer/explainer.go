// Package explainer collects the log lines about a request from the nodes.
package explainer

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc"

	"samphiremount.example/core/messenger"
	"samphiremount.example/core/tracker"
)

const (
	callExplain = "explain"

	callTimeout        = 2 * time.Second
	maxConcurrentCalls = 32
)

// Decision is one log line about a request. Time is the time of the node's clock.
type Decision struct {
	Time    time.Time `json:"time"`
	Node    string    `json:"node"`
	Message string    `json:"message"`
	Details []Detail  `json:"details"`
}

// Detail is one log attribute of a Decision.
type Detail struct {
	Name  string `cbor:"1,keyasint" json:"name"`
	Value string `cbor:"2,keyasint" json:"value"`
}

// Source holds the decisions of one node.
type Source interface {
	// Decisions returns the recorded decisions about the request with that ID, oldest first.
	Decisions(id string) []Decision
}

type explainRequest struct {
	Request string `cbor:"1,keyasint"`
}

type explainReply struct {
	Decisions []wireDecision `cbor:"1,keyasint,omitempty"`
}

// wireDecision carries the time in nanoseconds, because the fleet's encoding truncates times to seconds.
type wireDecision struct {
	Nanoseconds int64    `cbor:"1,keyasint"`
	Message     string   `cbor:"2,keyasint"`
	Details     []Detail `cbor:"3,keyasint,omitempty"`
}

// Register adds the handler of Explain calls to mux. It answers with the decisions of source.
func Register(mux messenger.Mux, source Source) {
	mux[callExplain] = func(stream drpc.Stream) error {
		var request explainRequest
		if err := stream.MsgRecv(&request, messenger.Encoding{}); err != nil {
			return errors.Wrap(err, "receive request")
		}
		var reply explainReply
		for _, d := range source.Decisions(request.Request) {
			reply.Decisions = append(reply.Decisions, wireDecision{d.Time.UnixNano(), d.Message, d.Details})
		}
		return errors.Wrap(stream.MsgSend(&reply, messenger.Encoding{}), "send decisions")
	}
}

// Explainer requests decisions from nodes.
type Explainer struct {
	pool *messenger.Pool
}

// New returns an Explainer that uses the connections of pool.
func New(pool *messenger.Pool) *Explainer {
	return &Explainer{pool: pool}
}

// Explain returns the decisions of all nodes about the request with that ID, ordered by the nodes' clocks, and the
// names of the nodes that did not answer.
func (e *Explainer) Explain(ctx context.Context, nodes []tracker.Node, id string) ([]Decision, []string) {
	var mu sync.Mutex
	var decisions []Decision
	var unanswered []string
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for _, node := range nodes {
		group.Go(func() error {
			received, err := e.requestDecisions(ctx, node.Address, id)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unanswered = append(unanswered, node.Name)
			}
			for _, d := range received {
				decisions = append(decisions, Decision{time.Unix(0, d.Nanoseconds), node.Name, d.Message, d.Details})
			}
			return nil
		})
	}
	_ = group.Wait()
	slices.Sort(unanswered)
	slices.SortStableFunc(decisions, func(a, b Decision) int {
		if order := a.Time.Compare(b.Time); order != 0 {
			return order
		}
		return strings.Compare(a.Node, b.Node)
	})
	return decisions, unanswered
}

func (e *Explainer) requestDecisions(ctx context.Context, address, id string) ([]wireDecision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply explainReply
	err := e.pool.Get(ctx, address).Invoke(ctx, callExplain, messenger.Encoding{}, &explainRequest{id}, &reply)
	return reply.Decisions, errors.Wrap(err, "request decisions")
}
