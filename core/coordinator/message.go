package coordinator

import (
	"samphiremount.example/core/ejector"
	"samphiremount.example/core/observer"
)

// Request is sent by a candidate to each other control process about twice a second. It asks for the vote and carries
// the list of ejections. Token is the token of the receiver's last reply. Remaining is the time in milliseconds for
// which the list is valid, counted from when the receiver issued Token. It is 0 without a list.
type Request struct {
	Candidate string             `cbor:"1,keyasint"`
	Token     uint64             `cbor:"2,keyasint,omitempty"`
	Remaining int64              `cbor:"3,keyasint,omitempty"`
	List      []ejector.Ejection `cbor:"4,keyasint,omitempty"`
}

// Reply is the reply to a Request. It carries evidence only if the vote is granted.
type Reply struct {
	Granted  bool         `cbor:"1,keyasint,omitempty"`
	Token    uint64       `cbor:"2,keyasint"`
	Evidence []AgedDigest `cbor:"3,keyasint,omitempty"`
}

// AgedDigest is a digest and its age in milliseconds.
type AgedDigest struct {
	Digest observer.Digest `cbor:"1,keyasint"`
	Age    int64           `cbor:"2,keyasint,omitempty"`
}
