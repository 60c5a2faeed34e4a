package gatekeeper

import (
	"net/http"
	"strconv"
	"time"

	"samphiremount.example/core/refuser"
	"samphiremount.example/core/registrar"
	"samphiremount.example/node/pkg/forwarder"
)

// Protocol is how targets are told about a request, and how they tell that they did not run it.
type Protocol interface {
	// Prepare sets the headers that the target gets beside those of the caller. Remaining is the time to the deadline.
	Prepare(header http.Header, head forwarder.Head, target registrar.Announcement, remaining time.Duration)
	// Classify returns what an answer's head says of the request.
	Classify(header http.Header, status int, head forwarder.Head) Verdict
}

// Verdict is what a target's answer says of the request. It is Ran, Declined or Crossed.
type Verdict interface{ verdict() }

// Ran is the answer of a target that ran the request.
type Ran struct{}

// Declined states that the target did not run the request and will not. Kind is how the gate refuses it then.
type Declined struct{ Kind refuser.Kind }

// Mismatched is an answer to another request.
type Mismatched struct{}

func (Ran) verdict()        {}
func (Declined) verdict()   {}
func (Mismatched) verdict() {}

// Headers of the product's own protocol.
const (
	headerRequest   = "Samphire-Request"
	headerWorkspace = "Samphire-Workspace"
	// headerRemaining tells a target how many milliseconds are left to the request's deadline.
	headerRemaining = "Samphire-Remaining"
)

// OwnProtocol is the product's own. Its targets state nothing about requests that they did not run.
type OwnProtocol struct{}

var _ Protocol = OwnProtocol{}

// Prepare implements Protocol.
func (OwnProtocol) Prepare(header http.Header, head forwarder.Head, _ registrar.Announcement, remaining time.Duration) {
	header.Set(headerRequest, head.Request)
	if head.Workspace != "" {
		header.Set(headerWorkspace, head.Workspace)
	}
	header.Set(headerRemaining, strconv.FormatInt(max(remaining.Milliseconds(), 0), 10))
}

// Classify implements Protocol.
func (OwnProtocol) Classify(http.Header, int, forwarder.Head) Verdict { return Ran{} }
