package scenarios_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// TestScenarios runs each script of testdata against a fleet of real processes. The programs are those in the root's bin
// folder, which make build creates.
func TestScenarios(t *testing.T) {
	runScenarios(t, "testdata")
}

// TestScenariosAlone runs the scripts whose load needs the machine for itself, with no other fleet running beside it.
func TestScenariosAlone(t *testing.T) {
	runScenarios(t, "testdata/alone")
}

func runScenarios(t *testing.T, dir string) {
	t.Helper()
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir: dir,
		Setup: func(env *testscript.Env) error {
			env.Setenv("ROOT", root)
			env.Setenv("PATH", filepath.Join(root, "bin")+string(os.PathListSeparator)+os.Getenv("PATH"))
			return setUp(env)
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"fleet":    fleetCommand,
			"up":       upCommand,
			"process":  processCommand,
			"flags":    flagsCommand,
			"relay":    relayCommand,
			"cut":      cutCommand,
			"heal":     healCommand,
			"stall":    stallCommand,
			"start":    startCommand,
			"signal":   signalCommand,
			"ended":    endedCommand,
			"until":    untilCommand,
			"post":     postCommand,
			"ask":      askCommand,
			"logged":   loggedCommand,
			"flood":    floodCommand,
			"accepted": acceptedCommand,
			"leader":   leaderCommand,
			"operate":  operateCommand,
		},
	})
}
