package starter

import (
	"context"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"samphiremount.example/core/bounder"
)

// The limits of the head of a request to an API. maxHeadBytes is far below the default of net/http, since a short header
// field takes several times its bytes in memory.
const (
	readHeaderTimeout = 5 * time.Second
	maxHeadBytes      = 16 << 10
	// idleTimeout closes connections between two requests. It is that of the listener for callers.
	idleTimeout = 2 * time.Minute
)

// Main parses the settings, runs a program until it ends or receives SIGINT or SIGTERM, and returns its exit code. It
// prints errors to stderr. Further signals, and SIGHUP at any time, do not end the process.
func Main(parse func() error, run func(ctx context.Context) error) int {
	// Signals without a channel would end the process, also between the end of run and the exit.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	err := parse()
	if errors.Is(err, ErrHelp) {
		return ExitOK
	}
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return ExitSettings
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := run(ctx); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return ExitFailed
	}
	return ExitOK
}

// ServeHTTP serves handler on listener until ctx ends. Then it waits at most grace for the requests in progress.
func ServeHTTP(ctx context.Context, listener net.Listener, handler http.Handler, grace time.Duration) error {
	return ServeWithin(ctx, nil, bounder.Door{}, listener, handler, grace)
}

// ServeWithin is like ServeHTTP. What clients take is bounded by budget, unless that is nil.
func ServeWithin(
	ctx context.Context, budget *bounder.Budget, door bounder.Door, listener net.Listener, handler http.Handler, grace time.Duration,
) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeadBytes}
	if budget != nil {
		server.IdleTimeout = idleTimeout
	}
	group, running := errgroup.WithContext(ctx)
	group.Go(func() error {
		if err := server.Serve(budget.Bound(server, listener, door)); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve HTTP")
		}
		return nil
	})
	group.Go(func() error {
		<-running.Done()
		graceCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
		defer cancel()
		return errors.Wrap(server.Shutdown(graceCtx), "shut down HTTP server")
	})
	return group.Wait()
}

// ServeMetrics serves the expvar variables on listener until ctx ends. What clients take is bounded by budget, unless that is nil.
func ServeMetrics(ctx context.Context, budget *bounder.Budget, listener net.Listener) error {
	mux := http.NewServeMux()
	mux.Handle("/debug/vars", expvar.Handler())
	return ServeWithin(ctx, budget, bounder.Door{}, listener, mux, time.Second)
}
