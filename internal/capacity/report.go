package capacity

import (
	"fmt"
	"io"
	"math"
	"runtime"
	"slices"
	"strconv"
	"text/tabwriter"
)

// Report is the result of a run.
type Report struct {
	GoVersion  string    `json:"go"`
	Processors int       `json:"processors"`
	Sections   []Section `json:"sections"`
}

// Section is the result of one experiment.
type Section struct {
	Name     string  `json:"name"`
	Title    string  `json:"title"`
	SizeUnit string  `json:"size"`          // what the sizes count
	LogScale bool    `json:"log,omitempty"` // lines are against log2 of the size
	Points   []Point `json:"points"`
	Lines    []Line  `json:"lines"`
}

// Point holds the measurements at one size.
type Point struct {
	Size   int      `json:"size"`
	Values []Values `json:"values"`
}

// Values are the repeated measurements of one metric.
type Values struct {
	Metric string    `json:"metric"`
	All    []float64 `json:"all"` // in ascending order once the section is summarised
	Median float64   `json:"median"`
}

// Line is the least-squares line through the medians of one metric.
type Line struct {
	Metric string `json:"metric"`
	Fit
}

func newReport() *Report {
	return &Report{GoVersion: runtime.Version(), Processors: runtime.NumCPU()}
}

// add appends one measurement of each metric.
func (p *Point) add(readings []reading) {
	for _, r := range readings {
		i := slices.IndexFunc(p.Values, func(v Values) bool { return v.Metric == r.metric })
		if i < 0 {
			p.Values = append(p.Values, Values{Metric: r.metric})
			i = len(p.Values) - 1
		}
		p.Values[i].All = append(p.Values[i].All, r.value)
	}
}

// summarise computes the medians, and the lines if there are at least two sizes.
func (s *Section) summarise() {
	for i := range s.Points {
		for j := range s.Points[i].Values {
			v := &s.Points[i].Values[j]
			slices.Sort(v.All)
			v.Median = median(v.All)
		}
	}
	if len(s.Points) < 2 {
		return
	}
	for _, v := range s.Points[0].Values {
		s.Lines = append(s.Lines, Line{Metric: v.Metric, Fit: s.fit(v.Metric)})
	}
}

func (s *Section) fit(metric string) Fit {
	var x, y []float64
	for _, p := range s.Points {
		for _, v := range p.Values {
			if v.Metric == metric {
				x = append(x, s.xValue(p.Size))
				y = append(y, v.Median)
			}
		}
	}
	return leastSquares(x, y)
}

// xValue returns the value for a size that the lines are fitted against.
func (s *Section) xValue(size int) float64 {
	if s.LogScale {
		return math.Log2(float64(size))
	}
	return float64(size)
}

// median returns the median of values in ascending order, or 0 if there are none.
func median(v []float64) float64 {
	n := len(v)
	if n == 0 {
		return 0
	}
	return (v[(n-1)/2] + v[n/2]) / 2
}

// WriteTable writes the report as text: for each metric the medians with the
// smallest and largest values, and the line.
func (r *Report) WriteTable(w io.Writer) {
	fmt.Fprintf(w, "%s, %d processors; median (smallest to largest)\n", r.GoVersion, r.Processors)
	for i := range r.Sections {
		r.Sections[i].writeTable(w)
	}
}

func (s *Section) writeTable(w io.Writer) {
	fmt.Fprintf(w, "\n%s: %s\n", s.Name, s.Title)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(t, "metric")
	for _, p := range s.Points {
		fmt.Fprintf(t, "\t%s=%d", s.SizeUnit, p.Size)
	}
	fmt.Fprintf(t, "\tper %s\tat 0\tresidual\n", s.unit())
	for _, line := range s.Lines {
		fmt.Fprint(t, line.Metric)
		for _, p := range s.Points {
			fmt.Fprintf(t, "\t%s", p.format(line.Metric))
		}
		fmt.Fprintf(t, "\t%s\t%s\t%s%%\n", formatNumber(line.Slope), formatNumber(line.Intercept), formatNumber(100*line.Residual))
	}
	t.Flush()
}

// unit returns the unit of size that slopes refer to.
func (s *Section) unit() string {
	if s.LogScale {
		return "doubling"
	}
	return "one"
}

// format returns the values of a metric as text, or "-" if it was not measured at
// this size.
func (p *Point) format(metric string) string {
	for i := range p.Values {
		if p.Values[i].Metric == metric {
			return p.Values[i].format()
		}
	}
	return "-"
}

func (v *Values) format() string {
	if len(v.All) < 2 || v.All[0] == v.All[len(v.All)-1] {
		return formatNumber(v.Median)
	}
	return fmt.Sprintf("%s (%s-%s)", formatNumber(v.Median), formatNumber(v.All[0]), formatNumber(v.All[len(v.All)-1]))
}

// significantDigits is the precision of printed numbers below 1,000.
const significantDigits = 3

func formatNumber(v float64) string {
	if math.Abs(v) >= 1000 {
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return strconv.FormatFloat(v, 'g', significantDigits, 64)
}
