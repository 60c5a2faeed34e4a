package importer

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// row converts the cells of one row, by column name, and collects their problems.
type row struct {
	line         int
	cells        map[string]string
	decimalComma bool
	problems     []Problem
}

// newRow assigns the cells of source to columns. Decimal commas are accepted if cells are not separated by commas.
func (t table) newRow(source tableRow) *row {
	r := &row{line: source.line, cells: make(map[string]string), decimalComma: t.separator != ','}
	for i, cell := range source.cells {
		name := t.columnName(i)
		switch {
		case cell == "":
		case i >= len(t.columns) || t.columns[i] == "":
			r.addProblem(name, "the cell holds %q, but its column has no name", cell)
		case !validText(cell):
			r.addProblem(name, "the cell holds a control character or is not UTF-8")
		default:
			r.cells[name] = cell
		}
	}
	return r
}

func (r *row) addProblem(column, format string, arguments ...any) {
	r.problems = append(r.problems, Problem{r.line, column, fmt.Sprintf(format, arguments...)})
}

func (r *row) text(column string) string {
	return r.cells[column]
}

// required returns the text in column, and reports a problem if the cell is empty.
func (r *row) required(column string) string {
	text := r.cells[column]
	if text == "" {
		r.addProblem(column, "the cell is empty")
	}
	return text
}

// number returns the number in column, or fallback if the cell is empty or not a number.
func (r *row) number(column string, fallback float64) float64 {
	text := r.cells[column]
	if text == "" {
		return fallback
	}
	if r.decimalComma {
		text = strings.Replace(text, ",", ".", 1)
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(value) || math.IsInf(value, 0) {
		r.addProblem(column, "%q is not a number", r.cells[column])
		return fallback
	}
	return value
}

// integer returns the whole number in column, which must be between minValue and maxValue, or fallback if the cell is
// empty or wrong.
func (r *row) integer(column string, fallback, minValue, maxValue int) int {
	before := len(r.problems)
	value := r.number(column, float64(fallback))
	if len(r.problems) > before || r.cells[column] == "" {
		return fallback
	}
	if value != math.Trunc(value) || value < float64(minValue) || value > float64(maxValue) {
		r.addProblem(column, "%q is not a whole number from %d to %d", r.cells[column], minValue, maxValue)
		return fallback
	}
	return int(value)
}

// boolean reports whether the cell in column says yes. An empty cell means no.
func (r *row) boolean(column string) bool {
	switch text := strings.ToLower(r.cells[column]); text {
	case "yes", "true", "1":
		return true
	case "", "no", "false", "0":
		return false
	default:
		r.addProblem(column, "%q is neither yes nor no", r.cells[column])
		return false
	}
}

// checkColumns reports filled cells in columns that rows of kind do not have.
func (r *row) checkColumns(columns []string, kind string) {
	for _, column := range columns {
		if column == ColumnKind || column == ColumnName || r.cells[column] == "" || columnsByKind[kind][column] {
			continue
		}
		r.addProblem(column, "a %s row must leave column %s empty", kind, column)
	}
}
