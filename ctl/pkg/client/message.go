package client

import (
	"samphiremount.example/core/configurer"
	"samphiremount.example/core/explainer"
	"samphiremount.example/core/tracker"
)

// Batch is a set of changes under one operation identity. Sending it again is safe.
type Batch struct {
	Operation   string              `json:"operation"`
	BaseVersion uint64              `json:"base"`
	Changes     []configurer.Record `json:"changes"`
}

// Receipt tells the version that contains a batch.
type Receipt struct {
	Version uint64 `json:"version"`
}

// Configuration is the configuration as records.
type Configuration struct {
	Version uint64              `json:"version"`
	Records []configurer.Record `json:"records"`
}

// Nodes is the directory.
type Nodes struct {
	Nodes []tracker.Node `json:"nodes"`
}

// Version tells the newest version and the one in force on each node that reports to the process asked.
type Version struct {
	Version uint64            `json:"version"`
	Applied map[string]uint64 `json:"applied"`
}

// Explanation is what nodes remember of a request, in the order of their clocks. Silent lists nodes that did not answer.
type Explanation struct {
	Request   string               `json:"request"`
	Decisions []explainer.Decision `json:"decisions"`
	Silent    []string             `json:"silent"`
}

// Withdrawal names keys that are withdrawn without the leader.
type Withdrawal struct {
	Keys []string `json:"keys"`
}

// Members are the control processes: voters, learners that catch up, and newcomers with an empty data folder.
type Members struct {
	Leader  string   `json:"leader"`
	Term    uint64   `json:"term"`
	Commit  uint64   `json:"commit"`
	Members []Member `json:"members"`
}

// Member is one control process.
type Member struct {
	Name     string `json:"name"`
	Identity string `json:"identity"`
	Role     string `json:"role"`
}
