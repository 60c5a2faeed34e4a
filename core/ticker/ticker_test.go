package ticker_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/ticker"
)

func TestEveryCallsOncePerPeriodUntilTheContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
		defer cancel()
		start := time.Now()
		var elapsed []time.Duration
		ticker.Every(ctx, time.Second, func(now time.Time) { elapsed = append(elapsed, now.Sub(start)) })
		assert.DeepEqual(t, elapsed, []time.Duration{time.Second, 2 * time.Second, 3 * time.Second})
		assert.Equal(t, time.Since(start), 3500*time.Millisecond)
	})
}
