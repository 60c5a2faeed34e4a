package ejector

// Decision is one step of a round for the log. It is Ejected, Kept, Tried or Returned.
type Decision interface {
	decision()
}

// Ejected is a target that gets no more requests.
type Ejected struct {
	Target string
	Reason string
}

// Kept is a suspect that stays in use, since the floor leaves no allowance for it.
type Kept struct {
	Target string
	Reason string
}

// TrialStarted is an ejected target that gets a few repeatable requests from now on.
type TrialStarted struct {
	Target string
}

// Returned is a target that is in use again.
type Returned struct {
	Target string
	Reason string
}

func (Ejected) decision()      {}
func (Kept) decision()         {}
func (TrialStarted) decision() {}
func (Returned) decision()     {}
