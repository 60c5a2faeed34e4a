package ejector

// Decision is one decision of a round, for the log. It is Ejected, Kept, TrialStarted or Returned.
type Decision interface {
	decision()
}

// Ejected reports that a target gets no more requests.
type Ejected struct {
	Target string
	Reason string
}

// Kept reports that a suspect stays in use, since its ejection would take the capacity below the floor.
type Kept struct {
	Target string
	Reason string
}

// TrialStarted reports that an ejected target now gets a few repeatable requests.
type TrialStarted struct {
	Target string
}

// Returned reports that an ejected target is in use again.
type Returned struct {
	Target string
	Reason string
}

func (Ejected) decision()      {}
func (Kept) decision()         {}
func (TrialStarted) decision() {}
func (Returned) decision()     {}
