package starter

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"samphiremount.example/core/bounder"
	"samphiremount.example/core/granter"
	"samphiremount.example/node/pkg/acceptor"
)

const (
	viewTimeout      = 5 * time.Second
	viewPollInterval = 10 * time.Millisecond

	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute

	// chunkBytes is what an entry reads of a body at once.
	chunkBytes = 32 << 10
)

// callersDoor describes the listener for callers. An entry keeps as much of each body by itself, and the chunk that it reads.
var callersDoor = bounder.Door{Kept: granter.MaxReplayBytes + chunkBytes, Main: true}

// serveCallers serves callers until ctx or background ends, and then stops the node.
func (n *Node) serveCallers(ctx, background context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{
		Handler: n.trackCallers(handler), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: acceptor.MaxHeadBytes, ConnState: n.connections.set,
	}
	n.awaitView(ctx)
	group, running := errgroup.WithContext(background)
	group.Go(func() error {
		err := server.Serve(n.options.Clients.Bound(server, listener, callersDoor))
		if errors.Is(err, http.ErrServerClosed) || n.plan.Load() != nil && errors.Is(err, net.ErrClosed) {
			return nil
		}
		return errors.Wrap(err, "serve callers")
	})
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-running.Done():
		}
		return n.stop(running, server, listener)
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
