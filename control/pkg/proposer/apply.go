package proposer

import (
	"samphiremount.example/core/refuser"
	"samphiremount.example/core/replicator"
)

// handleOutput answers requests and applies committed entries as output says. Its save and messages are handled by the
// caller.
func (l *loop) handleOutput(output replicator.Output) error {
	if output.RoleChangeReason != "" {
		if l.replicator.Leads() {
			metrics.Add("elections", 1)
		}
		l.log.Info("role changed", "leader", l.leaderName(), "leads", l.replicator.Leads(), "term",
			l.replicator.Term(), "reason", output.RoleChangeReason)
	}
	for _, id := range output.Refused {
		l.reply(id, answer{err: refuser.Refuse(refuser.LeaderUnknown, "the leader is "+l.leaderName())})
	}
	for _, appended := range output.Appended {
		// A membership change that this process started by itself has no waiting request.
		if waiting, ok := l.waiting[appended.ID]; ok {
			l.appended[appended.Position.Index] = appendedRequest{appended.Position.Term, waiting}
			delete(l.waiting, appended.ID)
		}
	}
	for _, confirmed := range output.ConfirmedReads {
		if waiting, ok := l.waiting[confirmed.ID]; ok {
			l.reads = append(l.reads, confirmedRead{confirmed.Index, waiting})
			delete(l.waiting, confirmed.ID)
		}
	}
	return l.apply(output)
}

func (l *loop) reply(id uint64, result answer) {
	if waiting, ok := l.waiting[id]; ok {
		waiting <- result
		delete(l.waiting, id)
	}
}

func (l *loop) leaderName() string {
	for _, member := range l.replicator.Members().All() {
		if member.Identity == l.replicator.Leader() {
			return member.Name
		}
	}
	return "not known"
}

// apply installs the snapshot and the committed entries of output in the hub, and answers the requests that waited for
// them.
func (l *loop) apply(output replicator.Output) error {
	if output.Install != nil {
		if err := install(l.hub, *output.Install); err != nil {
			return err
		}
		l.applied = output.Install.Position.Index
		l.compactor.reset(len(output.Install.Data))
		l.log.Info("snapshot installed", "index", l.applied, "version", l.hub.Configuration().Version())
	}
	for _, entry := range output.Committed {
		result, err := l.applyEntry(entry)
		if err != nil {
			return err
		}
		l.applied = entry.Position.Index
		if waiting, ok := l.appended[l.applied]; ok {
			if waiting.term != entry.Position.Term {
				result = answer{err: refuser.Fail(refuser.LeaderUnknown, "the leader changed; sending the same again is safe")}
			}
			waiting.answer <- result
			delete(l.appended, l.applied)
		}
	}
	unapplied := l.reads[:0]
	for _, read := range l.reads {
		if read.index > l.applied {
			unapplied = append(unapplied, read)
			continue
		}
		read.answer <- answer{}
	}
	l.reads = unapplied
	return nil
}

// applyEntry applies one entry and returns the answer to its request. Applying is deterministic, so every member refuses
// the same batches.
func (l *loop) applyEntry(entry replicator.Entry) (answer, error) {
	if entry.Members != nil {
		l.log.Info("membership in force", "index", entry.Position.Index, "voters", memberNames(entry.Members.Voters),
			"learners", len(entry.Members.Learners))
		return answer{}, nil
	}
	batch, err := decodeBatch(entry.Data)
	if err != nil {
		return answer{}, err
	}
	l.compactor.addEntry(len(entry.Data))
	receipt, err := l.hub.Apply(batch)
	if err != nil {
		return answer{err: err}, nil
	}
	return answer{receipt: receipt}, nil
}

func memberNames(members []replicator.Member) []string {
	names := make([]string, 0, len(members))
	for _, member := range members {
		names = append(names, member.Name+"/"+string(member.Identity))
	}
	return names
}
