package replay

import (
	"image/color"
	"path/filepath"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// plotStep is the span of one point of a plot.
const plotStep = 100 * time.Millisecond

var plotColors = []color.Color{
	color.RGBA{R: 0x1b, G: 0x6c, B: 0xa8, A: 0xff},
	color.RGBA{R: 0xd9, G: 0x8c, B: 0x2b, A: 0xff},
}

// WritePlot writes an SVG file with the part of arrivals that each policy answered in
// time, by when they came.
func WritePlot(directory string, p Pattern, results []*Result) error {
	drawing := plot.New()
	drawing.Title.Text = p.Name + ": " + p.Load
	drawing.X.Label.Text, drawing.Y.Label.Text = "arrival, s", "answered in time"
	drawing.Y.Min, drawing.Y.Max = 0, 1
	drawing.Legend.Top = false
	for i, r := range results {
		line, err := plotter.NewLine(r.timeline())
		if err != nil {
			return eris.Wrapf(err, "plot %s", r.Policy)
		}
		line.Color = plotColors[i%len(plotColors)]
		drawing.Add(line)
		drawing.Legend.Add(r.Policy, line)
	}
	name := filepath.Join(directory, strings.ReplaceAll(p.Name, " ", "-")+".svg")
	return eris.Wrapf(drawing.Save(16*vg.Centimeter, 9*vg.Centimeter, name), "write %s", name)
}

func (r *Result) timeline() plotter.XYs {
	var line plotter.XYs
	var step Tally
	var at time.Duration
	flush := func() {
		if step.Asked > 0 {
			line = append(line, plotter.XY{X: at.Seconds(), Y: step.share()})
		}
		step = Tally{}
	}
	for _, point := range r.InTime {
		if start := point.At / plotStep * plotStep; start != at {
			flush()
			at = start
		}
		step.Asked++
		if point.InTime {
			step.InTime++
		}
	}
	flush()
	return line
}
