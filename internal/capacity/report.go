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
	Go         string    `json:"go"`
	Processors int       `json:"processors"`
	Sections   []Section `json:"sections"`
}

// Section is the result of one experiment.
type Section struct {
	Name   string  `json:"name"`
	Title  string  `json:"title"`
	Size   string  `json:"size"`
	Log    bool    `json:"log,omitempty"` // lines are against log2 of the size
	Points []Point `json:"points"`
	Lines  []Line  `json:"lines"`
}

// Point is what was measured at one size.
type Point struct {
	Size   int      `json:"size"`
	Values []Values `json:"values"`
}

// Values are the repeated measurements of one metric.
type Values struct {
	Metric string    `json:"metric"`
	All    []float64 `json:"all"` // ascending once the section is finished
	Median float64   `json:"median"`
}

// Line is the least-squares line through the medians of one metric.
type Line struct {
	Metric string `json:"metric"`
	Fit
}

func newReport() *Report {
	return &Report{Go: runtime.Version(), Processors: runtime.NumCPU()}
}

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

// finish computes the medians and the lines.
func (s *Section) finish() {
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
				x = append(x, s.abscissa(p.Size))
				y = append(y, v.Median)
			}
		}
	}
	return leastSquares(x, y)
}

func (s *Section) abscissa(size int) float64 {
	if s.Log {
		return math.Log2(float64(size))
	}
	return float64(size)
}

// median returns the middle of ascending values, the mean of two.
func median(v []float64) float64 {
	n := len(v)
	if n == 0 {
		return 0
	}
	return (v[(n-1)/2] + v[n/2]) / 2
}

// WriteTable writes the report for people: medians with the smallest and the
// largest value, then the lines.
func (r *Report) WriteTable(w io.Writer) {
	fmt.Fprintf(w, "%s, %d processors; median (smallest to largest)\n", r.Go, r.Processors)
	for i := range r.Sections {
		r.Sections[i].writeTable(w)
	}
}

func (s *Section) writeTable(w io.Writer) {
	fmt.Fprintf(w, "\n%s: %s\n", s.Name, s.Title)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(t, "metric")
	for _, p := range s.Points {
		fmt.Fprintf(t, "\t%s=%d", s.Size, p.Size)
	}
	fmt.Fprintf(t, "\tper %s\tat 0\tresidual\n", s.unit())
	for _, line := range s.Lines {
		fmt.Fprint(t, line.Metric)
		for _, p := range s.Points {
			fmt.Fprintf(t, "\t%s", p.text(line.Metric))
		}
		fmt.Fprintf(t, "\t%s\t%s\t%s%%\n", number(line.Slope), number(line.Intercept), number(100*line.Residual))
	}
	t.Flush()
}

func (s *Section) unit() string {
	if s.Log {
		return "doubling"
	}
	return "one"
}

// text returns the values of a metric, "-" if it was not measured at this size.
func (p *Point) text(metric string) string {
	for i := range p.Values {
		if p.Values[i].Metric == metric {
			return p.Values[i].text()
		}
	}
	return "-"
}

func (v *Values) text() string {
	if len(v.All) < 2 || v.All[0] == v.All[len(v.All)-1] {
		return number(v.Median)
	}
	return fmt.Sprintf("%s (%s-%s)", number(v.Median), number(v.All[0]), number(v.All[len(v.All)-1]))
}

// significant digits of printed numbers below 1,000.
const significant = 3

func number(v float64) string {
	if math.Abs(v) >= 1000 {
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return strconv.FormatFloat(v, 'g', significant, 64)
}
