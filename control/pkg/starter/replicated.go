package starter

import (
	"math"

	"github.com/google/uuid"

	"samphiremount.example/control/pkg/examiner"
	"samphiremount.example/control/pkg/proposer"
	"samphiremount.example/control/pkg/storer"
	"samphiremount.example/core/configurer"
	"samphiremount.example/core/judger"
	"samphiremount.example/core/logger"
	"samphiremount.example/core/messenger"
	"samphiremount.example/core/replicator"
	"samphiremount.example/core/synchronizer"
)

func newReplicated(
	settings Settings, disk storer.Disk, hub *synchronizer.Hub, pool *messenger.Pool, log logger.Logger,
) (*proposer.Replicated, error) {
	place := proposer.Settings{Name: settings.Name, Addresses: settings.Addresses()}
	drawn := replicator.Identity(uuid.NewString())
	return proposer.New(place, disk, drawn, hub, pool, log.Part("replicate"))
}

// newExaminer takes settings that were checked.
func newExaminer(
	settings Settings, hub *synchronizer.Hub, pool *messenger.Pool, log logger.Logger,
) *examiner.Examiner {
	lean, _ := judger.ParseLean(settings.Lean)
	return examiner.New(settings.Name, settings.Addresses().Others(settings.Name), judger.NewSequential(lean), hub, pool, log.Part("eject"))
}

// directorySink takes the directory from other control processes. Their configuration comes by the log alone, so that
// the sink reports the highest version, after which a publisher has nothing to send.
type directorySink struct{ *synchronizer.Hub }

// Configuration implements synchronizer.Sink.
func (directorySink) Configuration() configurer.Configuration {
	return configurer.Configuration{}.At(math.MaxUint64)
}

// Install implements synchronizer.Sink.
func (directorySink) Install(configurer.Configuration) bool { return false }
