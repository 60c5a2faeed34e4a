package tombstoner

import "samphiremount.example/core/refuser"

// Outcome returns what state promises to the caller of an identity. Nobody else may have started the request.
func Outcome(state State) refuser.Outcome {
	switch state.(type) {
	case Tombstoned, Refused:
		return refuser.NotRun{}
	case Started, Finished, Forgotten:
		return refuser.Unknown{}
	}
	return refuser.Unknown{}
}

// Name returns the word for state on the wire and in logs.
func Name(state State) string {
	switch state.(type) {
	case Tombstoned:
		return "buried"
	case Started:
		return "started"
	case Finished:
		return "finished"
	case Refused:
		return "refused"
	case Forgotten:
	}
	return "forgotten"
}

// Parse reads the word that Name returns. Any other word is Forgotten, which promises nothing.
func Parse(name string) State {
	for _, state := range []State{Tombstoned{}, Started{}, Finished{}, Refused{}} {
		if Name(state) == name {
			return state
		}
	}
	return Forgotten{}
}

// Outcome returns what a gate may promise when it answers the wish to start an identity with verdict. A duplicate or
// an identity of another incarnation may have been started before.
func (v Verdict) Outcome() refuser.Outcome {
	switch v {
	case Late, TooFarAhead, Tombstone, Full:
		return refuser.NotRun{}
	case Go, WrongIncarnation, Duplicate:
		return refuser.Unknown{}
	}
	return refuser.Unknown{}
}
