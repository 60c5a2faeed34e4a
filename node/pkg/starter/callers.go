package starter

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

const (
	viewTimeout = 5 * time.Second
	viewPoll    = 10 * time.Millisecond
	lastDelay   = 200 * time.Millisecond
)

// serveCallers serves callers until ctx or background ends. Then the node leaves the directory and goes on for
// leaveDelay, in which each answer ends its connection. Idle connections are closed only after that: a request that
// crosses the close of its connection is lost.
func (p parts) serveCallers(ctx, background context.Context, listener net.Listener) error {
	var leaving atomic.Bool
	handler := p.acceptor.Handler()
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if leaving.Load() {
				w.Header().Set("Connection", "close")
			}
			handler.ServeHTTP(w, r)
		}),
		ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeadBytes,
	}
	p.awaitView(ctx)
	group, running := errgroup.WithContext(background)
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve callers")
		}
		return nil
	})
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-running.Done():
		}
		leaving.Store(true)
		p.reporter.Leave()
		p.log.Part("node").Info("node leaving", "reason", "stop was asked for")
		wait(running, leaveDelay)
		ending, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopGrace)
		defer cancel()
		return errors.Wrap(server.Shutdown(ending), "finish callers' requests")
	})
	return group.Wait()
}

// awaitView waits for the first configuration and directory, so that a node that was restarted does not refuse what it
// could serve a moment later. Callers' connections wait in the listener. Without any after viewTimeout the node serves
// with what it has.
func (p parts) awaitView(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	ticker := time.NewTicker(viewPoll)
	defer ticker.Stop()
	for {
		view := p.view.View()
		if view.Configuration.Version() > 0 && len(view.Directory.Nodes()) > 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// finishGate refuses what other nodes still send, and waits for what they sent before.
func (p parts) finishGate(ctx context.Context) error {
	ending, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopGrace)
	defer cancel()
	err := p.carrier.Stop(ending)
	// Requests that are being opened get their refusal before the connections end.
	wait(ending, lastDelay)
	return err
}

func wait(ctx context.Context, delay time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(delay):
	}
}
