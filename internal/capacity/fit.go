package capacity

import "math"

// Fit is a least-squares line.
type Fit struct {
	Slope     float64 `json:"slope"`     // per unit of size
	Intercept float64 `json:"intercept"` // at size 0
	// Residual is the root mean square distance of the points from the line,
	// divided by the largest absolute value.
	Residual float64 `json:"residual"`
}

// leastSquares fits a line to the points. At least two values of x must differ.
func leastSquares(x, y []float64) Fit {
	n := float64(len(x))
	var sumX, sumY, sumXX, sumXY float64
	for i := range x {
		sumX += x[i]
		sumY += y[i]
		sumXX += x[i] * x[i]
		sumXY += x[i] * y[i]
	}
	slope := (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	f := Fit{Slope: slope, Intercept: (sumY - slope*sumX) / n}
	f.Residual = f.residual(x, y)
	return f
}

// At returns the line's value at x.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }

func (f Fit) residual(x, y []float64) float64 {
	var squares, largest float64
	for i := range x {
		d := y[i] - f.At(x[i])
		squares += d * d
		largest = max(largest, math.Abs(y[i]))
	}
	if largest == 0 {
		return 0
	}
	return math.Sqrt(squares/float64(len(x))) / largest
}
