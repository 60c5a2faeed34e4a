package starter

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

const (
	viewTimeout      = 5 * time.Second
	viewPollInterval = 10 * time.Millisecond
	lastRefusalDelay = 200 * time.Millisecond

	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeadBytes      = 64 << 10
)

// serveCallers serves callers until ctx or background ends. Then the node leaves the directory and keeps serving for
// Stop.LeaveDelay, during which each answer closes its connection. Idle connections are closed only after that,
// because a request that the caller sends while the node closes the connection is lost.
func (n *Node) serveCallers(ctx, background context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if n.leaving.Load() {
				w.Header().Set("Connection", "close")
			}
			handler.ServeHTTP(w, r)
		}),
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeadBytes,
		ConnState: n.connections.set,
	}
	server.Handler = n.countCallers(server.Handler)
	n.awaitView(ctx)
	group, running := errgroup.WithContext(background)
	group.Go(func() error {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) || n.leaving.Load() && errors.Is(err, net.ErrClosed) {
			return nil
		}
		return errors.Wrap(err, "serve callers")
	})
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-running.Done():
		}
		n.leaving.Store(true)
		n.reporter.Leave()
		n.log.Part("node").Info("node leaving", "reason", "shutdown requested")
		_ = n.logStep("leave", func() error {
			wait(running, n.options.Stop.LeaveDelay)
			return nil
		})
		_ = n.logStep("last requests", func() error {
			// Shutdown drops requests that it has not read yet, so the last accepted connections get time to send theirs.
			_ = listener.Close()
			wait(running, n.options.Stop.LastRequestDelay)
			return nil
		})
		return n.logStep("callers", func() error {
			graceCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), n.options.Stop.Grace)
			defer cancel()
			return errors.Wrap(server.Shutdown(graceCtx), "wait for callers' requests")
		})
	})
	return group.Wait()
}

// awaitView waits for the first configuration and directory, so that a restarted node does not refuse requests that
// it could serve a moment later. Until then, callers' connections wait in the listener. After viewTimeout the node
// serves with the state that it has.
func (n *Node) awaitView(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	ticker := time.NewTicker(viewPollInterval)
	defer ticker.Stop()
	for {
		if n.hasView() {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// stopGate refuses new requests of other nodes and waits for those in progress.
func (n *Node) stopGate(ctx context.Context) error {
	graceCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), n.options.Stop.Grace)
	defer cancel()
	err := n.logStep("gate", func() error { return n.forwarder.Stop(graceCtx) })
	_ = n.logStep("last refusals", func() error {
		// Requests that are arriving now need time to get their refusal before the connections are closed.
		wait(graceCtx, lastRefusalDelay)
		return nil
	})
	return err
}

func wait(ctx context.Context, delay time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(delay):
	}
}
