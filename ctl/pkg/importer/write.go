package importer

import (
	"encoding/csv"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// Write writes sheet to out as CSV, such that Parse returns an equal sheet.
func Write(out io.Writer, sheet Sheet) error {
	writer := csv.NewWriter(out)
	rows := [][]string{Columns()}
	for _, service := range sheet.Services {
		rows = append(rows, orderedCells(map[string]string{
			ColumnKind: KindService, ColumnName: service.Name, ColumnFloor: strconv.Itoa(service.Floor),
		}))
	}
	for _, workspace := range sheet.Workspaces {
		rows = append(rows, workspaceCells(workspace))
	}
	for _, route := range sheet.Routes {
		rows = append(rows, orderedCells(map[string]string{
			ColumnKind: KindRoute, ColumnName: route.Name, ColumnHost: route.Host, ColumnPrefix: route.Prefix,
			ColumnService: route.Service, ColumnOpen: yesNo(route.Open), ColumnRepeatable: yesNo(route.Repeatable),
			ColumnUpload:       yesNo(route.Upload),
			ColumnMilliseconds: strconv.FormatInt(route.Timeout.Milliseconds(), 10),
		}))
	}
	return errors.Wrap(writer.WriteAll(rows), "write sheet")
}

func workspaceCells(workspace Workspace) []string {
	keys := ""
	if workspace.Keys >= 0 {
		keys = strconv.Itoa(workspace.Keys)
	}
	return orderedCells(map[string]string{
		ColumnKind: KindWorkspace, ColumnName: workspace.Name, ColumnKeys: keys,
		ColumnRate:  strconv.FormatFloat(float64(workspace.Rate), 'g', -1, 64),
		ColumnBurst: strconv.Itoa(workspace.Burst), ColumnWeight: strconv.Itoa(workspace.Weight),
	})
}

// orderedCells returns the cells of a row, given by column, in the order of Columns.
func orderedCells(values map[string]string) []string {
	row := make([]string, 0, len(Columns()))
	for _, column := range Columns() {
		row = append(row, values[column])
	}
	return row
}

func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}
