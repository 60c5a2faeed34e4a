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
		subject fencer.Fencer
		now     time.Time
		serves  bool
	}{
		"no contact yet":                                {fencer.Fencer{}, start, false},
		"contact with control":                          {contact, start.Add(fencer.MaxContactAge), true},
		"no contact with control, no probes":            {contact, late, false},
		"control unavailable to all":                    {contact.WithProbes(late, 7, 4), late, true},
		"partitioned alone":                             {contact.WithProbes(late, 7, 3), late, false},
		"partitioned with half of the peers":            {contact.WithProbes(late, 6, 3), late, false},
		"the only node":                                 {contact.WithProbes(late, 0, 0), late, true},
		"suspended after probes":                        {contact.WithProbes(late, 7, 7), late.Add(time.Minute), false},
		"suspended during a round of probes":            {contact.WithProbes(late, 7, 7), late.Add(fencer.MaxProbeAge + 1), false},
		"restarted while control is unavailable":        {fencer.Fencer{}.WithProbes(late, 7, 7), late, true},
		"an older contact does not replace a newer one": {contact.WithContact(start.Add(-time.Hour)), start, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, serves := c.subject.Assess(c.now).(fencer.Serve)
			assert.Equal(t, serves, c.serves)
		})
	}
}
