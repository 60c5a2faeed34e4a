package commander

import (
	"strconv"

	"samphiremount.example/core/configurer"
	"samphiremount.example/ctl/pkg/importer"
	"samphiremount.example/ctl/pkg/planner"
)

// loadState gets the configuration and the directory. The configuration is read first, so that a later change of it
// is detected as a conflict.
func (c *cli) loadState() (planner.State, error) {
	api, err := c.client()
	if err != nil {
		return planner.State{}, err
	}
	var state planner.State
	err = c.withProgress("asking control", func() error {
		configuration, err := api.Configuration(c.ctx)
		if err != nil {
			return err
		}
		directory, err := api.Nodes(c.ctx)
		state = planner.State{Version: configuration.Version, Records: configuration.Records, Nodes: directory.Nodes}
		return err
	})
	return state, err
}

// exportSheet returns the configuration in force as a sheet, and the state that it was made from.
func (c *cli) exportSheet() (importer.Sheet, planner.State, error) {
	state, err := c.loadState()
	if err != nil {
		return importer.Sheet{}, state, err
	}
	sheet, err := planner.Export(state)
	return sheet, state, err
}

type workspaces struct {
	*cli `no-flag:"true"`
}

type workspaceRow struct {
	Name   string               `json:"name"`
	Rate   configurer.PerSecond `json:"rate"`
	Burst  int                  `json:"burst"`
	Weight int                  `json:"weight"`
	Keys   int                  `json:"keys"`
}

// Execute implements flags.Commander.
func (c *workspaces) Execute([]string) error {
	sheet, _, err := c.exportSheet()
	if err != nil {
		return err
	}
	found := []workspaceRow{}
	for _, w := range sheet.Workspaces {
		found = append(found, workspaceRow{w.Name, w.Rate, w.Burst, w.Weight, w.Keys})
	}
	return c.show(found, func() error {
		var rows [][]string
		for _, w := range found {
			rate := strconv.FormatFloat(float64(w.Rate), 'g', -1, 64)
			rows = append(rows, []string{w.Name, rate, strconv.Itoa(w.Burst), strconv.Itoa(w.Weight), strconv.Itoa(w.Keys)})
		}
		return c.table("WORKSPACE RATE BURST WEIGHT KEYS", rows)
	})
}

type routes struct {
	*cli `no-flag:"true"`
}

type routeRow struct {
	Name       string `json:"name"`
	Host       string `json:"host"`
	Prefix     string `json:"prefix"`
	Service    string `json:"service"`
	Open       bool   `json:"open"`
	Repeatable bool   `json:"repeatable"`
	Upload     bool   `json:"upload"`
	TimeoutMS  int64  `json:"milliseconds"`
}

// Execute implements flags.Commander.
func (c *routes) Execute([]string) error {
	sheet, _, err := c.exportSheet()
	if err != nil {
		return err
	}
	found := []routeRow{}
	for _, r := range sheet.Routes {
		limit := r.Timeout.Milliseconds()
		found = append(found, routeRow{r.Name, r.Host, r.Prefix, r.Service, r.Open, r.Repeatable, r.Upload, limit})
	}
	return c.show(found, func() error {
		var rows [][]string
		for _, r := range found {
			rows = append(rows, []string{
				r.Name, orDash(r.Host), r.Prefix, r.Service, strconv.FormatBool(r.Open), strconv.FormatBool(r.Repeatable),
				strconv.FormatBool(r.Upload), strconv.FormatInt(r.TimeoutMS, 10),
			})
		}
		return c.table("ROUTE HOST PREFIX SERVICE OPEN REPEATABLE UPLOAD MILLISECONDS", rows)
	})
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

type services struct {
	*cli `no-flag:"true"`
}

type serviceRow struct {
	Name    string `json:"name"`
	Floor   int    `json:"floor"`
	Slots   int    `json:"slots"`
	Targets int    `json:"targets"`
	Routes  int    `json:"routes"`
}

// Execute implements flags.Commander.
func (c *services) Execute([]string) error {
	sheet, state, err := c.exportSheet()
	if err != nil {
		return err
	}
	targets, routes := make(map[string]int), make(map[string]int)
	for _, node := range state.Nodes {
		for _, target := range node.Targets {
			if targetState(node, target) == "present" {
				targets[target.Service]++
			}
		}
	}
	for _, route := range sheet.Routes {
		routes[route.Service]++
	}
	capacity := planner.Capacity(state.Nodes)
	found := []serviceRow{}
	for _, s := range sheet.Services {
		found = append(found, serviceRow{s.Name, s.Floor, capacity[s.Name], targets[s.Name], routes[s.Name]})
	}
	return c.show(found, func() error {
		var rows [][]string
		for _, s := range found {
			rows = append(rows, []string{
				s.Name, strconv.Itoa(s.Floor), strconv.Itoa(s.Slots), strconv.Itoa(s.Targets), strconv.Itoa(s.Routes),
			})
		}
		return c.table("SERVICE FLOOR SLOTS TARGETS ROUTES", rows)
	})
}
