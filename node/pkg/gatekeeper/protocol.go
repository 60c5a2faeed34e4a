package gatekeeper

import (
	"net/http"
	"strconv"
	"time"

	"samphiremount.example/core/refuser"
	"samphiremount.example/core/registrar"
	"samphiremount.example/core/regulator"
	"samphiremount.example/node/pkg/forwarder"
)

// Protocol defines how a target is told about a request, and how its answer states that it did not run the request.
type Protocol interface {
	// Prepare adds headers for the target to those of the caller; remaining is the time until the deadline.
	Prepare(header http.Header, head forwarder.Head, target registrar.Announcement, remaining time.Duration)
	// RequestID returns the ID that the target's answers to the request carry, or "" if they carry none. All attempts at a
	// request have the same.
	RequestID(head forwarder.Head) string
	// Classify returns what the head of an answer states about the request. If reused is set, the connection has carried an
	// earlier request, whose answer may have been repeated or come late.
	Classify(header http.Header, status int, head forwarder.Head, reused bool) Verdict
	// Limit returns the limit that the target names in the head of an answer.
	Limit(header http.Header) regulator.Limit
	// Cold returns for how long the target states in the head of an answer to stay cold, and whether it states that.
	Cold(header http.Header) (remaining time.Duration, ok bool)
	// Leaving reports whether the target states in the head of an answer that it leaves.
	Leaving(header http.Header) bool
}

// Verdict is what a target's answer states about the request. It is Ran, Declined or Mismatched.
type Verdict interface{ verdict() }

// Ran means that the target ran the request.
type Ran struct{}

// Declined means that the target did not run the request and will not. Kind is that of the refusal which the gate
// returns.
type Declined struct{ Kind refuser.Kind }

// Mismatched means that the answer belongs to another request, or may do so.
type Mismatched struct{}

func (Ran) verdict()        {}
func (Declined) verdict()   {}
func (Mismatched) verdict() {}

// Headers of the product's own protocol.
const (
	headerRequest   = "Samphire-Request"
	headerWorkspace = "Samphire-Workspace"
	// headerRemaining holds the milliseconds until the request's deadline.
	headerRemaining = "Samphire-Remaining"
)

// DefaultProtocol is the product's own protocol. Its targets never state that they did not run a request.
type DefaultProtocol struct{}

var _ Protocol = DefaultProtocol{}

// Prepare implements Protocol.
func (DefaultProtocol) Prepare(header http.Header, head forwarder.Head, _ registrar.Announcement, remaining time.Duration) {
	header.Set(headerRequest, head.RequestID)
	if head.Workspace != "" {
		header.Set(headerWorkspace, head.Workspace)
	}
	header.Set(headerRemaining, strconv.FormatInt(max(remaining.Milliseconds(), 0), 10))
}

// RequestID implements Protocol.
func (DefaultProtocol) RequestID(forwarder.Head) string { return "" }

// Limit implements Protocol.
func (DefaultProtocol) Limit(http.Header) regulator.Limit { return regulator.Limit{} }

// Cold implements Protocol.
func (DefaultProtocol) Cold(http.Header) (remaining time.Duration, ok bool) { return 0, false }

// Leaving implements Protocol.
func (DefaultProtocol) Leaving(http.Header) bool { return false }

// Classify implements Protocol.
func (DefaultProtocol) Classify(http.Header, int, forwarder.Head, bool) Verdict { return Ran{} }
