// Package slope measures how the costs of a node grow with the size of the fleet
// and extrapolates them to the target size.
//
// One machine cannot run a fleet of the target size, and a measurement at a
// single large size says nothing about the sizes between. Therefore each cost is
// measured at several sizes in one run, and a straight line is fitted to the
// points. The residual shows whether the cost is linear in the size.
// docs/CAPACITY.md is made from the output.
package slope

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is a measured cost at one size.
type Point struct {
	Size float64
	Cost float64
}

// Line is a cost as a linear function of the size.
type Line struct {
	Fixed    float64 // cost at size zero
	Slope    float64 // cost of each further unit of size
	Residual float64 // largest distance of a point from the line, as a share of the cost of that point
}

// Fit returns the least-squares line through points. At least two of them must
// differ in size.
func Fit(points []Point) Line {
	sizes := make([]float64, len(points))
	costs := make([]float64, len(points))
	for i, p := range points {
		sizes[i], costs[i] = p.Size, p.Cost
	}
	var line Line
	line.Fixed, line.Slope = stat.LinearRegression(sizes, costs, nil, false)
	for _, p := range points {
		if p.Cost != 0 {
			line.Residual = math.Max(line.Residual, math.Abs(line.At(p.Size)-p.Cost)/math.Abs(p.Cost))
		}
	}
	return line
}

// At returns the cost that the line gives for a size.
func (l Line) At(size float64) float64 { return l.Fixed + l.Slope*size }
