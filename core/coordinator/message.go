package coordinator

import (
	"samphiremount.example/core/ejector"
	"samphiremount.example/core/observer"
)

// Request goes from a candidate to another control process, about twice a second: it asks for the vote, and carries the
// list of ejections. Token is that of the receiver's last reply. Remaining is the time in milliseconds for which
// the list still counts, from when the receiver issued Token; without a list it is 0.
type Request struct {
	Candidate string             `cbor:"1,keyasint"`
	Token     uint64             `cbor:"2,keyasint,omitempty"`
	Remaining int64              `cbor:"3,keyasint,omitempty"`
	List      []ejector.Ejection `cbor:"4,keyasint,omitempty"`
}

// Reply answers a Request. It carries evidence only to the candidate that has the vote.
type Reply struct {
	Granted  bool       `cbor:"1,keyasint,omitempty"`
	Token    uint64     `cbor:"2,keyasint"`
	Evidence []Evidence `cbor:"3,keyasint,omitempty"`
}

// Evidence is a digest and its age in milliseconds.
type Evidence struct {
	Digest observer.Digest `cbor:"1,keyasint"`
	Age    int64           `cbor:"2,keyasint,omitempty"`
}
