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

// read parses the file. The error for a wrong sheet is marked as errRefused.
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
	*cli `no-flag:"true"`

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
		return c.print("the sheet is valid: %d services, %d workspaces, %d routes\n",
			len(sheet.Services), len(sheet.Workspaces), len(sheet.Routes))
	})
}

type sheetExport struct {
	*cli `no-flag:"true"`
}

// Execute implements flags.Commander.
func (c *sheetExport) Execute([]string) error {
	sheet, _, err := c.exportSheet()
	if err != nil {
		return err
	}
	return c.show(sheet, func() error { return importer.Write(c.out, sheet) })
}

// sheetOptions holds the flags and arguments that sheet diff and sheet apply share.
type sheetOptions struct {
	*cli `no-flag:"true"`

	Remove bool `long:"remove" description:"Remove what the sheet does not hold; the keys of removed workspaces are withdrawn"`
	Half   bool `long:"half" description:"Allow that half of all workspaces or more are removed"`
	Floors bool `long:"floors" description:"Allow floors above the announced capacity of their services"`

	Arguments sheetFile `positional-args:"yes"`
}

func (c *sheetOptions) permissions() planner.Permissions {
	return planner.Permissions{Remove: c.Remove, RemoveHalf: c.Half, FloorsAboveCapacity: c.Floors}
}

// compare reads the sheet and returns the plan for it, and the state that the sheet was compared with.
func (c *sheetOptions) compare() (planner.Plan, planner.State, error) {
	sheet, err := c.Arguments.read()
	if err != nil {
		return planner.Plan{}, planner.State{}, err
	}
	state, err := c.loadState()
	if err != nil {
		return planner.Plan{}, state, err
	}
	plan, err := planner.Compare(state, sheet)
	return plan, state, err
}

// maxListed bounds the printed lines of changes, and of objects that are not in the sheet but kept.
const maxListed = 20

// printPlan prints the changes of plan. Removals come first, since the next sheet cannot undo them.
func (c *sheetOptions) printPlan(plan planner.Plan) error {
	verb := "not in the sheet, kept:"
	if c.Remove {
		verb = "remove"
	}
	var lines []string
	for _, record := range plan.Removals {
		lines = append(lines, fmt.Sprintf("%s %s %s", verb, record.Kind, record.Name))
	}
	if !c.Remove && len(lines) > maxListed {
		lines = append(lines[:maxListed], fmt.Sprintf("not in the sheet, kept: %d more", len(lines)-maxListed))
	}
	for i, record := range plan.Changes {
		if i == maxListed {
			lines = append(lines, fmt.Sprintf("put %d more", len(plan.Changes)-maxListed))
			break
		}
		lines = append(lines, fmt.Sprintf("put %s %s", record.Kind, record.Name))
	}
	keys := 0
	for _, item := range plan.MissingKeys {
		keys += item.Count
	}
	if keys > 0 {
		lines = append(lines, fmt.Sprintf("issue %d keys", keys))
	}
	for _, danger := range plan.Dangers(c.permissions()) {
		lines = append(lines, "refused: "+danger)
	}
	var err error
	for _, line := range lines {
		err = c.print("%s\n", line)
	}
	return err
}
