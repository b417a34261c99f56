// Package slope measures how the cost of a node grows with the size of the
// fleet, and works out what it is at the target size.
//
// One machine cannot run the target size, and a single large figure says nothing
// about the sizes between. Each cost is therefore measured at several sizes in
// one run and fitted by a straight line; the residual shows whether a line is the
// right shape. docs/CAPACITY.md is made from the output.
package slope

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement: the size and the cost at that size.
type Point struct {
	Size float64
	Cost float64
}

// Line is a straight line through points.
type Line struct {
	Fixed    float64 // cost at size zero
	Slope    float64 // cost of one more
	Residual float64 // largest distance of a point from the line, as a share of its cost
}

// Fit returns the least-squares line. It needs at least two points of different size.
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
