package importer

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// row reads the cells of one row and collects what is wrong with them.
type row struct {
	line     int
	cells    map[string]string
	comma    bool
	problems []Problem
}

// newRow assigns cells to columns. Decimal commas are taken where commas do not separate cells.
func (t table) newRow(source tableRow) *row {
	r := &row{line: source.line, cells: make(map[string]string), comma: t.separator != ','}
	for i, cell := range source.cells {
		name := t.column(i)
		switch {
		case cell == "":
		case i >= len(t.columns) || t.columns[i] == "":
			r.wrong(name, "the cell holds %q, but its column has no name", cell)
		case !validText(cell):
			r.wrong(name, "the cell holds a control character or is not UTF-8")
		default:
			r.cells[name] = cell
		}
	}
	return r
}

func (r *row) wrong(column, format string, arguments ...any) {
	r.problems = append(r.problems, Problem{r.line, column, fmt.Sprintf(format, arguments...)})
}

func (r *row) text(column string) string {
	return r.cells[column]
}

func (r *row) needed(column string) string {
	text := r.cells[column]
	if text == "" {
		r.wrong(column, "the cell is empty")
	}
	return text
}

// number returns the number in column, or missing if the cell is empty.
func (r *row) number(column string, missing float64) float64 {
	text := r.cells[column]
	if text == "" {
		return missing
	}
	if r.comma {
		text = strings.Replace(text, ",", ".", 1)
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(value) || math.IsInf(value, 0) {
		r.wrong(column, "%q is not a number", r.cells[column])
		return missing
	}
	return value
}

// whole returns the whole number in column, which must be between least and most, or missing if the cell is empty.
func (r *row) whole(column string, missing, least, most int) int {
	before := len(r.problems)
	value := r.number(column, float64(missing))
	if len(r.problems) > before || r.cells[column] == "" {
		return missing
	}
	if value != math.Trunc(value) || value < float64(least) || value > float64(most) {
		r.wrong(column, "%q is not a whole number from %d to %d", r.cells[column], least, most)
		return missing
	}
	return int(value)
}

func (r *row) yes(column string) bool {
	switch text := strings.ToLower(r.cells[column]); text {
	case "yes", "true", "1":
		return true
	case "", "no", "false", "0":
		return false
	default:
		r.wrong(column, "%q is neither yes nor no", r.cells[column])
		return false
	}
}

// only reports cells that rows of kind do not have.
func (r *row) only(columns []string, kind string) {
	for _, column := range columns {
		if column == ColumnKind || column == ColumnName || r.cells[column] == "" || columnsOf[kind][column] {
			continue
		}
		r.wrong(column, "a %s has no %s", kind, column)
	}
}
