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
	peekSize      = 64 << 10
)

// table is a sheet as text: its header, in lower case, and its rows that are not blank.
type table struct {
	columns   []string
	separator rune
	rows      []tableRow
}

type tableRow struct {
	line  int
	cells []string
}

// readTable splits a sheet into cells and trims white space around them. It accepts commas, semicolons and tabs as
// separators, and skips a byte order mark and blank rows. At the first row that is not valid CSV it stops, and returns
// the rows before it with an error of type Problems.
func readTable(in io.Reader) (table, error) {
	buffered := bufio.NewReaderSize(in, peekSize)
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
			result.columns = lowerAll(cells)
			continue
		}
		result.rows = append(result.rows, tableRow{line, cells})
	}
}

// findSeparator returns the separator that occurs most often in the first row that is not blank, or a comma if there is
// none.
func findSeparator(in *bufio.Reader) rune {
	head, _ := in.Peek(peekSize)
	for line := range strings.Lines(string(head)) {
		separator, maxCount := ',', 0
		for _, candidate := range []rune{',', ';', '\t'} {
			if count := strings.Count(line, string(candidate)); count > maxCount {
				separator, maxCount = candidate, count
			}
		}
		if strings.Trim(line, " \t\r\n,;\"") != "" {
			return separator
		}
	}
	return ','
}

// trimAll trims white space, including no-break spaces, around each of cells in place, and reports whether all of them
// are empty.
func trimAll(cells []string) bool {
	blank := true
	for i := range cells {
		cells[i] = strings.TrimSpace(cells[i])
		blank = blank && cells[i] == ""
	}
	return blank
}

func lowerAll(cells []string) []string {
	names := make([]string, 0, len(cells))
	for _, cell := range cells {
		names = append(names, strings.ToLower(cell))
	}
	return names
}

// syntaxProblem returns the problem for a row that is not valid CSV. Any other err is a failure to read the sheet.
func syntaxProblem(err error) error {
	var syntax *csv.ParseError
	if !errors.As(err, &syntax) {
		return errors.Wrap(err, "read sheet")
	}
	return Problems{{syntax.Line, strconv.Itoa(syntax.Column), syntax.Err.Error()}}
}

// columnName returns the name of the column at index, or its number counted from 1 if it has no name.
func (t table) columnName(index int) string {
	if index < len(t.columns) && t.columns[index] != "" {
		return t.columns[index]
	}
	return strconv.Itoa(index + 1)
}

// validText reports whether text is valid UTF-8 without control characters.
func validText(text string) bool {
	return utf8.ValidString(text) && !strings.ContainsFunc(text, func(r rune) bool { return r < ' ' || r == 0x7f })
}
