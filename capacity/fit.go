// Package capacity estimates the resources that a fleet of a given size needs. It reads
// benchmark output, fits a line to each quantity over the size at which it was measured,
// evaluates the lines at the size of the fleet and writes tables and plots. Its model
// assumes that costs are linear. Benchmarks whose slopes no other package measures are
// in its tests.
package capacity

import (
	"cmp"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"golang.org/x/perf/benchfmt"
	"gonum.org/v1/gonum/stat"
)

// minFitPoints is the minimum number of different sizes for a fit.
const minFitPoints = 3

// Point is one measurement at one size.
type Point struct {
	Size, Value float64
}

// Series holds the measurements of one quantity, in ascending order of size.
type Series struct {
	// Benchmark is the benchmark's name without the value of the size, as in
	// Fleet/daemons.
	Benchmark string
	Unit      string
	Points    []Point
}

// Fit is the line value = Intercept + Slope*size fitted to a series.
type Fit struct {
	Intercept, Slope float64
	// R2 is the coefficient of determination: the share of the variance that the
	// line explains. It is 1 for a constant series.
	R2 float64
	// MinSize and MaxSize bound the measured sizes. Values outside are extrapolated.
	MinSize, MaxSize float64
}

// ValueAt returns the line's value at a size.
func (f Fit) ValueAt(size float64) float64 { return f.Intercept + f.Slope*size }

// FitLine fits a line to the series by least squares. It needs minFitPoints different
// sizes.
func (s *Series) FitLine() (Fit, error) {
	var xs, ys []float64
	sizes := make(map[float64]bool)
	for _, p := range s.Points {
		xs = append(xs, p.Size)
		ys = append(ys, p.Value)
		sizes[p.Size] = true
	}
	if len(sizes) < minFitPoints {
		return Fit{}, eris.Errorf("%s in %s was measured at %d sizes, a fit needs at least %d", s.Benchmark, s.Unit, len(sizes), minFitPoints)
	}
	intercept, slope := stat.LinearRegression(xs, ys, nil, false)
	fit := Fit{Intercept: intercept, Slope: slope, R2: 1, MinSize: slices.Min(xs), MaxSize: slices.Max(xs)}
	if stat.Variance(ys, nil) > 0 {
		fit.R2 = stat.RSquared(xs, ys, nil, intercept, slope)
	}
	return fit, nil
}

// Mean returns the mean of all measurements.
func (s *Series) Mean() float64 {
	var sum float64
	for _, p := range s.Points {
		sum += p.Value
	}
	return sum / float64(len(s.Points))
}

// Results holds the series read from benchmark output.
type Results struct {
	series map[seriesKey]*Series
}

type seriesKey struct{ benchmark, unit string }

// ReadResults parses the output of go test -bench. A sub-benchmark name/key=N gives a
// point of size N in the series name/key; a benchmark without such a part gives a point
// of size 0. Repeated runs give several points of the same size.
func ReadResults(r io.Reader) (*Results, error) {
	results := &Results{series: make(map[seriesKey]*Series)}
	reader := benchfmt.NewReader(r, "benchmarks")
	for reader.Scan() {
		result, ok := reader.Result().(*benchfmt.Result)
		if !ok {
			continue
		}
		results.add(result)
	}
	if err := reader.Err(); err != nil {
		return nil, eris.Wrap(err, "parse benchmark output")
	}
	for _, s := range results.series {
		slices.SortFunc(s.Points, func(a, b Point) int { return cmp.Compare(a.Size, b.Size) })
	}
	return results, nil
}

func (r *Results) add(result *benchfmt.Result) {
	name, size := splitSizeParameter(result.Name)
	for _, value := range result.Values {
		unit, amount := value.Unit, value.Value
		if value.OrigUnit != "" {
			unit, amount = value.OrigUnit, value.OrigValue
		}
		key := seriesKey{name, unit}
		if r.series[key] == nil {
			r.series[key] = &Series{Benchmark: name, Unit: unit}
		}
		r.series[key].Points = append(r.series[key].Points, Point{Size: size, Value: amount})
	}
}

// splitSizeParameter splits name/key=N into name/key and N. Parts whose value is not a
// number stay in the name.
func splitSizeParameter(full benchfmt.Name) (string, float64) {
	base, parts := full.Parts()
	name := string(base)
	var size float64
	for _, part := range parts {
		text := string(part)
		if !strings.HasPrefix(text, "/") {
			continue
		}
		key, number, found := strings.Cut(text, "=")
		if n, err := strconv.ParseFloat(number, 64); found && err == nil {
			name += key
			size = n
			continue
		}
		name += text
	}
	return name, size
}

// Series returns the series of a benchmark and unit.
func (r *Results) Series(benchmark, unit string) (*Series, error) {
	s, ok := r.series[seriesKey{benchmark, unit}]
	if !ok {
		return nil, eris.Errorf("the benchmark output has no %s in %s", benchmark, unit)
	}
	return s, nil
}
