package configurer_test

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/configurer"
)

// TestObjectsKeepTheirNamesInJSON guards the output of samphire sheet export --json, which has the fields of routes and
// services under these names.
func TestObjectsKeepTheirNamesInJSON(t *testing.T) {
	route, err := json.Marshal(configurer.Route{})
	assert.NilError(t, err)
	assert.Equal(t, string(route), `{"Name":"","Host":"","Prefix":"","Service":"","Open":false,"Repeatable":false,"Upload":false,"Limit":0,`+
		`"Splits":null,"Objective":0,"Attempts":0,"Rank":0}`)
	service, err := json.Marshal(configurer.Service{})
	assert.NilError(t, err)
	assert.Equal(t, string(service), `{"Name":"","Floor":0,"FloorShare":0,"Connections":0}`)
}
