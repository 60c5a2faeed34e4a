package extrapolator

import (
	"encoding/binary"
	"fmt"
	"time"

	"samphiremount.example/core/configurer"
	"samphiremount.example/core/keyer"
	"samphiremount.example/core/tracker"
)

// The size that the fleet is designed for. designRequestRate is in requests per second for the whole fleet.
const (
	designNodes       = 860
	designTargets     = 9500
	designServices    = 620
	designRoutes      = 11000
	designWorkspaces  = 81000
	designRequestRate = 180000
	targetsPerNode    = 11
)

func workspaceChanges(count int) []configurer.Change {
	changes := make([]configurer.Change, 0, count)
	for i := range count {
		changes = append(changes, configurer.PutWorkspace{Workspace: configurer.Workspace{
			Name: fmt.Sprintf("workspace-%06d", i), Rate: 20, Burst: 40, Weight: 1,
		}})
	}
	return changes
}

// keyChanges returns changes that issue one key to each of the first count workspaces.
func keyChanges(count int) []configurer.Change {
	changes := make([]configurer.Change, 0, count)
	for i := range count {
		var digest keyer.Digest
		binary.BigEndian.PutUint64(digest[:], uint64(i)*0x9e3779b97f4a7c15)
		changes = append(changes, configurer.IssueKey{Key: configurer.Key{
			ID: fmt.Sprintf("key%013d", i), Workspace: fmt.Sprintf("workspace-%06d", i), Digest: digest,
		}})
	}
	return changes
}

func serviceChanges(count int) []configurer.Change {
	changes := make([]configurer.Change, 0, count)
	for i := range count {
		changes = append(changes, configurer.PutService{Service: configurer.Service{Name: serviceName(i), Floor: 20}})
	}
	return changes
}

func routeChanges(count int) []configurer.Change {
	changes := make([]configurer.Change, 0, count)
	for i := range count {
		changes = append(changes, configurer.PutRoute{Route: configurer.Route{
			Name: fmt.Sprintf("route-%05d", i), Prefix: fmt.Sprintf("/service/%03d/part/%05d", i%designServices, i),
			Service: serviceName(i), Timeout: 10 * time.Second,
		}})
	}
	return changes
}

func serviceName(i int) string {
	return fmt.Sprintf("service-%03d", i%designServices)
}

// nodeRecords returns the directory records of count nodes, each with targetsPerNode targets.
func nodeRecords(count int) []tracker.Node {
	records := make([]tracker.Node, 0, count)
	for i := range count {
		records = append(records, nodeRecord(i))
	}
	return records
}

func nodeRecord(i int) tracker.Node {
	node := tracker.Node{
		Name: fmt.Sprintf("node-%04d", i), Region: fmt.Sprintf("region-%d", i%2), Centre: fmt.Sprintf("centre-%d", i%7),
		Address: fmt.Sprintf("10.%d.%d.7:8081", i/250, i%250), Entry: fmt.Sprintf("10.%d.%d.7:8080", i/250, i%250),
		Incarnation: 1_700_000_000_000_000_000, Sequence: 1,
	}
	for j := range targetsPerNode {
		node.Targets = append(node.Targets, tracker.Target{
			Name: fmt.Sprintf("target-%04d-%02d", i, j), Service: serviceName(i*targetsPerNode + j), Slots: 5,
		})
	}
	return node
}

// buildConfiguration returns the configuration that results from applying changes to an empty one.
func buildConfiguration(changes ...[]configurer.Change) (configurer.Configuration, error) {
	var all []configurer.Change
	for _, part := range changes {
		all = append(all, part...)
	}
	configuration, _, err := configurer.Configuration{}.With(configurer.Batch{Operation: "build", Changes: all})
	return configuration, err
}
