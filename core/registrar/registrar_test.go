package registrar_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/registrar"
	"samphiremount.example/core/tracker"
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

	deadline := start.Add(time.Second + registrar.AnnouncementLifetime)
	kept, expired, changed := r.WithoutExpired(deadline)
	assert.Assert(t, len(expired) == 0 && !changed)
	assert.Equal(t, len(kept.Targets()), 1)
	kept, expired, changed = r.WithoutExpired(deadline.Add(time.Nanosecond))
	assert.Assert(t, changed)
	assert.DeepEqual(t, expired, []string{"a"})
	assert.Equal(t, len(kept.Targets()), 0)
	_, ok := r.Announcement("a")
	assert.Assert(t, ok, "WithoutExpired changed its receiver")
}

var start = time.Unix(1000, 0)

func announced(name string, born int64, sequence uint64) registrar.Announcement {
	return registrar.Announcement{Name: name, Service: "s", Address: "10.0.0.1:1", Slots: 1, StartedAt: born, Sequence: sequence}
}

func TestOutdatedAnnouncementChangesNothing(t *testing.T) {
	r, _ := registrar.New(time.Minute).With(start, announced("a", 5, 3))
	leaving := announced("a", 5, 4)
	leaving.Leaving = true
	r, changed := r.With(start, leaving)
	assert.Assert(t, changed)
	for name, late := range map[string]registrar.Announcement{
		"overtaken":             announced("a", 5, 3),
		"from an earlier start": announced("a", 4, 9),
		"from an earlier target at the same address": announced("b", 4, 9),
	} {
		next, changed := r.With(start, late)
		assert.Assert(t, !changed, name)
		held, ok := next.Announcement("a")
		assert.Assert(t, ok && held.Leaving, name)
	}
}

func TestTargetThatStartsLaterTakesOverTheAddress(t *testing.T) {
	r, _ := registrar.New(time.Minute).With(start, announced("a", 5, 3))
	r, changed := r.With(start, announced("b", 6, 1))
	assert.Assert(t, changed)
	_, ok := r.Announcement("a")
	assert.Assert(t, !ok)
	// The target with the same name restarted, and so did the numbering of its announcements.
	r, _ = r.With(start, announced("b", 7, 1))
	held, _ := r.Announcement("b")
	assert.Equal(t, held.StartedAt, int64(7))
}

func TestDepartedTargetIsNotAddedAgain(t *testing.T) {
	r, _ := registrar.New(time.Minute).With(start, announced("a", 5, 3))
	r, changed := r.WithDeparture(start, "a")
	assert.Assert(t, changed)
	_, ok := r.Announcement("a")
	assert.Assert(t, !ok)
	assert.Equal(t, len(r.Targets()), 0)
	r, changed = r.With(start, announced("a", 5, 4))
	assert.Assert(t, !changed)
	r, changed = r.With(start, announced("a", 6, 1))
	assert.Assert(t, changed)
	_, ok = r.Announcement("a")
	assert.Assert(t, ok)
}

// TestTargetThatDepartedBeforeItWasKnownIsNotAdded covers a node that starts, receives the departure of a target, and then
// receives an announcement that the target sent before it left.
func TestTargetThatDepartedBeforeItWasKnownIsNotAdded(t *testing.T) {
	r, _ := registrar.New(time.Minute).WithDeparture(start, "a")
	_, changed := r.With(start.Add(time.Second), announced("a", 5, 3))
	assert.Assert(t, !changed)

	// The departure is kept for longer than announcements, and does not block a later start of the target.
	r, expired, _ := r.WithoutExpired(start.Add(2 * registrar.AnnouncementLifetime))
	assert.Equal(t, len(expired), 0)
	_, changed = r.With(start.Add(2*registrar.AnnouncementLifetime), announced("a", 5, 4))
	assert.Assert(t, !changed)
	r, changed = r.With(start.Add(2*registrar.AnnouncementLifetime), announced("a", start.UnixMilli()+1, 1))
	assert.Assert(t, changed)
	_, ok := r.Announcement("a")
	assert.Assert(t, ok)
}

// TestOddAnnouncementBlocksATargetForItsLifetimeOnly has another writer announce the target, or its address, with numbers
// that the target itself reaches much later.
func TestOddAnnouncementBlocksATargetForItsLifetimeOnly(t *testing.T) {
	for name, odd := range map[string]registrar.Announcement{
		"sequence": announced("a", 5, 1<<52), "start": announced("a", 1<<52, 1), "address": announced("b", 1<<52, 1),
	} {
		r, _ := registrar.New(time.Minute).With(start, announced("a", 5, 3))
		r, changed := r.With(start, odd)
		assert.Assert(t, changed || name == "sequence", name)
		r, _ = r.With(start.Add(50*time.Second), announced("a", 5, 4))
		r, _, _ = r.WithoutExpired(start.Add(61 * time.Second))
		r, _ = r.With(start.Add(61*time.Second), announced("a", 5, 5))
		held, ok := r.Announcement("a")
		assert.Assert(t, ok && held.Sequence == 5, name)
	}
}

// TestDepartureOutlastsItsTarget guards against late announcements of a target that was draining and is not announced any
// more, and of one that started before it at the same address. The target itself may take draining back.
func TestDepartureOutlastsItsTarget(t *testing.T) {
	leaving := announced("a", 5, 4)
	leaving.Leaving = true
	r, _ := registrar.New(time.Second).With(start, announced("a", 5, 2))
	r, _ = r.With(start, leaving)
	assert.DeepEqual(t, r.Departures(), []tracker.Departure{{Target: "a", StartedAt: 5, Sequence: 4}})
	again := announced("a", 5, 6)
	again.Leaving = true
	r, _ = r.With(start, again)
	assert.DeepEqual(t, r.Departures(), []tracker.Departure{{Target: "a", StartedAt: 5, Sequence: 4}})

	late := start.Add(registrar.DepartureLifetime)
	expired, _, _ := r.WithoutExpired(late)
	for name, late := range map[string]registrar.Announcement{
		"from before": announced("a", 5, 3), "from an earlier start": announced("a", 4, 9), "at the same address": announced("b", 4, 9),
	} {
		_, changed := expired.With(start, late)
		assert.Assert(t, !changed, name)
	}
	back, changed := expired.With(late, announced("a", 5, 7))
	assert.Assert(t, changed)
	assert.DeepEqual(t, back.Targets(), []tracker.Target{{Name: "a", Service: "s", Slots: 1, StartedAt: 5, Sequence: 7}})
	expired, _, changed = expired.WithoutExpired(late.Add(time.Nanosecond))
	assert.Assert(t, changed && len(expired.Departures()) == 0)
}

// TestDepartureThatIsReceivedLateRemovesItsTarget has a late announcement arrive before the departure that outdates it.
func TestDepartureThatIsReceivedLateRemovesItsTarget(t *testing.T) {
	for name, departure := range map[string]tracker.Departure{
		"left": {Target: "a", StartedAt: 5, Left: true}, "draining": {Target: "a", StartedAt: 5, Sequence: 4},
		"later start": {Target: "a", StartedAt: 6, Sequence: 1},
	} {
		r, _ := registrar.New(time.Minute).With(start, announced("a", 5, 3))
		r, changed := r.WithDepartures(start, []tracker.Departure{departure})
		assert.Assert(t, changed && len(r.Targets()) == 0, name)
		_, changed = r.WithDepartures(start, []tracker.Departure{departure})
		assert.Assert(t, !changed, name)
		r, _ = r.With(start, announced("a", 7, 1))
		assert.Equal(t, len(r.Targets()), 1, name)
	}
}
