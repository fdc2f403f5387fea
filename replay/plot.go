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

// timelineStep is the time that one point of a plot covers.
const timelineStep = 100 * time.Millisecond

// plotColors holds the colors of the policies' lines, in the order of the results.
var plotColors = []color.Color{
	color.RGBA{R: 0x1b, G: 0x6c, B: 0xa8, A: 0xff},
	color.RGBA{R: 0xd9, G: 0x8c, B: 0x2b, A: 0xff},
}

// WritePlot writes an SVG file to the directory that shows, over the time of arrival, the
// share of arrivals that each policy served within their objective.
func WritePlot(directory string, p Pattern, results []*Result) error {
	drawing := plot.New()
	drawing.Title.Text = p.Name + ": " + p.Description
	drawing.X.Label.Text, drawing.Y.Label.Text = "arrival, s", "answered in time"
	drawing.Y.Min, drawing.Y.Max = 0, 1
	drawing.Legend.Top = false
	for i, r := range results {
		line, err := plotter.NewLine(r.plotPoints())
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

// plotPoints returns the share of arrivals served in time for each step with arrivals.
func (r *Result) plotPoints() plotter.XYs {
	var line plotter.XYs
	var tally Tally
	var stepStart time.Duration
	appendStep := func() {
		if tally.Arrivals > 0 {
			line = append(line, plotter.XY{X: stepStart.Seconds(), Y: tally.inTimeShare()})
		}
		tally = Tally{}
	}
	for _, point := range r.Timeline {
		if start := point.At / timelineStep * timelineStep; start != stepStart {
			appendStep()
			stepStart = start
		}
		tally.Arrivals++
		if point.InTime {
			tally.InTime++
		}
	}
	appendStep()
	return line
}
