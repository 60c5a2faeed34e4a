// Package extrapolator measures how the costs of the fleet, such as CPU time and memory, grow with its size, and
// extrapolates them linearly to the size that the fleet is designed for.
package extrapolator

import (
	"fmt"
	"io"
	"math"

	"github.com/cockroachdb/errors"
)

// Point is a value that was measured at one size.
type Point struct {
	Size  float64
	Value float64
}

// Line is a least-squares fit of points. Residual is the maximum vertical distance of a point from the line, as a fraction
// of the largest absolute value of a point.
type Line struct {
	Intercept float64
	Slope     float64
	Residual  float64
}

// Fit returns the least-squares fit of points. It fails if points have fewer than three distinct sizes.
func Fit(points []Point) (Line, error) {
	sizes := make(map[float64]bool)
	var count, sumX, sumY, sumXX, sumXY, largest float64
	for _, p := range points {
		sizes[p.Size] = true
		count++
		sumX += p.Size
		sumY += p.Value
		sumXX += p.Size * p.Size
		sumXY += p.Size * p.Value
		largest = max(largest, math.Abs(p.Value))
	}
	if len(sizes) < 3 {
		return Line{}, errors.Newf("a fit needs at least three sizes, got %d", len(sizes))
	}
	slope := (count*sumXY - sumX*sumY) / (count*sumXX - sumX*sumX)
	line := Line{Slope: slope, Intercept: (sumY - slope*sumX) / count}
	for _, p := range points {
		if largest > 0 {
			line.Residual = max(line.Residual, math.Abs(p.Value-line.At(p.Size))/largest)
		}
	}
	return line, nil
}

// At returns the value of the line at size.
func (l Line) At(size float64) float64 {
	return l.Intercept + l.Slope*size
}

// Series is one cost measured at several sizes. Unit is the unit of the values, SizeUnit that of the sizes, and
// DesignSize the size to which the cost is extrapolated.
type Series struct {
	Name       string
	Unit       string
	SizeUnit   string
	DesignSize float64
	Points     []Point
}

// Print writes the points, their fit with its residual, and the extrapolated value at the design size.
func (s Series) Print(out io.Writer) error {
	line, err := Fit(s.Points)
	if err != nil {
		return errors.Wrap(err, s.Name)
	}
	_, _ = fmt.Fprintf(out, "%s\n ", s.Name)
	for _, p := range s.Points {
		_, _ = fmt.Fprintf(out, " %.5g: %.4g", p.Size, p.Value)
	}
	_, _ = fmt.Fprintf(out, "  (%s by %s)\n", s.Unit, s.SizeUnit)
	_, err = fmt.Fprintf(
		out, "  slope %.4g, intercept %.4g, residual %.1f%%; at %.6g: %.4g %s\n\n",
		line.Slope, line.Intercept, 100*line.Residual, s.DesignSize, line.At(s.DesignSize), s.Unit,
	)
	return errors.Wrap(err, "write")
}
