package capacity

import (
	"math"
	"strings"
	"testing"
)

const benchmarkOutput = `goos: linux
BenchmarkFleet/daemons=7-10    	 10	 100 ns/op	 2.0 msgs/s
BenchmarkFleet/daemons=30-10   	 10	 330 ns/op	 2.0 msgs/s
BenchmarkFleet/daemons=100-10  	 10	 1030 ns/op	 2.0 msgs/s
BenchmarkOther-10              	 10	 5 ns/op
PASS
`

func TestFitLineFindsSlopeAndIntercept(t *testing.T) {
	results, err := ReadResults(strings.NewReader(benchmarkOutput))
	if err != nil {
		t.Fatal(err)
	}
	series, err := results.Series("Fleet/daemons", "ns/op")
	if err != nil {
		t.Fatal(err)
	}
	fit, err := series.FitLine()
	if err != nil {
		t.Fatal(err)
	}
	if math.Abs(fit.Slope-10) > 1e-9 || math.Abs(fit.Intercept-30) > 1e-9 || fit.R2 < 0.999 {
		t.Fatalf("fit %+v", fit)
	}
	if got := fit.ValueAt(3600); math.Abs(got-36030) > 1e-6 {
		t.Fatalf("value at size 3600: %v", got)
	}
}

// TestFitLineOfConstantSeries guards against an undefined R2, whose definition divides by
// the variance of the values.
func TestFitLineOfConstantSeries(t *testing.T) {
	results, err := ReadResults(strings.NewReader(benchmarkOutput))
	if err != nil {
		t.Fatal(err)
	}
	series, err := results.Series("Fleet/daemons", "msgs/s")
	if err != nil {
		t.Fatal(err)
	}
	fit, err := series.FitLine()
	if err != nil || fit.R2 != 1 || fit.Slope != 0 {
		t.Fatalf("fit %+v, %v", fit, err)
	}
}

func TestFitLineNeedsThreeSizes(t *testing.T) {
	results, err := ReadResults(strings.NewReader(benchmarkOutput))
	if err != nil {
		t.Fatal(err)
	}
	series, err := results.Series("Other", "ns/op")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := series.FitLine(); err == nil {
		t.Fatal("fitted a line through one size")
	}
	if _, err := results.Series("Absent", "ns/op"); err == nil {
		t.Fatal("found a series of a benchmark that was not run")
	}
}
