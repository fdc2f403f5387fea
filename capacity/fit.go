// Package capacity works out what the system costs at a given size from slopes
// that benchmarks measured. It reads benchmark output, fits lines, multiplies
// them by counts and writes tables and plots. It measures nothing itself.
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

// minFitPoints is the least number of different sizes that a fit is made from.
const minFitPoints = 3

// Point is one measured value at one size.
type Point struct {
	Size, Value float64
}

// Series is a quantity over sizes, in order of size.
type Series struct {
	// Benchmark is the name without the part that carries the size.
	Benchmark string
	Unit      string
	Points    []Point
}

// Fit is the line value = Intercept + Slope*size through a series.
type Fit struct {
	Intercept, Slope float64
	// R2 is the share of the variance that the line explains. It is 1 for a
	// constant series.
	R2 float64
	// From and To bound the sizes that were measured.
	From, To float64
}

// At returns the fitted value at a size.
func (f Fit) At(size float64) float64 { return f.Intercept + f.Slope*size }

// Line fits a line to the series. It needs three different sizes.
func (s *Series) Line() (Fit, error) {
	var xs, ys []float64
	sizes := make(map[float64]bool)
	for _, p := range s.Points {
		xs = append(xs, p.Size)
		ys = append(ys, p.Value)
		sizes[p.Size] = true
	}
	if len(sizes) < minFitPoints {
		return Fit{}, eris.Errorf("%s %s was measured at %d sizes, a fit needs %d", s.Benchmark, s.Unit, len(sizes), minFitPoints)
	}
	intercept, slope := stat.LinearRegression(xs, ys, nil, false)
	fit := Fit{Intercept: intercept, Slope: slope, R2: 1, From: slices.Min(xs), To: slices.Max(xs)}
	if stat.Variance(ys, nil) > 0 {
		fit.R2 = stat.RSquared(xs, ys, nil, intercept, slope)
	}
	return fit, nil
}

// Mean returns the mean of all values.
func (s *Series) Mean() float64 {
	var sum float64
	for _, p := range s.Points {
		sum += p.Value
	}
	return sum / float64(len(s.Points))
}

// Results holds the series of a benchmark run.
type Results struct {
	series map[seriesKey]*Series
}

type seriesKey struct{ benchmark, unit string }

// ReadResults reads the output of go test -bench. A sub-benchmark name/key=N
// makes a point of size N; one without makes a point of size 0. Repeated runs
// make several points of one size.
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
		return nil, eris.Wrap(err, "read benchmark output")
	}
	for _, s := range results.series {
		slices.SortFunc(s.Points, func(a, b Point) int { return cmp.Compare(a.Size, b.Size) })
	}
	return results, nil
}

func (r *Results) add(result *benchfmt.Result) {
	name, size := splitSize(result.Name)
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

// splitSize takes the numeric key=N part out of a benchmark's name.
func splitSize(full benchfmt.Name) (string, float64) {
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

// Series returns a series by benchmark and unit.
func (r *Results) Series(benchmark, unit string) (*Series, error) {
	s, ok := r.series[seriesKey{benchmark, unit}]
	if !ok {
		return nil, eris.Errorf("the benchmark output lacks %s in %s", benchmark, unit)
	}
	return s, nil
}
