package importer

import (
	"io"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"samphiremount.example/core/configurer"
)

const (
	maxMilliseconds = int(time.Hour / time.Millisecond)
	maxWhole        = math.MaxInt32
	maxRate         = 1e9
)

// Parse reads a sheet. Its error is of type Problems if the sheet was read but is wrong.
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
	parser := parser{table: table, lines: make(map[string]int)}
	for _, source := range table.rows {
		parser.add(source)
	}
	parser.checkServices()
	parser.sheet.Missing = table.missing()
	problems = append(problems, parser.problems...)
	if len(problems) > 0 {
		slices.SortStableFunc(problems, func(a, b Problem) int { return a.Line - b.Line })
		return Sheet{}, problems
	}
	return parser.sheet, nil
}

// checkHeader names columns that are not known, that stand twice or that are missing.
func (t table) checkHeader() Problems {
	const headLine = 1
	var problems Problems
	if t.columns == nil {
		return nil
	}
	seen := make(map[string]bool)
	for _, name := range t.columns {
		switch {
		case name == "":
		case !slices.Contains(Columns(), name):
			problems = append(problems, Problem{headLine, name, "no column is called so"})
		case seen[name]:
			problems = append(problems, Problem{headLine, name, "the column stands twice"})
		}
		seen[name] = true
	}
	for _, name := range []string{ColumnKind, ColumnName} {
		if !seen[name] {
			problems = append(problems, Problem{headLine, name, "the column is missing"})
		}
	}
	return problems
}

func (t table) missing() []string {
	var names []string
	for _, name := range Columns() {
		if !slices.Contains(t.columns, name) {
			names = append(names, name)
		}
	}
	return names
}

type parser struct {
	table      table
	sheet      Sheet
	lines      map[string]int
	routeLines []int
	problems   []Problem
}

func (p *parser) add(source tableRow) {
	r := p.table.newRow(source)
	kind := strings.ToLower(r.text(ColumnKind))
	name := r.needed(ColumnName)
	switch kind {
	case KindWorkspace:
		p.sheet.Workspaces = append(p.sheet.Workspaces, r.workspace(name))
	case KindRoute:
		p.sheet.Routes = append(p.sheet.Routes, r.route(name))
		p.routeLines = append(p.routeLines, r.line)
	case KindService:
		floor := r.whole(ColumnFloor, 0, 0, maxWhole)
		p.sheet.Services = append(p.sheet.Services, configurer.Service{Name: name, Floor: floor})
	case "":
		r.wrong(ColumnKind, "the cell is empty")
	default:
		r.wrong(ColumnKind, "%q is not workspace, route or service", r.text(ColumnKind))
	}
	if columnsOf[kind] != nil {
		r.only(p.table.columns, kind)
		p.checkOnce(r, kind, name)
	}
	p.problems = append(p.problems, r.problems...)
}

func (p *parser) checkOnce(r *row, kind, name string) {
	if name == "" {
		return
	}
	identity := kind + " " + name
	if first, ok := p.lines[identity]; ok {
		r.wrong(ColumnName, "%s stands on line %d already", identity, first)
		return
	}
	p.lines[identity] = r.line
}

// checkServices names routes to services that the sheet does not hold.
func (p *parser) checkServices() {
	for i, route := range p.sheet.Routes {
		if route.Service == "" {
			continue
		}
		if _, ok := p.lines[KindService+" "+route.Service]; !ok {
			reason := "service " + route.Service + " has no row"
			p.problems = append(p.problems, Problem{p.routeLines[i], ColumnService, reason})
		}
	}
}

func (r *row) workspace(name string) Workspace {
	rate := r.number(ColumnRate, 0)
	if r.needed(ColumnRate) != "" && (rate <= 0 || rate > maxRate) {
		r.wrong(ColumnRate, "%q is not a rate above 0", r.text(ColumnRate))
	}
	r.needed(ColumnBurst)
	return Workspace{
		Workspace: configurer.Workspace{
			Name: name, Rate: configurer.PerSecond(rate), Burst: r.whole(ColumnBurst, 0, 1, maxWhole),
			Weight: r.whole(ColumnWeight, 0, 0, maxWhole),
		},
		Keys: r.whole(ColumnKeys, -1, 0, maxWhole),
	}
}

func (r *row) route(name string) configurer.Route {
	prefix := r.needed(ColumnPrefix)
	if prefix != "" && !strings.HasPrefix(prefix, "/") {
		r.wrong(ColumnPrefix, "%q does not start with /", prefix)
	}
	r.needed(ColumnMilliseconds)
	return configurer.Route{
		Name: name, Host: r.text(ColumnHost), Prefix: prefix, Service: r.needed(ColumnService), Open: r.yes(ColumnOpen),
		Repeatable: r.yes(ColumnRepeatable),
		Timeout:    time.Duration(r.whole(ColumnMilliseconds, 0, 1, maxMilliseconds)) * time.Millisecond,
	}
}
