// Package importer reads the sheet that planners export. It changes nothing: it names what is wrong with a sheet, or
// returns what the sheet asks for.
package importer

import (
	"fmt"
	"strings"

	"samphiremount.example/core/configurer"
)

// Columns of the sheet. A sheet may have them in any order and leave out those that it does not need.
const (
	ColumnKind         = "kind"
	ColumnName         = "name"
	ColumnRate         = "rate"
	ColumnBurst        = "burst"
	ColumnWeight       = "weight"
	ColumnKeys         = "keys"
	ColumnHost         = "host"
	ColumnPrefix       = "prefix"
	ColumnService      = "service"
	ColumnOpen         = "open"
	ColumnRepeatable   = "repeatable"
	ColumnMilliseconds = "milliseconds"
	ColumnFloor        = "floor"
)

// Kinds of rows.
const (
	KindWorkspace = "workspace"
	KindRoute     = "route"
	KindService   = "service"
)

// Columns returns the columns in the order in which they are exported.
func Columns() []string {
	return []string{
		ColumnKind, ColumnName, ColumnRate, ColumnBurst, ColumnWeight, ColumnKeys, ColumnHost, ColumnPrefix, ColumnService,
		ColumnOpen, ColumnRepeatable, ColumnMilliseconds, ColumnFloor,
	}
}

// columnsOf lists the columns that rows of each kind may fill.
var columnsOf = map[string]map[string]bool{
	KindWorkspace: {ColumnRate: true, ColumnBurst: true, ColumnWeight: true, ColumnKeys: true},
	KindRoute: {
		ColumnHost: true, ColumnPrefix: true, ColumnService: true, ColumnOpen: true, ColumnRepeatable: true,
		ColumnMilliseconds: true,
	},
	KindService: {ColumnFloor: true},
}

// Sheet is what a sheet asks for, in the order of its rows. Missing lists the columns that it does not have: of those
// it asks for nothing, so what is in force stays.
type Sheet struct {
	Missing    []string
	Workspaces []Workspace
	Routes     []configurer.Route
	Services   []configurer.Service
}

// Workspace is a workspace with the number of keys that it is to have in force, or -1 where the sheet does not say.
type Workspace struct {
	configurer.Workspace

	Keys int
}

// Problem is one wrong cell. Column is the name of its column, or its number where the column has no name.
type Problem struct {
	Line   int    `json:"line"`
	Column string `json:"column"`
	Reason string `json:"reason"`
}

// Problems is the error of a wrong sheet. It names every wrong cell.
type Problems []Problem

// Error returns a line for each problem.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, fmt.Sprintf("line %d, column %s: %s", problem.Line, problem.Column, problem.Reason))
	}
	return strings.Join(lines, "\n")
}
