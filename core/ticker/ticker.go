// Package ticker calls a function periodically.
package ticker

import (
	"context"
	"time"
)

// Every calls do with the current time once per period until ctx ends; the first call comes after one period. A call
// that takes longer than the period delays the next one.
func Every(ctx context.Context, period time.Duration, do func(now time.Time)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			do(now)
		}
	}
}
