// Package loader is a load generator: it sends the requests of a plan through a fleet and checks their outcomes.
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

// Step is a series of identical requests with bodies of BodyBytes bytes, sent one per Period. Expect lists the allowed
// outcomes: "served", "connection-refused", "no-answer", "answer-cut" or the name of an error kind. Each of them must
// occur at least once.
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

// ParsePlan reads a plan in CSV format without a header. Each row is a step: name, method, path, key file (empty for
// none), body size in bytes, number of requests, rate in requests per second, and expected outcomes joined by "+".
// Lines that start with "#" are comments.
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
		return Step{}, errors.Newf("row has %d cells, want 8", len(row))
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
		return Step{}, errors.Newf("rate %q is not a positive number", row[6])
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
