package client

import (
	"samphiremount.example/core/configurer"
	"samphiremount.example/core/explainer"
	"samphiremount.example/core/tracker"
)

// Batch is a set of changes that is applied as one operation. It can be sent again safely: a control process applies
// each operation once.
type Batch struct {
	Operation   string              `json:"operation"`
	BaseVersion uint64              `json:"base"`
	Changes     []configurer.Record `json:"changes"`
}

// Receipt holds the first version that contains a batch.
type Receipt struct {
	Version uint64 `json:"version"`
}

// Configuration holds all records of the configuration at a version.
type Configuration struct {
	Version uint64              `json:"version"`
	Records []configurer.Record `json:"records"`
}

// Nodes holds the nodes of the directory.
type Nodes struct {
	Nodes []tracker.Node `json:"nodes"`
}

// Version holds the newest version of the configuration that a control process has and, in Applied, the version in force
// on each node that reports to it.
type Version struct {
	Version uint64            `json:"version"`
	Applied map[string]uint64 `json:"applied"`
}

// Explanation holds the decisions about a request that nodes recorded, ordered by the time on the nodes' clocks. Silent
// lists the nodes that did not answer.
type Explanation struct {
	Request   string               `json:"request"`
	Decisions []explainer.Decision `json:"decisions"`
	Silent    []string             `json:"silent"`
}

// Withdrawal lists the identifiers of keys to withdraw.
type Withdrawal struct {
	Keys []string `json:"keys"`
}

// Members lists the control processes: voters, learners that still catch up, and joining processes with an empty data
// folder.
type Members struct {
	Leader  string   `json:"leader"`
	Term    uint64   `json:"term"`
	Commit  uint64   `json:"commit"`
	Members []Member `json:"members"`
}

// Member is one control process with the identity of its data folder and its role.
type Member struct {
	Name     string `json:"name"`
	Identity string `json:"identity"`
	Role     string `json:"role"`
}
