package decliner_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/decliner"
)

func TestDeclinedRequestsAreRemembered(t *testing.T) {
	start := time.Unix(1000, 0)
	request := decliner.Request{Target: "a", ID: "x"}
	d := decliner.New(3)
	assert.Assert(t, !d.MayHaveDeclined(start, request))
	d.Record(start, request)
	assert.Assert(t, d.MayHaveDeclined(start.Add(time.Minute), request))
	assert.Assert(t, !d.MayHaveDeclined(start, decliner.Request{Target: "b", ID: "x"}))

	// The second time extends the deadline.
	d.Record(start.Add(30*time.Second), request)
	assert.Assert(t, d.MayHaveDeclined(start.Add(80*time.Second), request))
	assert.Assert(t, !d.MayHaveDeclined(start.Add(91*time.Second), request))
}

// TestFullMemoryDeclaresNoRequestNew guards against a request that is taken for a new one because it was not remembered.
func TestFullMemoryDeclaresNoRequestNew(t *testing.T) {
	start := time.Unix(1000, 0)
	d := decliner.New(2)
	for _, id := range []string{"x", "y", "z"} {
		d.Record(start, decliner.Request{Target: "a", ID: id})
	}
	for _, id := range []string{"x", "z", "never sent"} {
		assert.Assert(t, d.MayHaveDeclined(start, decliner.Request{Target: "a", ID: id}), id)
	}
	assert.Assert(t, !d.MayHaveDeclined(start.Add(61*time.Second), decliner.Request{Target: "a", ID: "never sent"}))
}

// TestDeclinedRequestIsNewOnceThereIsRoom guards against a request that was not remembered for want of room and counts as new
// when an older one expires.
func TestDeclinedRequestIsNewOnceThereIsRoom(t *testing.T) {
	requests := decliner.New(1)
	now := time.Unix(1000, 0)
	requests.Record(now, decliner.Request{Target: "t", ID: "a"})
	late := decliner.Request{Target: "t", ID: "b"}
	requests.Record(now.Add(59*time.Second), late)
	assert.Assert(t, requests.MayHaveDeclined(now.Add(61*time.Second), late))
	assert.Assert(t, !requests.MayHaveDeclined(now.Add(3*time.Minute), late))
}
