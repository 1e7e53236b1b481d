package capacity

import "math"

// Fit is a least-squares line.
type Fit struct {
	Slope     float64 `json:"slope"`     // per unit of size
	Intercept float64 `json:"intercept"` // at size 0
	// Residual is the root mean square distance of the points from the line, as
	// a share of the largest point.
	Residual float64 `json:"residual"`
}

// leastSquares fits a line to the points. All x must not be equal.
func leastSquares(x, y []float64) Fit {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	slope := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	f := Fit{Slope: slope, Intercept: (sy - slope*sx) / n}
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
