package starter

import (
	"expvar"
	"syscall"

	"samphiremount.example/core/bounder"
	"samphiremount.example/core/logger"
)

// maxDescriptors bounds the connections of a process without a limit of descriptors of its own.
const maxDescriptors = 1 << 20

// NewClients returns the budget of all HTTP clients of a process that may use memory bytes. It must be called once at most, since it
// publishes metrics.
func NewClients(memory int64, log logger.Logger) *bounder.Budget {
	// Go raises the soft limit to the hard one when a process starts, so this is the limit in force.
	var descriptors syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &descriptors); err != nil || descriptors.Cur > maxDescriptors {
		descriptors.Cur = maxDescriptors
	}
	limits := bounder.LimitsOf(memory, descriptors.Cur)
	log.Part("clients").Info("clients bounded", "memory", limits.Memory, "connections", limits.Connections,
		"handshakes", limits.Handshakes, "gate", limits.Gate)
	return bounder.NewBudget(limits, expvar.NewMap("clients"), log.Part("clients"))
}
