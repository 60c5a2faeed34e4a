package commander

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"samphiremount.example/ctl/pkg/importer"
	"samphiremount.example/ctl/pkg/planner"
)

type sheetFile struct {
	File string `positional-arg-name:"FILE" required:"yes"`
}

func (f sheetFile) read() (importer.Sheet, error) {
	file, err := os.Open(f.File)
	if err != nil {
		return importer.Sheet{}, errors.Wrap(err, "open sheet")
	}
	defer func() { _ = file.Close() }()
	sheet, err := importer.Parse(file)
	var problems importer.Problems
	if errors.As(err, &problems) {
		return sheet, errors.Mark(err, errRefused)
	}
	return sheet, err
}

type sheetCheck struct {
	*tool `no-flag:"true"`

	Arguments sheetFile `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *sheetCheck) Execute([]string) error {
	sheet, err := c.Arguments.read()
	var problems importer.Problems
	if c.JSON && errors.As(err, &problems) {
		return errors.CombineErrors(err, c.show(problems, nil))
	}
	if err != nil {
		return err
	}
	return c.show(importer.Problems{}, func() error {
		return c.print("the sheet is right: %d services, %d workspaces, %d routes\n",
			len(sheet.Services), len(sheet.Workspaces), len(sheet.Routes))
	})
}

type sheetExport struct {
	*tool `no-flag:"true"`
}

// Execute implements flags.Commander.
func (c *sheetExport) Execute([]string) error {
	sheet, _, err := c.exported()
	if err != nil {
		return err
	}
	return c.show(sheet, func() error { return importer.Write(c.out, sheet) })
}

// sheetCompare is what sheet diff and sheet apply share.
type sheetCompare struct {
	*tool `no-flag:"true"`

	Remove bool `long:"remove" description:"Remove what the sheet does not hold; the keys of removed workspaces are withdrawn"`
	Half   bool `long:"half" description:"Allow that half of all workspaces or more are removed"`
	Floors bool `long:"floors" description:"Allow floors above the announced capacity of their services"`

	Arguments sheetFile `positional-args:"yes"`
}

func (c *sheetCompare) permission() planner.Permissions {
	return planner.Permissions{Remove: c.Remove, RemoveHalf: c.Half, FloorsAboveCapacity: c.Floors}
}

func (c *sheetCompare) compare() (planner.Plan, planner.State, error) {
	sheet, err := c.Arguments.read()
	if err != nil {
		return planner.Plan{}, planner.State{}, err
	}
	state, err := c.state()
	if err != nil {
		return planner.Plan{}, state, err
	}
	plan, err := planner.Compare(state, sheet)
	return plan, state, err
}

const listed = 20

// printPlan lists removals first, since they cannot be undone by the next sheet.
func (c *sheetCompare) printPlan(plan planner.Plan) error {
	verb := "not in the sheet, kept:"
	if c.Remove {
		verb = "remove"
	}
	var lines []string
	for _, record := range plan.Removals {
		lines = append(lines, fmt.Sprintf("%s %s %s", verb, record.Kind, record.Name))
	}
	if !c.Remove && len(lines) > listed {
		lines = append(lines[:listed], fmt.Sprintf("not in the sheet, kept: %d more", len(lines)-listed))
	}
	for i, record := range plan.Changes {
		if i == listed {
			lines = append(lines, fmt.Sprintf("put %d more", len(plan.Changes)-listed))
			break
		}
		lines = append(lines, fmt.Sprintf("put %s %s", record.Kind, record.Name))
	}
	keys := 0
	for _, issue := range plan.MissingKeys {
		keys += issue.Count
	}
	if keys > 0 {
		lines = append(lines, fmt.Sprintf("issue %d keys", keys))
	}
	for _, danger := range plan.Dangers(c.permission()) {
		lines = append(lines, "refused: "+danger)
	}
	var err error
	for _, line := range lines {
		err = c.print("%s\n", line)
	}
	return err
}
