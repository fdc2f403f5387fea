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

// Names of the parts of the page that are written by the tool.
const (
	blockSlopes = "slopes"
	blockRows   = "rows"
)

// Size of a plot.
const (
	plotWidth  = 12 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// SlopeTable returns the slopes as a Markdown table.
func (m *Model) SlopeTable() string {
	var t strings.Builder
	t.WriteString("| Quantity | Benchmark | Measured at | Fit | R² |\n|---|---|---|---|---|\n")
	for _, s := range m.slopes {
		fmt.Fprintf(&t, "| %s | `%s` | %.0f to %.0f %s | %s + %s × %s, in %s | %.3f |\n",
			s.what, s.benchmark, s.Fit.From, s.Fit.To, s.size, short(s.Fit.Intercept), short(s.Fit.Slope), s.size, s.unit, s.Fit.R2)
	}
	return t.String()
}

// RowTable returns the worked-out quantities as a Markdown table.
func (m *Model) RowTable(s Size) string {
	var t strings.Builder
	t.WriteString("| Role | Quantity | Worked out as | At that size | Limit | Within |\n|---|---|---|---|---|---|\n")
	for _, r := range m.Rows(s) {
		limit, within := "none stated", ""
		if r.Limit > 0 {
			limit = short(r.Limit) + " " + r.Unit
			within = map[bool]string{true: "yes", false: "**no**"}[r.Value <= r.Limit]
		}
		fmt.Fprintf(&t, "| %s | %s | %s | %s %s | %s | %s |\n", r.Role, r.Quantity, r.Formula, short(r.Value), r.Unit, limit, within)
	}
	return t.String()
}

// short formats a figure with three digits.
func short(v float64) string {
	if v >= 1000 || v <= -1000 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

// WritePage replaces the tables in a page. Each stands between a line
// <!-- begin NAME --> and a line <!-- end NAME -->.
func (m *Model) WritePage(path string, s Size) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "read the page")
	}
	page := string(data)
	for name, table := range map[string]string{blockSlopes: m.SlopeTable(), blockRows: m.RowTable(s)} {
		if page, err = replaceBlock(page, name, table); err != nil {
			return eris.Wrapf(err, "page %s", path)
		}
	}
	return eris.Wrap(os.WriteFile(path, []byte(page), 0o644), "write the page")
}

func replaceBlock(page, name, text string) (string, error) {
	begin, end := "<!-- begin "+name+" -->\n", "<!-- end "+name+" -->"
	head, rest, found := strings.Cut(page, begin)
	if !found {
		return "", eris.Errorf("no line %q", strings.TrimSpace(begin))
	}
	_, tail, found := strings.Cut(rest, end)
	if !found {
		return "", eris.Errorf("no line %q", end)
	}
	return head + begin + text + end + tail, nil
}

// WritePlots writes an SVG for each slope into a directory.
func (m *Model) WritePlots(directory string) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return eris.Wrap(err, "make the directory of plots")
	}
	for _, s := range m.slopes {
		if err := s.writePlot(directory); err != nil {
			return eris.Wrapf(err, "plot %s", s.what)
		}
	}
	return nil
}

func (s *Slope) writePlot(directory string) error {
	p := plot.New()
	p.Title.Text = s.what
	p.X.Label.Text = s.size
	p.Y.Label.Text = s.unit
	points := make(plotter.XYs, len(s.Series.Points))
	for i, point := range s.Series.Points {
		points[i].X, points[i].Y = point.Size, point.Value
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	line, err := plotter.NewLine(plotter.XYs{{X: s.Fit.From, Y: s.Fit.At(s.Fit.From)}, {X: s.Fit.To, Y: s.Fit.At(s.Fit.To)}})
	if err != nil {
		return err
	}
	p.Add(scatter, line)
	name := strings.NewReplacer("/", "-", " ", "-", "%", "percent").Replace(s.benchmark+"-"+s.unit) + ".svg"
	return p.Save(plotWidth, plotHeight, filepath.Join(directory, name))
}
