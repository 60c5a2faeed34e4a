// Package importer reads the sheet that planners export.
package importer

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"samphiremount.example/core/configurer"
)

// Parse reads a CSV sheet with a header row into records. Each row is one object; its column kind says which. The
// error names every wrong cell by line and column.
func Parse(in io.Reader) ([]configurer.Record, error) {
	reader := csv.NewReader(in)
	reader.FieldsPerRecord = -1
	rows, err := reader.ReadAll()
	if err != nil {
		return nil, errors.Wrap(err, "read sheet")
	}
	if len(rows) == 0 {
		return nil, errors.New("the sheet is empty")
	}
	var records []configurer.Record
	var wrong []string
	for i, cells := range rows[1:] {
		row := row{columns: rows[0], cells: cells, line: i + 2}
		records = append(records, row.record())
		wrong = append(wrong, row.wrong...)
	}
	if len(wrong) > 0 {
		return nil, errors.Newf("%s", strings.Join(wrong, "\n"))
	}
	return records, nil
}

type row struct {
	columns []string
	cells   []string
	line    int
	wrong   []string
}

func (r *row) record() configurer.Record {
	return configurer.Record{
		Verb: "put", Kind: r.text("kind"), Name: r.text("name"), Rate: configurer.PerSecond(r.number("rate")),
		Burst: int(r.number("burst")), Weight: int(r.number("weight")), Host: r.text("host"), Prefix: r.text("prefix"),
		Service: r.text("service"), Open: r.yes("open"), Repeatable: r.yes("repeatable"),
		Limit: int64(r.number("milliseconds")), Floor: int(r.number("floor")),
	}
}

func (r *row) text(column string) string {
	for i, name := range r.columns {
		if name == column && i < len(r.cells) {
			return strings.TrimSpace(r.cells[i])
		}
	}
	return ""
}

func (r *row) number(column string) float64 {
	text := r.text(column)
	if text == "" {
		return 0
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		r.wrong = append(r.wrong, fmt.Sprintf("line %d, column %s: %q is not a number", r.line, column, text))
	}
	return value
}

func (r *row) yes(column string) bool {
	switch text := r.text(column); text {
	case "yes", "true":
		return true
	case "", "no", "false":
		return false
	default:
		r.wrong = append(r.wrong, fmt.Sprintf("line %d, column %s: %q is neither yes nor no", r.line, column, text))
		return false
	}
}
