package forwarder

import (
	"time"

	"samphiremount.example/core/informer"
)

// newsMessage is the wire form of informer.News. Age and TrialIn are durations in milliseconds, because the clocks of two VMs
// can't be compared.
type newsMessage struct {
	Target  string `cbor:"1,keyasint"`
	State   uint8  `cbor:"2,keyasint,omitempty"`
	Age     int64  `cbor:"3,keyasint,omitempty"`
	TrialIn int64  `cbor:"4,keyasint,omitempty"`
}

// tell returns what is told with a message that is sent now.
func tell(news *informer.Informer) []newsMessage {
	now := time.Now()
	var messages []newsMessage
	for _, n := range news.Tell(now) {
		message := newsMessage{Target: n.Target, State: uint8(n.State), Age: now.Sub(n.At).Milliseconds()}
		if n.TrialAt.After(now) {
			message.TrialIn = n.TrialAt.Sub(now).Milliseconds()
		}
		messages = append(messages, message)
	}
	return messages
}

// maxNews and maxTargetBytes bound what is taken from one message, whatever its sender says.
const (
	maxNews        = 16
	maxTargetBytes = 256
)

// record adds what another node has told. The time that its message took is not known, so the news seem younger by that.
func record(news *informer.Informer, messages []newsMessage) {
	now := time.Now()
	for _, m := range messages[:min(len(messages), maxNews)] {
		if len(m.Target) > maxTargetBytes || m.Age < 0 || m.Age > informer.Lifetime.Milliseconds() {
			continue
		}
		news.Record(now, informer.News{
			Target: m.Target, State: informer.State(m.State), At: now.Add(-time.Duration(m.Age) * time.Millisecond),
			TrialAt: now.Add(time.Duration(min(max(m.TrialIn, 0), informer.Lifetime.Milliseconds())) * time.Millisecond),
		})
	}
}
