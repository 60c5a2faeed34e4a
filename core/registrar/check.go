package registrar

import (
	"net/netip"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

const (
	// maxNameBytes bounds the names of targets and services, since each process holds those of the whole fleet.
	maxNameBytes = 256
	// MaxSlots bounds the slots of a target. Each request that runs takes a connection, and one address has no more ports.
	MaxSlots = 1<<16 - 1
	// maxSequence is the largest integer that JSON carries exactly.
	maxSequence = 1 << 53
	// maxClockLead bounds how far the start of a target may lie ahead of this VM's clock. Beyond it no later start of the
	// target would be recognized as one.
	maxClockLead = 24 * time.Hour
)

// Check returns an error if a cannot come from a target that is usable at now.
func (a Announcement) Check(now time.Time) error {
	if !validName(a.Name) || !validName(a.Service) {
		return errors.New("an announcement needs a name and a service of printable text")
	}
	if a.Slots < 1 || a.Slots > MaxSlots {
		return errors.Newf("an announcement needs between 1 and %d slots", MaxSlots)
	}
	if a.Sequence > maxSequence || a.StartedAt < 0 || a.StartedAt > now.Add(maxClockLead).UnixMilli() {
		return errors.New("the start or the sequence number of an announcement is out of range")
	}
	address, err := netip.ParseAddrPort(a.Address)
	if err != nil || address.Port() == 0 || address.Addr().Unmap().IsUnspecified() || address.Addr().IsMulticast() {
		return errors.New("an announcement needs the IP address and port of one listener")
	}
	return nil
}

func validName(name string) bool {
	return name != "" && len(name) <= maxNameBytes && utf8.ValidString(name) && !strings.ContainsFunc(name, unicode.IsControl)
}
