package counter_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphiremount.example/node/pkg/counter"
)

func TestActiveListsTheOldestFirst(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	c := counter.New()
	assert.Equal(t, c.Active(now).String(), "")
	for i, id := range []string{"e", "d", "", "b", "a"} {
		c.Begin(now.Add(-time.Duration(i)*time.Second), id)
	}
	active := c.Active(now)
	assert.Equal(t, active.Number, 5)
	assert.Equal(t, active.String(), "a 4s, b 3s, unnamed 2s")
}

func TestEntryIsNamedThroughItsContextAndEnds(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	c := counter.New()
	entry := c.Begin(now, "")
	counter.Name(counter.WithEntry(context.Background(), entry), "r1")
	counter.Name(context.Background(), "without an entry")
	assert.Equal(t, c.Active(now.Add(time.Second)).String(), "r1 1s")
	entry.End()
	assert.Equal(t, c.Active(now).Number, 0)
}
