package extrapolator_test

import (
	"bytes"
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"samphiremount.example/standin/pkg/extrapolator"
)

func TestFitRecoversLineFromItsPoints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slope := rapid.Float64Range(-1000, 1000).Draw(t, "slope")
		intercept := rapid.Float64Range(-1000, 1000).Draw(t, "intercept")
		var points []extrapolator.Point
		for _, size := range rapid.SliceOfNDistinct(rapid.IntRange(1, 1000), 3, 9, rapid.ID).Draw(t, "sizes") {
			points = append(points, extrapolator.Point{Size: float64(size), Value: intercept + slope*float64(size)})
		}
		line, err := extrapolator.Fit(points)
		assert.NilError(t, err)
		assert.Assert(t, math.Abs(line.Slope-slope) < 1e-3, "slope %v", line.Slope)
		assert.Assert(t, math.Abs(line.Intercept-intercept) < 1e-1, "intercept %v", line.Intercept)
	})
}

func TestFitReturnsMaxResidual(t *testing.T) {
	line, err := extrapolator.Fit([]extrapolator.Point{{1, 10}, {2, 16}, {3, 30}})
	assert.NilError(t, err)
	assert.Assert(t, math.Abs(line.Slope-10) < 1e-9)
	assert.Assert(t, math.Abs(line.Residual-float64(8)/3/30) < 1e-9, "residual %v", line.Residual)
}

func TestFitNeedsThreeSizes(t *testing.T) {
	_, err := extrapolator.Fit([]extrapolator.Point{{1, 10}, {2, 16}, {2, 17}})
	assert.ErrorContains(t, err, "three sizes")
}

func TestPrintShowsFitAndDesignSize(t *testing.T) {
	var out bytes.Buffer
	series := extrapolator.Series{
		Name: "heap", Unit: "bytes", SizeUnit: "keys", DesignSize: 100, Points: []extrapolator.Point{{1, 10}, {2, 20}, {3, 30}},
	}
	assert.NilError(t, series.Print(&out))
	assert.Equal(t, out.String(), "heap\n  1: 10 2: 20 3: 30  (bytes by keys)\n"+
		"  slope 10, intercept 0, residual 0.0%; at 100: 1000 bytes\n\n")
}
