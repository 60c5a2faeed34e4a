// Package configurer holds the fleet's configuration as an immutable value and the rules by which changes apply to it.
package configurer

import (
	"time"

	"samphiremount.example/core/keyer"
)

// PerSecond is a rate in requests per second.
type PerSecond float64

// Workspace is one tenant with its fleet-wide rate and burst. Weight is its share when workspaces compete for slots.
type Workspace struct {
	Name   string
	Rate   PerSecond
	Burst  int
	Weight int
}

// Key binds a key's digest to a workspace. A withdrawn key stays withdrawn.
type Key struct {
	ID        string
	Workspace string
	Digest    keyer.Digest
	Withdrawn bool
}

// Route sends the requests of a host and path prefix to a service. An empty Host matches every host. Open routes need
// no key. Repeatable routes may be retried and hedged. Limit is the most time that a request may take.
type Route struct {
	Name       string
	Host       string
	Prefix     string
	Service    string
	Open       bool
	Repeatable bool
	Limit      time.Duration
}

// Service is a set of interchangeable targets. Ejection never takes its healthy capacity below Floor, in slots.
type Service struct {
	Name  string
	Floor int
}
