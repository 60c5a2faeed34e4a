package registrar_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/registrar"
)

func TestAnnouncementsExpire(t *testing.T) {
	start := time.Unix(1000, 0)
	first := registrar.Announcement{Name: "a", Service: "s", Slots: 1}
	r, changed := registrar.Registrar{}.With(start, first)
	assert.Assert(t, changed)
	r, changed = r.With(start.Add(time.Second), first)
	assert.Assert(t, !changed, "a repetition is no change")
	r, changed = r.With(start.Add(time.Second), registrar.Announcement{Name: "a", Service: "s", Slots: 1, Leaving: true})
	assert.Assert(t, changed, "leaving is a change")

	deadline := start.Add(time.Second + registrar.Lifetime)
	kept, expired := r.Without(deadline)
	assert.Equal(t, len(expired), 0)
	assert.Equal(t, len(kept.Announcements()), 1)
	kept, expired = r.Without(deadline.Add(time.Nanosecond))
	assert.DeepEqual(t, expired, []string{"a"})
	assert.Equal(t, len(kept.Announcements()), 0)
	_, ok := r.Announcement("a")
	assert.Assert(t, ok, "an older value changed")
}
