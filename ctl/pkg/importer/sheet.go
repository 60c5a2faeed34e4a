// Package importer parses and writes the sheet (a CSV file) in which planners describe services, workspaces and routes.
// Parse reports every wrong cell of a sheet. The package changes no configuration.
package importer

import (
	"fmt"
	"strings"

	"samphiremount.example/core/configurer"
)

// Columns of the sheet. A sheet may have them in any order and omit those that none of its rows needs.
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
	ColumnUpload       = "upload"
	ColumnMilliseconds = "milliseconds"
	ColumnFloor        = "floor"
)

// Kinds of rows, in the column kind.
const (
	KindWorkspace = "workspace"
	KindRoute     = "route"
	KindService   = "service"
)

// Columns returns all columns in the order in which Write writes them.
func Columns() []string {
	return []string{
		ColumnKind, ColumnName, ColumnRate, ColumnBurst, ColumnWeight, ColumnKeys, ColumnHost, ColumnPrefix, ColumnService,
		ColumnOpen, ColumnRepeatable, ColumnUpload, ColumnMilliseconds, ColumnFloor,
	}
}

// columnsByKind lists the columns that rows of each kind may fill, besides kind and name.
var columnsByKind = map[string]map[string]bool{
	KindWorkspace: {ColumnRate: true, ColumnBurst: true, ColumnWeight: true, ColumnKeys: true},
	KindRoute: {
		ColumnHost: true, ColumnPrefix: true, ColumnService: true, ColumnOpen: true, ColumnRepeatable: true,
		ColumnUpload: true, ColumnMilliseconds: true,
	},
	KindService: {ColumnFloor: true},
}

// Sheet holds the objects that a sheet describes, in the order of its rows. Missing lists the columns that the sheet
// lacks. Applying the sheet leaves the values of these columns as they are in force.
type Sheet struct {
	Missing    []string
	Workspaces []Workspace
	Routes     []configurer.Route
	Services   []configurer.Service
}

// Workspace is a workspace with the number of keys that must be in force for it, or -1 if the sheet gives no number.
type Workspace struct {
	configurer.Workspace

	Keys int
}

// Problem describes one wrong cell. Column is the name of its column, or the number of the column, counted from 1, if it
// has no name.
type Problem struct {
	Line   int    `json:"line"`
	Column string `json:"column"`
	Reason string `json:"reason"`
}

// Problems is the error that Parse returns for a wrong sheet. It contains every wrong cell.
type Problems []Problem

// Error returns one line per problem.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, fmt.Sprintf("line %d, column %s: %s", problem.Line, problem.Column, problem.Reason))
	}
	return strings.Join(lines, "\n")
}
