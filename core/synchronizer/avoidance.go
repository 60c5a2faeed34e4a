package synchronizer

import (
	"slices"
	"time"
)

// avoidancePeriod is how long a client avoids a publisher that was out of contact with control. It is long enough to try
// a few others, and short since the publisher may come back into contact at any time.
const avoidancePeriod = 2 * time.Second

// avoidance holds the publishers that a client avoids, with the time until which it does. Attempts to connect run in
// parallel, so without it a publisher nearby would be chosen again and again over one that is fresh but takes longer to
// answer. It is immutable.
type avoidance struct {
	until map[string]time.Time
}

// with returns the avoidance after the publisher at address was out of contact with control at now.
func (a avoidance) with(now time.Time, address string) avoidance {
	next := map[string]time.Time{address: now.Add(avoidancePeriod)}
	for other, until := range a.until {
		if other != address && now.Before(until) {
			next[other] = until
		}
	}
	return avoidance{next}
}

// filter returns the addresses that are not avoided at now, or all of them if there is no other.
func (a avoidance) filter(now time.Time, addresses []string) []string {
	kept := slices.DeleteFunc(slices.Clone(addresses), func(address string) bool { return now.Before(a.until[address]) })
	if len(kept) == 0 {
		return addresses
	}
	return kept
}
