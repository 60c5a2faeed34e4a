package quarantiner_test

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/quarantiner"
)

var epoch = time.Unix(0, 0)

func check(q *quarantiner.Quarantiner, now time.Time, digest quarantiner.Digest) string {
	switch q.Check(now, digest).(type) {
	case quarantiner.Clear:
		return "clear"
	case quarantiner.Suspect:
		return "suspect"
	case quarantiner.Quarantined:
		return "quarantined"
	}
	return "none"
}

func TestSecondCrashAloneQuarantines(t *testing.T) {
	q := quarantiner.New()
	assert.Assert(t, q.Record(epoch, quarantiner.Crash{ID: "1", Digest: 1}))
	assert.Assert(t, q.Record(epoch, quarantiner.Crash{ID: "2", Digest: 2}))
	assert.Equal(t, check(q, epoch, 1), "suspect")
	assert.Assert(t, q.Record(epoch, quarantiner.Crash{ID: "3", Digest: 1}))
	assert.Equal(t, check(q, epoch, 1), "suspect")
	assert.Assert(t, !q.Record(epoch, quarantiner.Crash{ID: "3", Digest: 1, Alone: true}), "a crash counts once")
	q.ClearSuspicion(2)
	assert.Equal(t, check(q, epoch, 2), "clear")
	assert.Assert(t, q.Record(epoch.Add(time.Minute), quarantiner.Crash{ID: "4", Digest: 1, Alone: true}))
	q.ClearSuspicion(1)
	assert.Equal(t, check(q, epoch.Add(10*time.Minute), 1), "quarantined")
	assert.Equal(t, check(q, epoch.Add(11*time.Minute), 1), "clear")
}

func TestMemoryIsBounded(t *testing.T) {
	q := quarantiner.New()
	for i := range 10_000 {
		q.Record(epoch.Add(time.Duration(i)), quarantiner.Crash{ID: strconv.Itoa(i), Digest: quarantiner.Digest(i)})
	}
	assert.Equal(t, check(q, epoch.Add(time.Second), 0), "clear")
	assert.Equal(t, check(q, epoch.Add(time.Second), 9_999), "suspect")
}
