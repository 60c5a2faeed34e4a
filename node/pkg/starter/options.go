package starter

import (
	"time"

	"samphiremount.example/core/allocator"
	"samphiremount.example/core/bounder"
	"samphiremount.example/core/retrier"
	"samphiremount.example/core/router"
	core "samphiremount.example/core/starter"
	"samphiremount.example/core/stopper"
	"samphiremount.example/node/pkg/acceptor"
	"samphiremount.example/node/pkg/gatekeeper"
)

// Options configure a node, independent of the interfaces that callers and targets use. Entry and Fleet are the
// addresses at which callers and other processes reach the node. Seeds are the addresses of control processes to use
// until control reports its own addresses, or always if OnlySeeds is set. Peers are the addresses of nodes to get the
// configuration and tokens from if control is unreachable; if it is empty, all nodes of the directory are used. Data
// is the folder of the cache, or empty for none. Decisions is the number of log lines about requests that are kept.
// Lenders are the processes that lend quotas of the workspaces' rates.
type Options struct {
	Name      string
	Region    string
	Centre    string
	Entry     string
	Fleet     string
	Seeds     []string
	OnlySeeds bool
	Peers     []string
	Data      string
	Decisions int
	Lenders   core.Peers
	// AnnouncementLifetime is how long a target's announcement is valid.
	AnnouncementLifetime time.Duration
	Protocol             gatekeeper.Protocol
	Stop                 stopper.Policy
	Router               router.Router
	// RetryPolicy returns the retry policy for a fleet with that number of nodes.
	RetryPolicy func(nodes int) retrier.Policy
	// UseLostNodes and HedgeAfter are passed to acceptor.Dependencies.
	UseLostNodes bool
	HedgeAfter   float64
	// Admission rejects and orders requests by their cost to callers while capacity is short.
	Admission bool
	// Paces paces targets that shed load, with Admission.
	Paces      bool
	BodyLimits acceptor.BodyLimits
	// RequireConfiguration makes the gate refuse requests until the node has a configuration, which may evacuate its data centre.
	RequireConfiguration bool
	ColdMargin           ColdMargin
	// UseFallbackQuota lets a node admit requests of a workspace while no lender answers it, within an equal fraction of
	// FallbackMargin, or of the workspace's rate while all lenders state that they lend to nobody.
	UseFallbackQuota bool
	// FallbackMargin is what the nodes that use the fallback quota may admit of a workspace beside the lenders.
	FallbackMargin allocator.Margin
	// NarrowLink is set if the link of this VM is narrow. Control then saves bytes between regions.
	NarrowLink bool
	// NodeLenders has nodes lend the workspaces' rates that control processes have chosen for that, in place of the control
	// processes and Lenders. It must be alike on all nodes.
	NodeLenders bool
	// Clients bounds what callers take; nil bounds the heads of their requests only.
	Clients *bounder.Budget
}
