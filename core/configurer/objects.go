// Package configurer holds the fleet's configuration as an immutable value and the rules by which changes apply to it.
package configurer

import (
	"math"
	"reflect"
	"time"

	"samphiremount.example/core/keyer"
)

// PerSecond is a rate in requests per second.
type PerSecond float64

// Rank orders requests under overload: 1 is the most urgent, greater numbers are less so. 0 states no rank.
type Rank int

// Workspace is one tenant with its fleet-wide rate and burst. A Rate of 0 sets no limit. Weight is its share when
// workspaces of equal rank compete for slots.
type Workspace struct {
	Name   string
	Rate   PerSecond
	Burst  int
	Weight int
	Rank   Rank
}

// Key binds a key's digest to a workspace. A withdrawn key stays withdrawn.
type Key struct {
	ID        string
	Workspace string
	Digest    keyer.Digest
	Withdrawn bool
}

// Split is one service of a route that several services share, with its weight among them.
type Split struct {
	Service string `cbor:"1,keyasint" json:"service"`
	Weight  int    `cbor:"2,keyasint" json:"weight"`
}

// Route sends the requests of a host and path prefix to Service, or to the services of Splits by their weights. An
// empty Host matches every host. Open routes need no key. Repeatable routes may be retried and hedged. Limit is the
// most time that a request may take, Objective the time within which an answer has its full value to the caller, and
// Attempts the most targets that one request may be sent to; 0 leaves Objective and Attempts to the fleet.
type Route struct {
	Name        string
	Host        string
	Prefix      string
	Service     string
	Open        bool
	Repeatable  bool
	Timeout     time.Duration
	Splits      []Split
	Objective   time.Duration
	MaxAttempts int
	Rank        Rank
}

// Services returns the names of the services that the route may send requests to.
func (r Route) Services() []string {
	if len(r.Splits) == 0 {
		return []string{r.Service}
	}
	services := make([]string, 0, len(r.Splits))
	for _, split := range r.Splits {
		services = append(services, split.Service)
	}
	return services
}

// Equal reports whether other sets the same.
func (r Route) Equal(other Route) bool {
	return reflect.DeepEqual(r, other)
}

// Service is a set of interchangeable targets. Ejection never takes its healthy capacity below Floor, in slots, nor
// below FloorShare of the capacity that is present. Connections bounds what a target accepts from all nodes together;
// 0 states no bound.
type Service struct {
	Name           string
	Floor          int
	FloorShare     float64
	MaxConnections int
}

// FloorSlots returns the floor in slots while targets with slots in all are present.
func (s Service) FloorSlots(slots int) int {
	return max(s.Floor, int(math.Ceil(s.FloorShare*float64(slots))))
}

// Document is a text that an operator's tool keeps beside the objects, such as the form in which it wrote one of them.
// It is returned as it was set and decides nothing. Nodes hold none.
type Document struct {
	Name string
	Text string
}
