// Package explainer asks nodes what they decided about a request.
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

// Decision is one log line about a request, as the node wrote it. Time is that of the node's clock.
type Decision struct {
	Time    time.Time `json:"time"`
	Node    string    `json:"node"`
	Message string    `json:"message"`
	Details []Detail  `json:"details"`
}

// Detail is one attribute of a decision.
type Detail struct {
	Name  string `cbor:"1,keyasint" json:"name"`
	Value string `cbor:"2,keyasint" json:"value"`
}

// Source remembers decisions of one node.
type Source interface {
	// Decisions returns what is remembered of the request called id, oldest first.
	Decisions(id string) []Decision
}

type explainRequest struct {
	Request string `cbor:"1,keyasint"`
}

type explainReply struct {
	Decisions []wireDecision `cbor:"1,keyasint,omitempty"`
}

// wireDecision carries the time in nanoseconds, since times in the fleet's encoding have whole seconds only.
type wireDecision struct {
	Nanoseconds int64    `cbor:"1,keyasint"`
	Message     string   `cbor:"2,keyasint"`
	Details     []Detail `cbor:"3,keyasint,omitempty"`
}

// Register lets other processes of the fleet ask source.
func Register(mux messenger.Mux, source Source) {
	mux[callExplain] = func(stream drpc.Stream) error {
		var asked explainRequest
		if err := stream.MsgRecv(&asked, messenger.Encoding{}); err != nil {
			return errors.Wrap(err, "receive question")
		}
		var reply explainReply
		for _, d := range source.Decisions(asked.Request) {
			reply.Decisions = append(reply.Decisions, wireDecision{d.Time.UnixNano(), d.Message, d.Details})
		}
		return errors.Wrap(stream.MsgSend(&reply, messenger.Encoding{}), "send decisions")
	}
}

// Explainer asks all nodes of a directory.
type Explainer struct {
	pool *messenger.Pool
}

// New returns an Explainer that uses the connections of pool.
func New(pool *messenger.Pool) *Explainer {
	return &Explainer{pool: pool}
}

// Explain returns the decisions that nodes remember of the request called id, ordered by their clocks, and the names
// of the nodes that did not answer.
func (e *Explainer) Explain(ctx context.Context, nodes []tracker.Node, id string) ([]Decision, []string) {
	var mu sync.Mutex
	var decisions []Decision
	var silent []string
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for _, node := range nodes {
		group.Go(func() error {
			known, err := e.ask(ctx, node.Address, id)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				silent = append(silent, node.Name)
			}
			for _, d := range known {
				decisions = append(decisions, Decision{time.Unix(0, d.Nanoseconds), node.Name, d.Message, d.Details})
			}
			return nil
		})
	}
	_ = group.Wait()
	slices.Sort(silent)
	slices.SortStableFunc(decisions, func(a, b Decision) int {
		if order := a.Time.Compare(b.Time); order != 0 {
			return order
		}
		return strings.Compare(a.Node, b.Node)
	})
	return decisions, silent
}

func (e *Explainer) ask(ctx context.Context, address, id string) ([]wireDecision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply explainReply
	err := e.pool.Get(ctx, address).Invoke(ctx, callExplain, messenger.Encoding{}, &explainRequest{id}, &reply)
	return reply.Decisions, errors.Wrap(err, "ask node")
}
