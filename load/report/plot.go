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

// Sizes of the plots.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	barWidth   = vg.Length(10)
)

// phaseColors tell the phases apart.
var phaseColors = []color.Color{
	color.RGBA{R: 0x1b, G: 0x6c, B: 0xa8, A: 0xff},
	color.RGBA{R: 0xd9, G: 0x8c, B: 0x2b, A: 0xff},
}

// WritePlots writes one SVG file for each of the four measures into the
// directory and returns their names.
func WritePlots(directory string, r *load.Report) ([]string, error) {
	phases := phasesOf(r)
	drawings := []struct {
		name string
		draw func([]measure.Phase) (*plot.Plot, error)
	}{
		{"replica-reads.svg", drawReplicaReads},
		{"confirmed-writes.svg", drawWrites},
		{"served-share.svg", drawServed},
		{"wrongful-refusals.svg", drawRefusals},
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

func drawWrites(phases []measure.Phase) (*plot.Plot, error) {
	return drawLines(phases, "Confirmed writes; vertical lines are faults", "writes in 100 ms", func(b measure.Bucket) float64 {
		return float64(b.Writes)
	})
}

// drawLines draws a value of the timeline for each phase, with the faults of the
// first one.
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
	for _, mark := range phases[0].Faults {
		at := float64(mark.AtMillis) / 1000
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

func drawServed(phases []measure.Phase) (*plot.Plot, error) {
	return drawBars(phases, "Requests within rate that were served", "share", func(c measure.Customer) float64 {
		return c.ServedShare
	})
}

func drawRefusals(phases []measure.Phase) (*plot.Plot, error) {
	return drawBars(phases, "Requests within rate that were refused for the rate", "requests", func(c measure.Customer) float64 {
		return float64(c.Sums.WithinRateRefused)
	})
}

// drawBars draws a value of each customer for each phase.
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
