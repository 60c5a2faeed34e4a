// Package granter decides when the body of a request leaves its entry. A withheld body stays there until the gate has a slot
// for the request and grants it.
//
// The package is designed for the load pattern of large bodies beside busy or doubtful targets: one in three to five sends is
// refused by a gate and sent to another one. Without it, each refusal carries the body for nothing, often between data
// centres, and a body that the entry does not keep cannot be sent to the next gate.
package granter

const (
	// minUploadBytes is the length of an upload below which waiting for the grant costs more than the body: it fits into
	// the first round trip of a new TCP connection, ten segments (RFC 6928).
	minUploadBytes = 14 << 10
	// minRemoteBytes is the length from which on a body is withheld that would leave its data centre: it takes more than one
	// segment, and the links between data centres are shared.
	minRemoteBytes = 1400
	// MaxReplayBytes bounds what an entry keeps of a body for further attempts, and what a gate reads of it before the
	// request starts, so that it can identify the content.
	MaxReplayBytes = 64 << 10
)

// Body describes the body of a request. Length is in bytes, or -1 if it is unknown. Upload is set on routes for uploads, and
// Remote if the gate is in another data centre.
type Body struct {
	Upload bool
	Remote bool
	Length int64
}

// Large reports whether the body is an upload that is not small, or longer than what the entry could send again.
func (b Body) Large() bool {
	if b.Length > MaxReplayBytes {
		return true
	}
	return b.Upload && (b.Length < 0 || b.Length >= minUploadBytes)
}

// Withhold reports whether the body stays at its entry until it is granted: a large one always, others only if they would
// leave their data centre and take longer than the head.
func (b Body) Withhold() bool {
	return b.Large() || b.Remote && (b.Length < 0 || b.Length >= minRemoteBytes)
}

// Decision is what an entry does with a withheld body after a message of the gate. It is Wait or Send.
type Decision interface{ decision() }

// Wait keeps the body at the entry.
type Wait struct{}

// Send sends the body.
type Send struct{}

func (Wait) decision() {}
func (Send) decision() {}

// Message is what a gate has said about a request. Grants is set in all messages of gates that grant bodies, and Granted
// once the gate asks for this one.
type Message struct {
	Grants  bool
	Granted bool
}

// Decide returns what to do after message. A gate that does not know grants, as during the upgrade of a fleet, reads the
// body at once and would wait for it in vain.
func Decide(message Message) Decision {
	if message.Granted || !message.Grants {
		return Send{}
	}
	return Wait{}
}
