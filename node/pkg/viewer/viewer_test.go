package viewer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/configurer"
	"samphiremount.example/core/synchronizer"
	"samphiremount.example/node/pkg/viewer"
)

func with(tb testing.TB, c configurer.Configuration, changes ...configurer.Change) configurer.Configuration {
	tb.Helper()
	next, _, err := c.With(configurer.Batch{Operation: fmt.Sprint(c.Version()), Changes: changes})
	assert.NilError(tb, err)
	return next
}

func workspace(rate int) configurer.Change {
	return configurer.PutWorkspace{Workspace: configurer.Workspace{Name: "w", Rate: configurer.PerSecond(rate), Burst: 1}}
}

func route(i int) configurer.Change {
	return configurer.PutRoute{Route: configurer.Route{
		Name: fmt.Sprint(i), Prefix: fmt.Sprintf("/%d", i), Service: "s", Timeout: time.Second,
	}}
}

func TestInstallKeepsRoutesInForce(t *testing.T) {
	service := configurer.PutService{Service: configurer.Service{Name: "s"}}
	v := viewer.New(synchronizer.NewHub())
	first := with(t, configurer.Configuration{}, service, route(1))
	second := with(t, first, workspace(1))
	third := with(t, second, route(2), configurer.RemoveRoute{Name: "1"})
	for _, c := range []configurer.Configuration{first, second, third} {
		assert.Assert(t, v.Install(c))
		_, ok := v.View().Matcher.Match("", "/1")
		assert.Equal(t, ok, c.Version() < 3)
		_, ok = v.View().Matcher.Match("", "/2")
		assert.Equal(t, ok, c.Version() == 3)
	}
	assert.Assert(t, !v.Install(second), "an older configuration was installed")
	assert.Equal(t, v.Configuration().Version(), third.Version())
}

// BenchmarkInstall installs configurations with 11,000 routes in which one workspace changed.
func BenchmarkInstall(b *testing.B) {
	changes := []configurer.Change{configurer.PutService{Service: configurer.Service{Name: "s"}}}
	for i := range 11000 {
		changes = append(changes, route(i))
	}
	c := with(b, configurer.Configuration{}, changes...)
	v := viewer.New(synchronizer.NewHub())
	assert.Assert(b, v.Install(c))
	for b.Loop() {
		c = with(b, c, workspace(int(c.Version())))
		assert.Assert(b, v.Install(c))
	}
}
