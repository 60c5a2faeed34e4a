package starter

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"samphiremount.example/core/stopper"
)

// lastRefusalDelay is the time that requests which are just arriving have to get their refusal.
const lastRefusalDelay = 200 * time.Millisecond

// stop leaves the directory and finishes the requests of callers and of other nodes side by side. Each answer to a caller
// closes its connection. Idle connections stay open until all requests have ended, because a request that the caller
// sends while the node closes the connection is lost; one that comes late is refused as not run instead.
func (n *Node) stop(running context.Context, server *http.Server, listener net.Listener) error {
	plan := stopper.New(time.Now(), n.options.Stop)
	n.plan.Store(&plan)
	n.forwarder.Stop(plan)
	n.reporter.Leave()
	n.log.Part("node").Info("node leaving", "reason", "shutdown requested", "listen", time.Until(plan.ListenUntil),
		"accept", time.Until(plan.AcceptUntil), "break_off", time.Until(plan.BreakOffAt), "end", time.Until(plan.EndAt))
	_ = n.logStep("leave", func() error { return wait(running, plan.ListenUntil) })
	_ = n.logStep("last requests", func() error {
		_ = listener.Close()
		return wait(running, plan.AcceptUntil)
	})
	var group errgroup.Group
	group.Go(func() error {
		return n.logStep("callers", func() error {
			brokenOff := n.callers.Finish(plan)
			n.connections.awaitInactive(plan.CloseAt)
			return brokenOffError(brokenOff)
		})
	})
	group.Go(func() error {
		return n.logStep("gate", func() error { return brokenOffError(n.forwarder.Finish(plan)) })
	})
	_ = group.Wait()
	_ = n.logStep("last refusals", func() error {
		end := time.Now().Add(lastRefusalDelay)
		if plan.CloseAt.Before(end) {
			end = plan.CloseAt
		}
		return wait(running, end)
	})
	return errors.Wrap(server.Close(), "close callers' connections")
}

func brokenOffError(number int) error {
	if number == 0 {
		return nil
	}
	return errors.Newf("%d requests took too long and were broken off", number)
}

// awaitTasks waits for the background tasks until the end of the stop.
func (n *Node) awaitTasks(tasks *errgroup.Group) error {
	ended := make(chan error, 1)
	var waiter errgroup.Group
	waiter.Go(func() error {
		ended <- tasks.Wait()
		return nil
	})
	select {
	case err := <-ended:
		return err
	case <-time.After(time.Until(n.plan.Load().EndAt)):
		return errors.Newf("tasks have not ended: %s", n.tasks.Active(time.Now()))
	}
}

// ExitAt returns the time at which the process must exit, or the zero time if the node is not stopping.
func (n *Node) ExitAt() time.Time {
	if plan := n.plan.Load(); plan != nil {
		return plan.ExitAt
	}
	return time.Time{}
}

// wait waits until end or until ctx ends.
func wait(ctx context.Context, end time.Time) error {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(end)):
	}
	return nil
}

// refusesCallers reports whether callers' requests that arrive at now are refused because the node stops.
func (n *Node) refusesCallers(now time.Time) bool {
	plan := n.plan.Load()
	if plan == nil {
		return false
	}
	_, refused := plan.Decide(now, stopper.FromCaller{}).(stopper.Refuse)
	return refused
}
