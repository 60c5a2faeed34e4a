package importer

import (
	"bufio"
	"encoding/csv"
	"io"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

const (
	byteOrderMark = "\ufeff"
	headPeek      = 64 << 10
)

// table is a sheet as text: its header and the rows that hold anything.
type table struct {
	columns   []string
	separator rune
	rows      []tableRow
}

type tableRow struct {
	line  int
	cells []string
}

// readTable splits a sheet into cells without white space around them. It takes commas, semicolons and tabs as
// separators, skips a byte order mark and blank rows, and stops at the first row that is not CSV.
func readTable(in io.Reader) (table, error) {
	buffered := bufio.NewReaderSize(in, headPeek)
	if mark, _ := buffered.Peek(len(byteOrderMark)); string(mark) == byteOrderMark {
		_, _ = buffered.Discard(len(byteOrderMark))
	}
	result := table{separator: findSeparator(buffered)}
	reader := csv.NewReader(buffered)
	reader.Comma = result.separator
	reader.FieldsPerRecord = -1
	for {
		cells, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return result, nil
		}
		if err != nil {
			return result, syntaxProblem(err)
		}
		line, _ := reader.FieldPos(0)
		if blank := trimAll(cells); blank {
			continue
		}
		if result.columns == nil {
			result.columns = lower(cells)
			continue
		}
		result.rows = append(result.rows, tableRow{line, cells})
	}
}

// findSeparator returns the separator that the first row with any text has most of.
func findSeparator(in *bufio.Reader) rune {
	head, _ := in.Peek(headPeek)
	for line := range strings.Lines(string(head)) {
		best, most := ',', 0
		for _, candidate := range []rune{',', ';', '\t'} {
			if count := strings.Count(line, string(candidate)); count > most {
				best, most = candidate, count
			}
		}
		if strings.Trim(line, " \t\r\n,;\"") != "" {
			return best
		}
	}
	return ','
}

// trimAll removes white space around cells, no-break spaces included, and reports whether nothing is left in any.
func trimAll(cells []string) bool {
	blank := true
	for i := range cells {
		cells[i] = strings.TrimSpace(cells[i])
		blank = blank && cells[i] == ""
	}
	return blank
}

func lower(cells []string) []string {
	names := make([]string, 0, len(cells))
	for _, cell := range cells {
		names = append(names, strings.ToLower(cell))
	}
	return names
}

func syntaxProblem(err error) error {
	var syntax *csv.ParseError
	if !errors.As(err, &syntax) {
		return errors.Wrap(err, "read sheet")
	}
	return Problems{{syntax.Line, strconv.Itoa(syntax.Column), syntax.Err.Error()}}
}

// column returns the name of the column at index, or its number counted from 1.
func (t table) column(index int) string {
	if index < len(t.columns) && t.columns[index] != "" {
		return t.columns[index]
	}
	return strconv.Itoa(index + 1)
}

func validText(text string) bool {
	return utf8.ValidString(text) && !strings.ContainsFunc(text, func(r rune) bool { return r < ' ' || r == 0x7f })
}
