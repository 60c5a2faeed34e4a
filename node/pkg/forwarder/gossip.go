package forwarder

import (
	"time"

	"samphiremount.example/core/gossiper"
)

// verdictMessage is the wire form of gossiper.Verdict. Age and TrialIn are durations in milliseconds, because the clocks of two
// VMs can't be compared.
type verdictMessage struct {
	Target  string `cbor:"1,keyasint"`
	State   uint8  `cbor:"2,keyasint,omitempty"`
	Age     int64  `cbor:"3,keyasint,omitempty"`
	TrialIn int64  `cbor:"4,keyasint,omitempty"`
}

// digestMessage returns the verdicts to send with a message now.
func digestMessage(gossip *gossiper.Gossiper) []verdictMessage {
	now := time.Now()
	var messages []verdictMessage
	for _, v := range gossip.Digest(now) {
		message := verdictMessage{Target: v.Target, State: uint8(v.State), Age: now.Sub(v.At).Milliseconds()}
		if v.TrialAt.After(now) {
			message.TrialIn = v.TrialAt.Sub(now).Milliseconds()
		}
		messages = append(messages, message)
	}
	return messages
}

// maxVerdicts and maxTargetBytes bound what is read from one message. maxVerdicts is twice what this version sends, so that a
// later one may send more.
const (
	maxVerdicts    = 16
	maxTargetBytes = 256
)

// recordVerdicts adds the verdicts of a received message. Its time on the network is unknown, so they seem younger by that.
func recordVerdicts(gossip *gossiper.Gossiper, messages []verdictMessage) {
	now := time.Now()
	for _, m := range messages[:min(len(messages), maxVerdicts)] {
		if len(m.Target) > maxTargetBytes || m.Age < 0 || m.Age > gossiper.Lifetime.Milliseconds() {
			continue
		}
		gossip.Record(now, gossiper.Verdict{
			Target: m.Target, State: gossiper.State(m.State), At: now.Add(-time.Duration(m.Age) * time.Millisecond),
			TrialAt: now.Add(time.Duration(min(max(m.TrialIn, 0), gossiper.Lifetime.Milliseconds())) * time.Millisecond),
		})
	}
}
