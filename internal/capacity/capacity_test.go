package capacity

import (
	"context"
	"encoding/json"
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestEveryExperimentMeasuresEverySize guards against an experiment that no longer
// matches the interfaces it measures: each must run, pass its own checks and yield
// a value of every metric for every size. The values depend on the machine and are
// not checked.
func TestEveryExperimentMeasuresEverySize(t *testing.T) {
	sizes := []int{2, 4}
	r, err := Run(context.Background(), Options{Repeat: 1, Window: 50 * time.Millisecond, Sizes: sizes})
	assert.NilError(t, err)
	assert.Equal(t, len(r.Sections), len(Names()))
	for _, s := range r.Sections {
		assert.Equal(t, len(s.Points), len(sizes), s.Name)
		assert.Assert(t, len(s.Lines) > 0, s.Name)
		for _, p := range s.Points {
			assert.Equal(t, len(p.Values), len(s.Lines), s.Name)
		}
	}
	_, err = json.Marshal(r)
	assert.NilError(t, err)
	var table strings.Builder
	r.WriteTable(&table)
	for _, name := range Names() {
		assert.Assert(t, strings.Contains(table.String(), "\n"+name+": "), name)
	}
}

// TestUnknownExperimentIsRejected guards against a misspelt --only that measures
// nothing and reports success.
func TestUnknownExperimentIsRejected(t *testing.T) {
	_, err := Run(context.Background(), Options{Only: []string{"entry-link"}})
	assert.ErrorContains(t, err, "entry-links")
}

// TestLeastSquaresLineAndResidual guards against wrong lines in the report. Points
// on a line must yield that line, and points off the line must yield the line of
// least squares and its residual.
func TestLeastSquaresLineAndResidual(t *testing.T) {
	f := leastSquares([]float64{1, 2, 5}, []float64{5, 8, 17})
	assert.Assert(t, near(f.Slope, 3) && near(f.Intercept, 2) && near(f.Residual, 0), "%+v", f)
	// The least-squares line of 0, 3, 0 is y = 1. The points are 1, 2 and 1 off it.
	f = leastSquares([]float64{0, 1, 2}, []float64{0, 3, 0})
	assert.Assert(t, near(f.Slope, 0) && near(f.Intercept, 1) && near(f.Residual, math.Sqrt2/3), "%+v", f)
}

func near(a, b float64) bool { return math.Abs(a-b) < 1e-9 }
