// Package observer condenses the attempts that a node sends to targets into small digests.
package observer

// Digest counts the attempts of one node at one target since its last digest. Only the gate of the target sets Slots: it
// reports that the target is present, with that number of slots. Attempts counts the attempts that ended and the ones
// that are late. Shed counts those answered with 503 or 429, and Failed those answered with another status from 500 up.
// Unreached and Broken count those with the Result of that name, and Late those without an answer after LateAfter.
type Digest struct {
	Target              string    `cbor:"1,keyasint"`
	Service             string    `cbor:"2,keyasint"`
	Slots               int       `cbor:"3,keyasint,omitempty"`
	Leaving             bool      `cbor:"4,keyasint,omitempty"`
	Attempts            int       `cbor:"5,keyasint,omitempty"`
	Failed              int       `cbor:"6,keyasint,omitempty"`
	Shed                int       `cbor:"7,keyasint,omitempty"`
	Unreached           int       `cbor:"8,keyasint,omitempty"`
	Broken              int       `cbor:"9,keyasint,omitempty"`
	Late                int       `cbor:"10,keyasint,omitempty"`
	ConsecutiveFailures int       `cbor:"11,keyasint,omitempty"`
	Latency             Histogram `cbor:"12,keyasint,omitempty"`
}

// Failures returns the number of attempts that got no usable answer in time.
func (d Digest) Failures() int {
	return d.Failed + d.Shed + d.Unreached + d.Broken + d.Late
}

// With returns the sum of both digests, which must be of the same target. Slots and ConsecutiveFailures are the maximum
// of both.
func (d Digest) With(other Digest) Digest {
	d.Slots = max(d.Slots, other.Slots)
	d.Leaving = d.Leaving || other.Leaving
	d.Attempts += other.Attempts
	d.Failed += other.Failed
	d.Shed += other.Shed
	d.Unreached += other.Unreached
	d.Broken += other.Broken
	d.Late += other.Late
	d.ConsecutiveFailures = max(d.ConsecutiveFailures, other.ConsecutiveFailures)
	d.Latency = d.Latency.With(other.Latency)
	return d
}
