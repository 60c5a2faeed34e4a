package abandoner_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"samphiremount.example/core/abandoner"
	"samphiremount.example/core/refuser"
	"samphiremount.example/core/tombstoner"
)

// TestSilenceEndsAnAttemptThatMayBeRunning lets frames, replies and unanswered questions follow each other at random. Only a
// promise, or replies that overtook every frame of the attempt, may end it.
func TestSilenceEndsAnAttemptThatMayBeRunning(t *testing.T) {
	states := []tombstoner.State{
		tombstoner.Tombstoned{}, tombstoner.Started{}, tombstoner.Finished{}, tombstoner.Refused{}, tombstoner.Forgotten{},
	}
	rapid.Check(t, func(t *rapid.T) {
		var silence abandoner.Silence
		repliesSinceFrame := 0
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			var decision abandoner.Decision
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				silence, repliesSinceFrame = abandoner.Silence{}, 0
				continue
			case 1:
				silence, decision = silence.WithoutReply()
				assert.Equal(t, decision, abandoner.Assist{})
				continue
			}
			state := rapid.SampledFrom(states).Draw(t, "state")
			silence, decision = silence.WithReply(state)
			if tombstoner.Outcome(state) == (refuser.NotRun{}) {
				assert.Equal(t, decision, abandoner.Withdraw{})
				return
			}
			repliesSinceFrame++
			if _, ended := decision.(abandoner.GiveUp); ended {
				assert.Assert(t, repliesSinceFrame >= 2)
				return
			}
			assert.Equal(t, decision, abandoner.Wait{})
		}
	})
}

// TestDeadConnectionIsNoticed has a gate that replies to each question while the attempt's own connection delivers nothing.
func TestDeadConnectionIsNoticed(t *testing.T) {
	for _, state := range []tombstoner.State{tombstoner.Started{}, tombstoner.Finished{}, tombstoner.Forgotten{}} {
		silence, first := abandoner.Silence{}.WithReply(state)
		assert.Equal(t, first, abandoner.Wait{})
		_, second := silence.WithReply(state)
		_, ended := second.(abandoner.GiveUp)
		assert.Assert(t, ended, "%v", second)
	}
}

func TestQuestionsWithoutReplyBecomeRare(t *testing.T) {
	var silence abandoner.Silence
	var intervals []time.Duration
	for range 6 {
		intervals = append(intervals, silence.Interval(time.Second)/time.Second)
		silence, _ = silence.WithoutReply()
	}
	assert.DeepEqual(t, intervals, []time.Duration{1, 2, 4, 8, 8, 8})
	silence, _ = silence.WithReply(tombstoner.Started{})
	assert.Equal(t, silence.Interval(time.Second), time.Second)
}
