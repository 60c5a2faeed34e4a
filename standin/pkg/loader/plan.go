// Package loader sends planned requests through a fleet and checks that each gets the outcome that it should.
package loader

import (
	"encoding/csv"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Step is a run of equal requests. Expect lists the outcomes that are allowed ("served" or the name of an error kind);
// each must come at least once.
type Step struct {
	Name      string
	Method    string
	Path      string
	Key       string
	BodyBytes int
	Count     int
	Period    time.Duration
	Expect    []string
}

// ParsePlan reads steps from CSV rows of name, method, path, key file (empty for none), bytes of body, count, rate in
// requests per second, and expected outcomes joined by "+".
func ParsePlan(in io.Reader) ([]Step, error) {
	reader := csv.NewReader(in)
	reader.Comment = '#'
	rows, err := reader.ReadAll()
	if err != nil {
		return nil, errors.Wrap(err, "read plan")
	}
	var steps []Step
	for _, row := range rows {
		step, err := parseStep(row)
		if err != nil {
			return nil, errors.Wrapf(err, "step %s", row[0])
		}
		steps = append(steps, step)
	}
	return steps, nil
}

func parseStep(row []string) (Step, error) {
	if len(row) != 8 {
		return Step{}, errors.Newf("%d cells in place of 8", len(row))
	}
	size, err := strconv.Atoi(row[4])
	if err != nil {
		return Step{}, errors.Wrap(err, "bytes")
	}
	count, err := strconv.Atoi(row[5])
	if err != nil {
		return Step{}, errors.Wrap(err, "count")
	}
	rate, err := strconv.ParseFloat(row[6], 64)
	if err != nil || rate <= 0 {
		return Step{}, errors.Newf("rate %q is not a number above 0", row[6])
	}
	key, err := readKey(row[3])
	return Step{
		Name: row[0], Method: row[1], Path: row[2], Key: key, BodyBytes: size, Count: count,
		Period: time.Duration(float64(time.Second) / rate), Expect: strings.Split(row[7], "+"),
	}, err
}

func readKey(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	content, err := os.ReadFile(path)
	return strings.TrimSpace(string(content)), errors.Wrap(err, "key file")
}
