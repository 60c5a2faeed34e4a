package ticker_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/ticker"
)

func TestWorkRunsOnceInEachPeriodUntilTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
		defer cancel()
		began := time.Now()
		var after []time.Duration
		ticker.Every(ctx, time.Second, func(now time.Time) { after = append(after, now.Sub(began)) })
		assert.DeepEqual(t, after, []time.Duration{time.Second, 2 * time.Second, 3 * time.Second})
		assert.Equal(t, time.Since(began), 3500*time.Millisecond)
	})
}
