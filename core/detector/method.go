// Package detector judges targets by evidence, against their peers in the same service.
package detector

import (
	"strconv"

	"github.com/cockroachdb/errors"
)

// Lean moves the trade between false ejections (0) and detection time (1).
type Lean float64

// The leans with a name.
const (
	Kowhai Lean = 0
	Even   Lean = 0.5
	Caroni Lean = 1
)

// ParseLean reads kowhai, even, caroni or a number from 0 to 1.
func ParseLean(text string) (Lean, error) {
	switch text {
	case "kowhai":
		return Kowhai, nil
	case "even":
		return Even, nil
	case "caroni":
		return Caroni, nil
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || !(number >= 0 && number <= 1) {
		return Even, errors.Newf("%q is none of kowhai, even, caroni and a number from 0 to 1", text)
	}
	return Lean(number), nil
}

func (l Lean) interpolate(kowhai, caroni float64) float64 {
	return kowhai + float64(l)*(caroni-kowhai)
}

// Method is a way of judging. It is Threshold, Robust or Sequential.
type Method interface {
	evaluate(target history, peers baseline) (history, evaluation)
}

// evaluation is a Method's result for one target: a score, at least 1 for a suspect, and the reason.
type evaluation struct {
	score  float64
	reason string
}
