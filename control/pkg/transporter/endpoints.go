package transporter

import "samphiremount.example/core/replicator"

// endpoints are the identities of the last message on a stream. They seldom change and take most of the bytes of a heartbeat,
// so a message states only those that differ.
type endpoints struct {
	from, to replicator.Identity
}

// compress records the identities of m and, if remove is set, removes those that equal those of the message before it.
func (e *endpoints) compress(m *wireMessage, remove bool) {
	from, to := m.From, m.To
	if remove && from == e.from {
		m.From = ""
	}
	if remove && to == e.to {
		m.To = ""
	}
	e.from, e.to = from, to
}

// expand restores the identities that compress has removed.
func (e *endpoints) expand(m *wireMessage) {
	if m.From == "" {
		m.From = e.from
	}
	if m.To == "" {
		m.To = e.to
	}
	e.from, e.to = m.From, m.To
}
