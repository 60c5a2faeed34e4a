// Package synchronizer distributes the configuration and the directory of nodes to all processes. A publisher serves
// them from its Hub; a subscriber applies whatever is newer than its own copy to its Sink. A publisher sends only the
// changes that a subscriber lacks, or a snapshot if it no longer has them all or they are too many for one message.
package synchronizer

import (
	"time"

	"samphiremount.example/core/configurer"
	"samphiremount.example/core/tracker"
)

const callSubscribe = "subscribe"

const (
	// HeartbeatPeriod is the interval at which each side sends a message when it has nothing else to send.
	HeartbeatPeriod = 500 * time.Millisecond
	// HeartbeatTimeout is how long a subscriber waits for a message before it closes the connection.
	HeartbeatTimeout = 4 * HeartbeatPeriod
	// maxContactAge is the age of a publisher's last contact with control above which a subscriber tries another
	// publisher.
	maxContactAge = 1200 * time.Millisecond

	maxRecordsPerMessage = 4096
	// maxRecordBytesPerMessage bounds the records of a message but for the last of them. With that, a message stays below
	// the limit of messenger.
	maxRecordBytesPerMessage = 1 << 20
	maxNodesPerMessage       = 256
	maxKeysPerMessage        = 4096
	// publishInterval is the minimum time between two updates of a subscriber, so that changes in quick succession are
	// sent together.
	publishInterval = 20 * time.Millisecond
)

// reportMessage is sent by the subscriber. Version is that of its configuration in force. Node is its own record, if it
// is a node. Region and Digest are set by a control process: its region, and the digest of its directory. Digests are those of
// the directory; they are only in the first report.
type reportMessage struct {
	Version uint64        `cbor:"1,keyasint"`
	Node    *tracker.Node `cbor:"2,keyasint,omitempty"`
	Region  string        `cbor:"3,keyasint,omitempty"`
	Digest  uint64        `cbor:"4,keyasint,omitempty"`
	Digests []uint64      `cbor:"5,keyasint,omitempty"`
}

// updateMessage is sent by the publisher. Records belong to the batch that creates Version or, if Snapshot is set, to
// the whole configuration; Last marks the final message of a snapshot. Number is the operators' own number of Version.
// Withdrawn holds identifiers of keys, Controls all control processes. ContactAgeMillis is the time since the publisher
// was last in contact with control (see ContactAge). A message that has only Version and ContactAgeMillis is a
// heartbeat.
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

// isHeartbeat reports whether m carries no data. The publisher sends a heartbeat after all pending data. Only then is
// the subscriber as current as the publisher and may adopt its contact age.
func (m updateMessage) isHeartbeat() bool {
	return !m.Snapshot && m.Operation == "" && len(m.Nodes) == 0 && len(m.Withdrawn) == 0 && len(m.Controls) == 0
}
