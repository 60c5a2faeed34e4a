// Package observer turns what a node sees of targets into small digests of evidence.
package observer

// Digest is what one node saw of one target since its last digest. Slots is set by the target's gate only; it says that
// the target is present with that many slots. Attempts counts those of which the end is known, and late ones.
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

// Failures returns the number of attempts that did not get an answer of use in time.
func (d Digest) Failures() int {
	return d.Failed + d.Shed + d.Unreached + d.Broken + d.Late
}

// With returns the digest joined with that of another view of the same target.
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
