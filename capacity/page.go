package capacity

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Names of the blocks of the page that WritePage replaces.
const (
	blockSlopes    = "slopes"
	blockEstimates = "rows"
)

// Dimensions of a plot.
const (
	plotWidth  = 12 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// SlopeTable returns the slopes and the quality of their fits as a Markdown table.
func (m *Model) SlopeTable() string {
	var table strings.Builder
	table.WriteString("| Quantity | Benchmark | Measured at | Fit | R² |\n|---|---|---|---|---|\n")
	for _, s := range m.slopes {
		fmt.Fprintf(&table, "| %s | `%s` | %.0f to %.0f %s | %s + %s × %s, in %s | %.3f |\n",
			s.description, s.benchmark, s.Fit.MinSize, s.Fit.MaxSize, s.sizeUnit, formatValue(s.Fit.Intercept), formatValue(s.Fit.Slope), s.sizeUnit, s.unit, s.Fit.R2)
	}
	return table.String()
}

// EstimateTable returns the estimates for a size as a Markdown table, with their limits.
func (m *Model) EstimateTable(s Size) string {
	var table strings.Builder
	table.WriteString("| Role | Quantity | Worked out as | At that size | Limit | Within |\n|---|---|---|---|---|---|\n")
	for _, r := range m.Estimates(s) {
		limit, within := "none stated", ""
		if r.Limit > 0 {
			limit = formatValue(r.Limit) + " " + r.Unit
			within = map[bool]string{true: "yes", false: "**no**"}[r.Value <= r.Limit]
		}
		fmt.Fprintf(&table, "| %s | %s | %s | %s %s | %s | %s |\n", r.Role, r.Quantity, r.Formula, formatValue(r.Value), r.Unit, limit, within)
	}
	return table.String()
}

// formatValue formats a number with three significant digits, or as an integer from 1000.
func formatValue(v float64) string {
	if v >= 1000 || v <= -1000 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

// WritePage replaces the tables in a Markdown page. Each table is a block between the lines
// <!-- begin NAME --> and <!-- end NAME -->, which must be present.
func (m *Model) WritePage(path string, s Size) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "read the page")
	}
	page := string(data)
	for name, table := range map[string]string{blockSlopes: m.SlopeTable(), blockEstimates: m.EstimateTable(s)} {
		if page, err = replaceBlock(page, name, table); err != nil {
			return eris.Wrapf(err, "page %s", path)
		}
	}
	return eris.Wrap(os.WriteFile(path, []byte(page), 0o644), "write the page")
}

// replaceBlock replaces the text of a block and keeps the lines that delimit it.
func replaceBlock(page, name, text string) (string, error) {
	begin, end := "<!-- begin "+name+" -->\n", "<!-- end "+name+" -->"
	before, rest, found := strings.Cut(page, begin)
	if !found {
		return "", eris.Errorf("the page has no line %q", strings.TrimSpace(begin))
	}
	_, after, found := strings.Cut(rest, end)
	if !found {
		return "", eris.Errorf("the page has no line %q after the block's beginning", end)
	}
	return before + begin + text + end + after, nil
}

// WritePlots writes an SVG file for each slope into a directory, with the measurements and
// the fitted line.
func (m *Model) WritePlots(directory string) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return eris.Wrap(err, "create the directory of plots")
	}
	for _, s := range m.slopes {
		if err := s.writePlot(directory); err != nil {
			return eris.Wrapf(err, "plot %s", s.description)
		}
	}
	return nil
}

func (s *Slope) writePlot(directory string) error {
	p := plot.New()
	p.Title.Text = s.description
	p.X.Label.Text = s.sizeUnit
	p.Y.Label.Text = s.unit
	points := make(plotter.XYs, len(s.Series.Points))
	for i, point := range s.Series.Points {
		points[i].X, points[i].Y = point.Size, point.Value
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	line, err := plotter.NewLine(plotter.XYs{{X: s.Fit.MinSize, Y: s.Fit.ValueAt(s.Fit.MinSize)}, {X: s.Fit.MaxSize, Y: s.Fit.ValueAt(s.Fit.MaxSize)}})
	if err != nil {
		return err
	}
	p.Add(scatter, line)
	name := strings.NewReplacer("/", "-", " ", "-", "%", "percent").Replace(s.benchmark+"-"+s.unit) + ".svg"
	return p.Save(plotWidth, plotHeight, filepath.Join(directory, name))
}
