package fencer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/fencer"
)

func TestAssess(t *testing.T) {
	start := time.Unix(1000, 0)
	contact := fencer.Fencer{}.WithContact(start)
	late := start.Add(10 * time.Second)
	cases := map[string]struct {
		assessor fencer.Fencer
		now      time.Time
		serves   bool
	}{
		"nobody heard yet":                     {fencer.Fencer{}, start, false},
		"control heard":                        {contact, start.Add(fencer.MaxContactAge), true},
		"control not heard, no probes":         {contact, late, false},
		"control away for all":                 {contact.WithProbes(late, 7, 4), late, true},
		"cut off alone":                        {contact.WithProbes(late, 7, 3), late, false},
		"cut off with half of the peers":       {contact.WithProbes(late, 6, 3), late, false},
		"the only node":                        {contact.WithProbes(late, 0, 0), late, true},
		"frozen after probes":                  {contact.WithProbes(late, 7, 7), late.Add(time.Minute), false},
		"frozen during a round of probes":      {contact.WithProbes(late, 7, 7), late.Add(fencer.MaxProbeAge + 1), false},
		"restarted while control is away":      {fencer.Fencer{}.WithProbes(late, 7, 7), late, true},
		"an older contact does not count back": {contact.WithContact(start.Add(-time.Hour)), start, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, serves := c.assessor.Assess(c.now).(fencer.Serve)
			assert.Equal(t, serves, c.serves)
		})
	}
}
