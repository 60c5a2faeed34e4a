package importer_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"samphiremount.example/core/configurer"
	"samphiremount.example/ctl/pkg/importer"
)

func TestParseReadsWhatSpreadsheetsExport(t *testing.T) {
	const plain = "kind,name,rate,burst,prefix,service,milliseconds,floor\n" +
		"service,bookings,,,,,,5\nworkspace,kowhai,2.5,400,,,,\nroute,bookings,,,/bookings,bookings,10000,\n"
	want, err := importer.Parse(strings.NewReader(plain))
	assert.NilError(t, err)
	assert.DeepEqual(t, want, importer.Sheet{
		Missing:    []string{"weight", "keys", "host", "open", "repeatable", "upload"},
		Services:   []configurer.Service{{Name: "bookings", Floor: 5}},
		Workspaces: []importer.Workspace{{Workspace: configurer.Workspace{Name: "kowhai", Rate: 2.5, Burst: 400}, Keys: -1}},
		Routes:     []configurer.Route{{Name: "bookings", Prefix: "/bookings", Service: "bookings", Timeout: 10 * time.Second}},
	})
	for name, sheet := range map[string]string{
		"byte order mark":   "\ufeff" + plain,
		"CRLF":              strings.ReplaceAll(plain, "\n", "\r\n"),
		"semicolons":        strings.ReplaceAll(plain, ",", ";"),
		"decimal comma":     strings.ReplaceAll(strings.ReplaceAll(plain, ",", ";"), "2.5", "2,5"),
		"tabs":              strings.ReplaceAll(plain, ",", "\t"),
		"quotes":            strings.ReplaceAll(plain, ",bookings,", `,"bookings",`),
		"blank rows":        "\n,,,\n" + strings.ReplaceAll(plain, "\n", "\n,,,,,,,,\n\n"),
		"trailing columns":  strings.ReplaceAll(plain, "\n", ",,,\n"),
		"stray white space": strings.ReplaceAll(plain, ",", " , \u00a0"),
		"capitals":          strings.Replace(plain, "kind,name,rate", "Kind,NAME,Rate", 1),
		"column order": "floor,service,milliseconds,prefix,burst,rate,name,kind\n5,,,,,,bookings,service\n" +
			",,,,400,2.5,kowhai,workspace\n,bookings,10000,/bookings,,,bookings,route\n",
	} {
		got, err := importer.Parse(strings.NewReader(sheet))
		assert.NilError(t, err, name)
		assert.DeepEqual(t, got, want)
	}
}

func TestParseNamesEveryWrongCell(t *testing.T) {
	const sheet = "kind;name;rate;burst;prefix;service;milliseconds;floor;flor;repeatable;upload\n" +
		"service;bookings;;;;;;many\n" +
		"\n" +
		"workspace;;NaN;0;;;;\n" +
		"workspace;a;-1;1.5;;;;7;;;;left over\n" +
		"route;r;;;nowhere;rooms;3600001;;;yes;yes\n" +
		"target;x;;;;;;\n" +
		"service;bookings;;;;;;1\n"
	_, err := importer.Parse(strings.NewReader(sheet))
	var problems importer.Problems
	assert.Assert(t, errors.As(err, &problems))
	assert.Equal(t, problems.Error(), strings.Join([]string{
		`line 1, column flor: unknown column`,
		`line 2, column floor: "many" is not a number`,
		`line 4, column name: the cell is empty`,
		`line 4, column rate: "NaN" is not a number`,
		`line 4, column rate: "NaN" is not a rate above 0 and at most 1e9`,
		`line 4, column burst: "0" is not a whole number from 1 to 2147483647`,
		`line 5, column 12: the cell holds "left over", but its column has no name`,
		`line 5, column rate: "-1" is not a rate above 0 and at most 1e9`,
		`line 5, column burst: "1.5" is not a whole number from 1 to 2147483647`,
		`line 5, column floor: a workspace row must leave column floor empty`,
		`line 6, column prefix: "nowhere" does not start with /`,
		`line 6, column milliseconds: "3600001" is not a whole number from 1 to 3600000`,
		`line 6, column upload: the route is repeatable; an upload runs at most once`,
		`line 6, column service: service rooms is not defined in the sheet`,
		`line 7, column kind: "target" is not workspace, route or service`,
		`line 8, column name: service bookings is already defined on line 2`,
	}, "\n"))
}

