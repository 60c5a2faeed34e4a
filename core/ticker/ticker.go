// Package ticker runs work at a steady pace.
package ticker

import (
	"context"
	"time"
)

// Every calls do with the time once in each period, the first time after one period, until ctx ends. A call that takes
// longer than the period delays the next one.
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
