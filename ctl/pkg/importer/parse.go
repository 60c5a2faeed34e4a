package importer

import (
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"samphiremount.example/core/configurer"
)

const (
	maxMilliseconds = int(time.Hour / time.Millisecond)
	maxInteger      = configurer.MaxNumber
	maxRate         = configurer.MaxRate
)

// Parse reads a sheet. If the sheet could be read but has wrong cells, the error is of type Problems.
func Parse(in io.Reader) (Sheet, error) {
	table, err := readTable(in)
	var problems Problems
	if err != nil && !errors.As(err, &problems) {
		return Sheet{}, err
	}
	problems = append(table.checkHeader(), problems...)
	if len(table.columns) == 0 {
		return Sheet{}, append(problems, Problem{1, ColumnKind, "the sheet is empty"})
	}
	parser := parser{table: table, firstLines: make(map[string]int)}
	for _, source := range table.rows {
		parser.addRow(source)
	}
	parser.checkRoutedServices()
	parser.sheet.Missing = table.missingColumns()
	problems = append(problems, parser.problems...)
	if len(problems) > 0 {
		slices.SortStableFunc(problems, func(a, b Problem) int { return a.Line - b.Line })
		return Sheet{}, problems
	}
	return parser.sheet, nil
}

// checkHeader reports unknown columns, duplicate columns, and missing columns that are required.
func (t table) checkHeader() Problems {
	const headerLine = 1
	var problems Problems
	if t.columns == nil {
		return nil
	}
	seen := make(map[string]bool)
	for _, name := range t.columns {
		switch {
		case name == "":
		case !slices.Contains(Columns(), name):
			problems = append(problems, Problem{headerLine, name, "unknown column"})
		case seen[name]:
			problems = append(problems, Problem{headerLine, name, "the column appears twice"})
		}
		seen[name] = true
	}
	for _, name := range []string{ColumnKind, ColumnName} {
		if !seen[name] {
			problems = append(problems, Problem{headerLine, name, "the column is missing"})
		}
	}
	return problems
}

// missingColumns returns the known columns that the header does not have.
func (t table) missingColumns() []string {
	var names []string
	for _, name := range Columns() {
		if !slices.Contains(t.columns, name) {
			names = append(names, name)
		}
	}
	return names
}

// parser builds a sheet from the rows of a table and collects their problems. The field firstLines maps the kind and
// name of an object to the line that describes it first. routeLines holds the line of each route in sheet.Routes.
type parser struct {
	table      table
	sheet      Sheet
	firstLines map[string]int
	routeLines []int
	problems   []Problem
}

func (p *parser) addRow(source tableRow) {
	r := p.table.newRow(source)
	kind := strings.ToLower(r.text(ColumnKind))
	name := r.required(ColumnName)
	switch kind {
	case KindWorkspace:
		p.sheet.Workspaces = append(p.sheet.Workspaces, r.workspace(name))
	case KindRoute:
		p.sheet.Routes = append(p.sheet.Routes, r.route(name))
		p.routeLines = append(p.routeLines, r.line)
	case KindService:
		floor := r.integer(ColumnFloor, 0, 0, maxInteger)
		p.sheet.Services = append(p.sheet.Services, configurer.Service{Name: name, Floor: floor})
	case "":
		r.addProblem(ColumnKind, "the cell is empty")
	default:
		r.addProblem(ColumnKind, "%q is not workspace, route or service", r.text(ColumnKind))
	}
	if columnsByKind[kind] != nil {
		r.checkColumns(p.table.columns, kind)
		p.checkUnique(r, kind, name)
	}
	p.problems = append(p.problems, r.problems...)
}

// checkUnique reports a row whose kind and name an earlier row has.
func (p *parser) checkUnique(r *row, kind, name string) {
	if name == "" {
		return
	}
	identity := kind + " " + name
	if first, ok := p.firstLines[identity]; ok {
		r.addProblem(ColumnName, "%s is already defined on line %d", identity, first)
		return
	}
	p.firstLines[identity] = r.line
}

// checkRoutedServices reports routes to services that have no row in the sheet.
func (p *parser) checkRoutedServices() {
	for i, route := range p.sheet.Routes {
		if route.Service == "" {
			continue
		}
		if _, ok := p.firstLines[KindService+" "+route.Service]; !ok {
			reason := "service " + route.Service + " is not defined in the sheet"
			p.problems = append(p.problems, Problem{p.routeLines[i], ColumnService, reason})
		}
	}
}

func (r *row) workspace(name string) Workspace {
	rate := r.number(ColumnRate, 0)
	if r.required(ColumnRate) != "" && (rate <= 0 || rate > maxRate) {
		r.addProblem(ColumnRate, "%q is not a rate above 0 and at most 1e9", r.text(ColumnRate))
	}
	r.required(ColumnBurst)
	return Workspace{
		Workspace: configurer.Workspace{
			Name: name, Rate: configurer.PerSecond(rate), Burst: r.integer(ColumnBurst, 0, 1, maxInteger),
			Weight: r.integer(ColumnWeight, 0, 0, maxInteger),
		},
		Keys: r.integer(ColumnKeys, -1, 0, maxInteger),
	}
}

func (r *row) route(name string) configurer.Route {
	prefix := r.required(ColumnPrefix)
	if prefix != "" && !strings.HasPrefix(prefix, "/") {
		r.addProblem(ColumnPrefix, "%q does not start with /", prefix)
	}
	r.required(ColumnMilliseconds)
	route := configurer.Route{
		Name: name, Host: r.text(ColumnHost), Prefix: prefix, Service: r.required(ColumnService), Open: r.boolean(ColumnOpen),
		Repeatable: r.boolean(ColumnRepeatable), Upload: r.boolean(ColumnUpload),
		Timeout: time.Duration(r.integer(ColumnMilliseconds, 0, 1, maxMilliseconds)) * time.Millisecond,
	}
	if route.Repeatable && route.Upload {
		r.addProblem(ColumnUpload, "the route is repeatable; an upload runs at most once")
	}
	return route
}
