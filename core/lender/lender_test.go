package lender_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"samphiremount.example/core/allocator"
	"samphiremount.example/core/borrower"
	"samphiremount.example/core/configurer"
	"samphiremount.example/core/lender"
)

// network connects lenders by name and counts the messages between them.
type network struct {
	mu       sync.Mutex
	lenders  map[string]*lender.Lender
	messages int
}

func (n *network) Borrow(ctx context.Context, address string, message borrower.Message) (borrower.Reply, error) {
	n.mu.Lock()
	n.messages++
	found, ok := n.lenders[address]
	n.mu.Unlock()
	if !ok {
		return borrower.Reply{}, errors.New("unreachable")
	}
	return found.Borrow(ctx, message), nil
}

// fixed is a configuration that does not change.
type fixed struct{ configuration configurer.Configuration }

func (f fixed) Configuration() configurer.Configuration { return f.configuration }

// start runs two lenders, called a and b, that started age ago and own quotas of workspace if its burst is large
// enough.
func start(t *testing.T, workspace configurer.Workspace, age time.Duration) *network {
	t.Helper()
	batch := configurer.Batch{Operation: "test", Changes: []configurer.Change{configurer.PutWorkspace{Workspace: workspace}}}
	configuration, _, err := configurer.Configuration{}.With(batch)
	assert.NilError(t, err)
	n := &network{lenders: make(map[string]*lender.Lender)}
	group, ctx := errgroup.WithContext(t.Context())
	for name, peer := range map[string]string{"a": "b", "b": "a"} {
		started := lender.New(time.Now().Add(-age), lender.Dependencies{
			Name: name, Lenders: func() []string { return []string{"a", "b"} }, Peers: func() []string { return []string{peer} },
			Configuration: fixed{configuration},
			Borrower:      n, Log: slog.New(slog.DiscardHandler),
		})
		n.lenders[name] = started
		group.Go(func() error { return started.Run(ctx) })
	}
	t.Cleanup(func() { assert.NilError(t, group.Wait()) })
	return n
}

func TestBurstOfOneIsLentByEitherLender(t *testing.T) {
	workspace := configurer.Workspace{Name: "small", Rate: 100, Burst: 1}
	n := start(t, workspace, time.Minute)
	for _, name := range []string{"a", "b"} {
		message := borrower.Message{Workspace: "small", Wanted: 3}
		first := n.lenders[name].Borrow(t.Context(), message)
		assert.Equal(t, first.Tokens(), 1)
		second := n.lenders[name].Borrow(t.Context(), message)
		assert.Equal(t, second.Tokens(), 0)
		assert.Assert(t, second.Exhausted)
		assert.Equal(t, second.Reason, string(allocator.AllLeased))
		// The report reaches the lender through the lender that relayed the grant.
		report := borrower.Report{Lender: first.Lender, Workspace: "small", Report: allocator.Report{ID: first.Grants[0].ID, Spent: 1}}
		n.lenders[name].Borrow(t.Context(), borrower.Message{Reports: []borrower.Report{report}})
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			reply := n.lenders[name].Borrow(t.Context(), message)
			if reply.Tokens() == 0 {
				return poll.Continue("nothing lent: %s", reply.Reason)
			}
			report.ID, report.Returned, report.Spent = reply.Grants[0].ID, true, 0
			n.lenders[name].Borrow(t.Context(), borrower.Message{Reports: []borrower.Report{report}})
			return poll.Success()
		}, poll.WithTimeout(1500*time.Millisecond), poll.WithDelay(10*time.Millisecond))
	}
}

func TestReplyStatesWhetherAllLendersAreExhausted(t *testing.T) {
	workspace := configurer.Workspace{Name: "large", Rate: 0.01, Burst: 8}
	message := borrower.Message{Workspace: "large", Wanted: 1}
	n := start(t, workspace, time.Hour)
	for range 8 {
		assert.Equal(t, n.lenders["a"].Borrow(t.Context(), message).Tokens(), 1)
	}
	assert.Assert(t, n.lenders["a"].Borrow(t.Context(), message).Exhausted)

	n = start(t, workspace, 0)
	reply := n.lenders["a"].Borrow(t.Context(), message)
	assert.Equal(t, reply.Reason, string(allocator.Starting))
	assert.Assert(t, !reply.Exhausted)

	n = start(t, workspace, time.Hour)
	for range 4 {
		assert.Equal(t, n.lenders["a"].Borrow(t.Context(), message).Tokens(), 1)
	}
	n.mu.Lock()
	delete(n.lenders, "b")
	n.mu.Unlock()
	reply = n.lenders["a"].Borrow(t.Context(), message)
	assert.Assert(t, reply.Tokens() == 0 && !reply.Exhausted)
	assert.Equal(t, reply.Reason, "lender b is silent")
	messages := n.messages
	assert.Equal(t, n.lenders["a"].Borrow(t.Context(), message).Reason, "lender b is silent")
	assert.Equal(t, n.messages, messages)
	reply = n.lenders["a"].Borrow(t.Context(), borrower.Message{Workspace: "unknown", Wanted: 1})
	assert.Equal(t, reply.Reason, "workspace unknown")
}
