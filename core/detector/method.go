// Package detector detects targets that are outliers among their peers in the same service.
package detector

import (
	"strconv"

	"github.com/cockroachdb/errors"
)

// Lean sets the trade-off between few false ejections (0) and a short detection time (1).
type Lean float64

// The named values of Lean.
const (
	Kowhai Lean = 0
	Even   Lean = 0.5
	Caroni Lean = 1
)

// ParseLean parses kowhai, even, caroni or a number from 0 to 1.
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
		return Even, errors.Newf("invalid lean %q: must be kowhai, even, caroni or a number from 0 to 1", text)
	}
	return Lean(number), nil
}

// interpolate returns the value for l on the line from kowhai to caroni.
func (l Lean) interpolate(kowhai, caroni float64) float64 {
	return kowhai + float64(l)*(caroni-kowhai)
}

// Method is a method of outlier detection. It is Threshold, Robust or Sequential.
type Method interface {
	evaluate(target history, peers baseline) (history, evaluation)
}

// evaluation is the result of a Method for one target: a score, which is at least 1 for a suspect, and the reason.
type evaluation struct {
	score  float64
	reason string
}
