package starter

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
)

// LogSignals logs each SIGINT and SIGTERM until ctx ends. Main stops the process at the first of them.
func LogSignals(ctx context.Context, log *slog.Logger) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return nil
		case received := <-signals:
			log.Info("signal received", "signal", received)
		}
	}
}
