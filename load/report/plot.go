package report

import (
	"fmt"
	"image/color"
	"path/filepath"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"samphirehitch.example/samphirehitch/load"
	"samphirehitch.example/samphirehitch/load/measure"
)

// Dimensions of the plots.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	barWidth   = vg.Length(10)
)

// phaseColors holds the colors of the proxied phase and the baseline.
var phaseColors = []color.Color{
	color.RGBA{R: 0x1b, G: 0x6c, B: 0xa8, A: 0xff},
	color.RGBA{R: 0xd9, G: 0x8c, B: 0x2b, A: 0xff},
}

// WritePlots writes one SVG file for each of the four measures of package measure to
// the directory and returns the paths.
func WritePlots(directory string, r *load.Report) ([]string, error) {
	phases := phasesOf(r)
	drawings := []struct {
		name string
		draw func([]measure.Phase) (*plot.Plot, error)
	}{
		{"replica-reads.svg", drawReplicaReads},
		{"confirmed-writes.svg", drawConfirmedWrites},
		{"served-share.svg", drawServedShare},
		{"wrongful-refusals.svg", drawWrongfulRefusals},
	}
	var names []string
	for _, drawing := range drawings {
		p, err := drawing.draw(phases)
		if err != nil {
			return nil, eris.Wrapf(err, "draw %s", drawing.name)
		}
		name := filepath.Join(directory, drawing.name)
		if err := p.Save(plotWidth, plotHeight, name); err != nil {
			return nil, eris.Wrapf(err, "write %s", name)
		}
		names = append(names, name)
	}
	return names, nil
}

func drawReplicaReads(phases []measure.Phase) (*plot.Plot, error) {
	return drawLines(phases, "Reads served by replicas", "share", func(b measure.Bucket) float64 {
		if reads := b.ReplicaReads + b.PrimaryReads; reads > 0 {
			return float64(b.ReplicaReads) / float64(reads)
		}
		return 0
	})
}

func drawConfirmedWrites(phases []measure.Phase) (*plot.Plot, error) {
	return drawLines(phases, "Confirmed writes; vertical lines are faults", "writes in 100 ms", func(b measure.Bucket) float64 {
		return float64(b.Writes)
	})
}

// drawLines plots a value of each phase's timeline, with a vertical line at each fault
// of the first phase.
func drawLines(phases []measure.Phase, title, unit string, value func(measure.Bucket) float64) (*plot.Plot, error) {
	p := newPlot(title, "seconds", unit)
	top := 0.0
	for i, phase := range phases {
		points := make(plotter.XYs, len(phase.Timeline))
		for j, bucket := range phase.Timeline {
			points[j].X = float64(int64(j)*phase.BucketMillis) / 1000
			points[j].Y = value(bucket)
			top = max(top, points[j].Y)
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, err
		}
		line.Color = phaseColors[i]
		p.Add(line)
		p.Legend.Add(phase.Name, line)
	}
	for _, fault := range phases[0].Faults {
		at := float64(fault.AtMillis) / 1000
		line, err := plotter.NewLine(plotter.XYs{{X: at}, {X: at, Y: top}})
		if err != nil {
			return nil, err
		}
		line.Color = color.Gray{Y: 0x80}
		line.Dashes = []vg.Length{vg.Points(2), vg.Points(2)}
		p.Add(line)
	}
	return p, nil
}

func drawServedShare(phases []measure.Phase) (*plot.Plot, error) {
	return drawBars(phases, "Requests within rate that were served", "share", func(c measure.Customer) float64 {
		return c.ServedShare
	})
}

func drawWrongfulRefusals(phases []measure.Phase) (*plot.Plot, error) {
	return drawBars(phases, "Requests within rate that were refused for the rate", "requests", func(c measure.Customer) float64 {
		return float64(c.Counts.WithinRateRefused)
	})
}

// drawBars plots a value of each customer, with one bar for each phase.
func drawBars(phases []measure.Phase, title, unit string, value func(measure.Customer) float64) (*plot.Plot, error) {
	p := newPlot(title, "customer", unit)
	var names []string
	for i, phase := range phases {
		values := make(plotter.Values, len(phase.Customers))
		for j, customer := range phase.Customers {
			values[j] = value(customer)
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return nil, err
		}
		bars.Color = phaseColors[i]
		bars.LineStyle.Width = 0
		bars.Offset = barWidth * vg.Length(i)
		p.Add(bars)
		p.Legend.Add(phase.Name, bars)
	}
	for j := range phases[0].Customers {
		names = append(names, fmt.Sprint(j))
	}
	p.NominalX(names...)
	return p, nil
}

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = x
	p.Y.Label.Text = y
	p.Y.Min = 0
	p.Legend.Top = true
	return p
}
