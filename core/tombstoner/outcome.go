package tombstoner

import "samphiremount.example/core/refuser"

// Outcome returns what state guarantees to the caller of the request, provided that no other identity of the request
// may have started.
func Outcome(state State) refuser.Outcome {
	switch state.(type) {
	case Tombstoned, Refused:
		return refuser.NotRun{}
	case Started, Finished, Forgotten, Waiting, Unseen:
		return refuser.Unknown{}
	}
	return refuser.Unknown{}
}

// Name returns the name of state on the wire and in logs.
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
	case Waiting:
		return "waiting"
	case Unseen:
		return "unseen"
	case Forgotten:
	}
	return "forgotten"
}

// Parse returns the state with the given name. An unknown name is parsed as Forgotten, which guarantees nothing.
func Parse(name string) State {
	for _, state := range []State{Tombstoned{}, Started{}, Finished{}, Refused{}, Waiting{}, Unseen{}} {
		if Name(state) == name {
			return state
		}
	}
	return Forgotten{}
}

// Outcome returns what the verdict guarantees to the caller of the request. A duplicate, or an identity of another
// incarnation, may have started before.
func (v Verdict) Outcome() refuser.Outcome {
	switch v {
	case Late, TooFarAhead, Tombstone, Full:
		return refuser.NotRun{}
	case Go, WrongIncarnation, Duplicate:
		return refuser.Unknown{}
	}
	return refuser.Unknown{}
}
