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
// promise may end it, or a gate that does not know it any more.
func TestSilenceEndsAnAttemptThatMayBeRunning(t *testing.T) {
	states := []tombstoner.State{
		tombstoner.Tombstoned{},
		tombstoner.Started{},
		tombstoner.Finished{},
		tombstoner.Refused{},
		tombstoner.Forgotten{},
		tombstoner.Waiting{},
		tombstoner.Unseen{},
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
			switch {
			case state == tombstoner.Unseen{}:
				assert.Equal(t, decision, abandoner.Recall{})
			case repliesSinceFrame < 2:
				assert.Equal(t, decision, abandoner.Wait{})
			case state == tombstoner.Forgotten{}:
				assert.Equal(t, decision, abandoner.GiveUp{})
				return
			default:
				assert.Equal(t, decision, abandoner.Assist{Reached: true})
			}
		}
	})
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
