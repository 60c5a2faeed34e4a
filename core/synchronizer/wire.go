// Package synchronizer keeps the configuration and the directory of many processes alike: one side publishes from a
// Hub, the other takes what is newer into its Sink. A subscriber gets what changed, or the whole when that is smaller.
package synchronizer

import (
	"time"

	"samphiremount.example/core/configurer"
	"samphiremount.example/core/tracker"
)

const callSubscribe = "subscribe"

const (
	// HeartbeatPeriod is the longest silence of a side that has nothing to say.
	HeartbeatPeriod = 500 * time.Millisecond
	// HeartbeatTimeout is how long a side waits for the other before it gives the connection up.
	HeartbeatTimeout = 4 * HeartbeatPeriod
	// maxContactAge is the age of a publisher's last contact with the leader from which on another one is asked.
	maxContactAge = 1200 * time.Millisecond

	maxRecordsPerMessage = 4096
	maxNodesPerMessage   = 256
	maxKeysPerMessage    = 4096
	// publishInterval joins changes that follow each other closely into one message.
	publishInterval = 20 * time.Millisecond
)

// reportMessage goes from the subscriber to the publisher. Version is that of the configuration in force.
type reportMessage struct {
	Version uint64        `cbor:"1,keyasint"`
	Node    *tracker.Node `cbor:"2,keyasint,omitempty"`
}

// updateMessage goes from the publisher to the subscriber. Records belong to the batch that makes Version, or, if
// Snapshot is set, to the whole configuration; Last closes a snapshot. Age, in milliseconds, is how long ago a control
// process was heard by the publisher: 0 for a control process itself. Withdrawn holds identifiers of keys, Controls all
// control processes, Number the operators' own number of Version. A message with nothing else is a heartbeat.
type updateMessage struct {
	Version          uint64              `cbor:"1,keyasint"`
	Snapshot         bool                `cbor:"2,keyasint,omitempty"`
	Last             bool                `cbor:"3,keyasint,omitempty"`
	Operation        string              `cbor:"4,keyasint,omitempty"`
	Records          []configurer.Record `cbor:"5,keyasint,omitempty"`
	Nodes            []tracker.Node      `cbor:"6,keyasint,omitempty"`
	ContactAgeMillis int64               `cbor:"7,keyasint,omitempty"`
	Withdrawn        []string            `cbor:"8,keyasint,omitempty"`
	Controls         []tracker.Control   `cbor:"9,keyasint,omitempty"`
	Number           uint64              `cbor:"10,keyasint,omitempty"`
}

// isHeartbeat reports whether the message closes what the publisher had to send. Only then the subscriber is as fresh as
// the publisher: one that is still behind must not count as current.
func (m updateMessage) isHeartbeat() bool {
	return !m.Snapshot && m.Operation == "" && len(m.Nodes) == 0 && len(m.Withdrawn) == 0 && len(m.Controls) == 0
}