func TestParseNamesBrokenQuotesAndEmptySheets(t *testing.T) {
	_, err := importer.Parse(strings.NewReader("kind,name,floor\nservice,a,x\nservice,\"b,1\n"))
	assert.ErrorContains(t, err, "line 2, column floor")
	assert.ErrorContains(t, err, "line 3, column")
	for _, sheet := range []string{"", "\ufeff", "\r\n\r\n", ",,\n"} {
		_, err = importer.Parse(strings.NewReader(sheet))
		assert.ErrorContains(t, err, "the sheet is empty", "%q", sheet)
	}
}

func TestWriteAndParseRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.StringMatching(`[a-zA-Z0-9ā",;'/._-]([a-zA-Z0-9ā ",;'/._-]{0,8}[a-z"])?`)
		services := rapid.SliceOfNDistinct(name, 1, 4, rapid.ID).Draw(t, "services")
		var sheet importer.Sheet
		for _, service := range services {
			floor := rapid.IntRange(0, 1000).Draw(t, "floor")
			sheet.Services = append(sheet.Services, configurer.Service{Name: service, Floor: floor})
		}
		for _, workspace := range rapid.SliceOfNDistinct(name, 0, 4, rapid.ID).Draw(t, "workspaces") {
			sheet.Workspaces = append(sheet.Workspaces, importer.Workspace{
				Workspace: configurer.Workspace{
					Name: workspace, Rate: configurer.PerSecond(rapid.Float64Range(1e-6, 1e6).Draw(t, "rate")),
					Burst: rapid.IntRange(1, 1e6).Draw(t, "burst"), Weight: rapid.IntRange(0, 9).Draw(t, "weight"),
				},
				Keys: rapid.IntRange(-1, 3).Draw(t, "keys"),
			})
		}
		for _, route := range rapid.SliceOfNDistinct(name, 0, 4, rapid.ID).Draw(t, "routes") {
			kind := rapid.SampledFrom([]string{"plain", "repeatable", "upload"}).Draw(t, "kind")
			sheet.Routes = append(sheet.Routes, configurer.Route{
				Name: route, Host: rapid.StringMatching(`([a-z]{1,5}\.nz)?`).Draw(t, "host"),
				Prefix:  "/" + rapid.StringMatching(`[a-z/]{0,6}`).Draw(t, "prefix"),
				Service: rapid.SampledFrom(services).Draw(t, "service"), Open: rapid.Bool().Draw(t, "open"),
				Repeatable: kind == "repeatable", Upload: kind == "upload",
				Timeout: time.Duration(rapid.IntRange(1, 3600000).Draw(t, "limit")) * time.Millisecond,
			})
		}
		var out bytes.Buffer
		assert.NilError(t, importer.Write(&out, sheet))
		got, err := importer.Parse(&out)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, sheet)
	})
}

// FuzzParse checks that Parse either rejects a text with problems or returns a sheet that Write and Parse preserve.
func FuzzParse(f *testing.F) {
	f.Add("kind,name,rate,burst\nworkspace,a,1,2\n")
	f.Add("\ufeffkind;name;floor\r\nservice;\"a;b\";1,0\r\n")
	f.Add("name\tkind\n\"a\"\"b\"\tservice\n")
	f.Add("kind,name,prefix,service,milliseconds\nservice,s,,,\nroute,r,/,s,1e3\n")
	f.Fuzz(func(t *testing.T, text string) {
		sheet, err := importer.Parse(strings.NewReader(text))
		if err != nil {
			var problems importer.Problems
			assert.Assert(t, errors.As(err, &problems) && len(problems) > 0, "%v", err)
			return
		}
		sheet.Missing = nil
		var out bytes.Buffer
		assert.NilError(t, importer.Write(&out, sheet))
		repeated, err := importer.Parse(&out)
		assert.NilError(t, err)
		assert.DeepEqual(t, repeated, sheet)
	})
}
