// Package configurer holds the fleet's configuration as an immutable value, and the rules for changing it.
package configurer

import (
	"math"
	"reflect"
	"time"

	"samphiremount.example/core/keyer"
)

// PerSecond is a rate in requests per second.
type PerSecond float64

// Rank orders requests under overload. 1 is the most urgent; greater numbers are less urgent. 0 means that no rank is
// set.
type Rank int

// Workspace is one tenant with its rate and burst for the whole fleet. A Rate of 0 sets no limit. Weight is its share
// when workspaces of equal rank compete for slots. Regions lists the regions in which its requests may be served; without
// any, all regions are allowed.
type Workspace struct {
	Name    string
	Rate    PerSecond
	Burst   int
	Weight  int
	Rank    Rank
	Regions []string `json:",omitempty"`
}

// Equal reports whether w and other have the same fields.
func (w Workspace) Equal(other Workspace) bool {
	return reflect.DeepEqual(w, other)
}

// Key assigns the key with Digest to a workspace. A withdrawn key stays withdrawn.
type Key struct {
	ID        string
	Workspace string
	Digest    keyer.Digest
	Withdrawn bool
}

// Split is one of several services of a route, with its weight relative to the others.
type Split struct {
	Service string `cbor:"1,keyasint" json:"service"`
	Weight  int    `cbor:"2,keyasint" json:"weight"`
}

// Route sends the requests with a host and path prefix to Service, or to the services of Splits by their weights. An
// empty Host matches every host. Open routes need no key. Requests of Repeatable routes may be retried and hedged. Those of
// Upload routes have large bodies and run at most once; such a route is never Repeatable.
// Timeout bounds the time of a request. Objective is the time within which an answer has its full value to the caller.
// An Objective of 0 means that the route has none. MaxAttempts bounds the targets that one request is sent to; 0 means
// the default of the fleet. Regions lists the regions in which the requests may be served; without any, all regions are
// allowed. The JSON names are those of an exported sheet.
type Route struct {
	Name        string
	Host        string
	Prefix      string
	Service     string
	Open        bool
	Repeatable  bool
	Upload      bool
	Timeout     time.Duration `json:"Limit"`
	Splits      []Split
	Objective   time.Duration
	MaxAttempts int `json:"Attempts"`
	Rank        Rank
	Regions     []string `json:",omitempty"`
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

// Equal reports whether r and other have the same fields.
func (r Route) Equal(other Route) bool {
	return reflect.DeepEqual(r, other)
}

// Service is a set of interchangeable targets. Ejection never reduces its healthy capacity below Floor slots, nor below
// the fraction FloorShare of the capacity that is present. MaxConnections bounds the connections that a target accepts
// from all nodes together; 0 means no bound. A target is cold for ColdDuration after it starts. While it is cold, it gets
// ColdRate requests in a second; 0 means no limit.
type Service struct {
	Name           string
	Floor          int
	FloorShare     float64
	MaxConnections int           `json:"Connections"`
	ColdDuration   time.Duration `json:",omitempty"`
	ColdRate       PerSecond     `json:",omitempty"`
}

// FloorSlots returns the floor in slots, given the total slots of all targets that are present.
func (s Service) FloorSlots(total int) int {
	return max(s.Floor, int(math.Ceil(s.FloorShare*float64(total))))
}

// Document is a text that an operator's tool stores with the objects, such as the original form of one of them. It is
// returned unchanged and has no effect. Nodes hold no documents.
type Document struct {
	Name string
	Text string
}

// Evacuation states that the targets in the data centre called Centre get no requests. It is independent of the other
// objects, and stays in force whatever becomes of them.
type Evacuation struct {
	Centre string
}
