package finisher_test

import (
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"samphiremount.example/core/stopper"
	"samphiremount.example/node/pkg/finisher"
)

func newPlan(grace time.Duration) stopper.Plan {
	return stopper.New(time.Now(), stopper.Policy{Grace: grace})
}

func TestFinishEndsWithTheLastRequest(t *testing.T) {
	f := finisher.New()
	var group errgroup.Group
	for range 3 {
		request := f.Begin(time.Now(), "", func() { t.Error("broken off") })
		group.Go(func() error {
			request.End()
			return nil
		})
	}
	plan := newPlan(time.Minute)
	assert.Equal(t, f.Finish(plan), 0)
	assert.Assert(t, time.Now().Before(plan.BreakOffAt))
	assert.Equal(t, f.Active(time.Now()).Number, 0)
	assert.NilError(t, group.Wait())
}

// TestEndlessRequestDelaysFinish guards against a stop that waits for requests that do not end, even if they ignore that
// they are broken off.
func TestEndlessRequestDelaysFinish(t *testing.T) {
	f := finisher.New()
	var endedAt []time.Time
	var obedient *finisher.Request
	var group errgroup.Group
	obedient = f.Begin(time.Now(), "obedient", func() {
		endedAt = append(endedAt, time.Now())
		group.Go(func() error {
			obedient.End()
			return nil
		})
	})
	f.Begin(time.Now(), "deaf", func() { endedAt = append(endedAt, time.Now()) })
	f.Begin(time.Now(), "answering", func() { endedAt = append(endedAt, time.Now()) }).Answer()
	plan := newPlan(500 * time.Millisecond)
	assert.Equal(t, f.Finish(plan), 3)
	assert.NilError(t, group.Wait())
	assert.Assert(t, !time.Now().Before(plan.CloseAt))
	assert.Equal(t, len(endedAt), 3)
	for _, at := range endedAt[:2] {
		assert.Assert(t, !at.Before(plan.BreakOffAt))
	}
	assert.Assert(t, !endedAt[2].Before(plan.CloseAt))
	assert.Equal(t, f.Active(time.Now()).Number, 2)
}
