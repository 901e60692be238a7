// Package timeline draws the history of a run: load, refusals, calls for lists, connections and ready sidecars over time, with
// the faults marked.
package timeline

import (
	"fmt"
	"image/color"
	"io"
	"net/http"
	"strings"

	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/scenario"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	second = 1_000_000
	wide   = 30 * vg.Centimeter
	high   = 7 * vg.Centimeter // of one panel
)

var (
	blue   = color.RGBA{0x1f, 0x6f, 0xb4, 255}
	green  = color.RGBA{0x2a, 0x9d, 0x4a, 255}
	red    = color.RGBA{0xcc, 0x33, 0x22, 255}
	purple = color.RGBA{0x88, 0x44, 0xaa, 255}
	shade  = color.RGBA{0xff, 0xe0, 0x99, 0x80}
)

// line is one series of a panel, by seconds.
type line struct {
	name  string
	color color.RGBA
	at    []float64
}

// panel is one of the drawing's parts.
type panel struct {
	title string
	lines []*line
}

// SVG draws a history, sorted by time.
func SVG(w io.Writer, sc *scenario.Scenario, all []history.Event) error {
	end := 0
	for _, e := range all {
		end = max(end, int(e.At/second))
	}
	c := newChart(end)
	for _, e := range all {
		c.take(e)
	}
	c.finish()
	panels := c.panels()
	plots := make([][]*plot.Plot, len(panels))
	for i, x := range panels {
		p, err := x.plot(all, end)
		if err != nil {
			return fmt.Errorf("draw %s: %w", x.title, err)
		}
		plots[i] = []*plot.Plot{p}
	}
	plots[0][0].Title.Text = fmt.Sprintf("%s, seed %d", sc.Name, sc.Seed)
	return write(w, plots)
}

// write draws plots below each other.
func write(w io.Writer, plots [][]*plot.Plot) error {
	svg := vgsvg.New(wide, high*vg.Length(len(plots)))
	tiles := draw.Tiles{Rows: len(plots), Cols: 1, PadY: 3 * vg.Millimeter, PadTop: 2 * vg.Millimeter, PadBottom: 2 * vg.Millimeter, PadLeft: 2 * vg.Millimeter, PadRight: 4 * vg.Millimeter}
	canvases := plot.Align(plots, tiles, draw.New(svg))
	for i := range plots {
		plots[i][0].Draw(canvases[i][0])
	}
	_, err := svg.WriteTo(w)
	return err
}

// chart gathers what is drawn, by seconds.
type chart struct {
	asked, served, turned, failed *line
	whole, further, refused       *line
	opened                        *line
	ready, pushed                 *line

	serving  map[string]bool // sidecars that are ready
	overload int             // cold backends that hold more than they bear
	eventful map[int]bool    // seconds with an event; in others ready and pushed stay as they were
}

func newChart(end int) *chart {
	series := func(name string, c color.RGBA) *line { return &line{name, c, make([]float64, end+1)} }
	return &chart{
		asked: series("asked", blue), served: series("served", green), turned: series("turned away", red), failed: series("failed or nothing", purple),
		whole: series("whole readings", red), further: series("further calls", blue), refused: series("refused", purple),
		opened: series("connections to backends", blue), ready: series("sidecars ready", green), pushed: series("cold backends over what they bear", red),
		serving: map[string]bool{}, eventful: map[int]bool{},
	}
}

func (c *chart) panels() []panel {
	return []panel{
		{"requests a second", []*line{c.asked, c.served, c.turned, c.failed}},
		{"calls for lists a second", []*line{c.whole, c.further, c.refused}},
		{"connections a second", []*line{c.opened}},
		{"processes", []*line{c.ready, c.pushed}},
	}
}

// take takes in the next event.
func (c *chart) take(e history.Event) {
	s := int(e.At / second)
	switch e.Kind {
	case history.Requested:
		c.asked.at[s]++
		c.outcome(e.Status).at[s]++
	case history.ListPolled:
		c.call(e)
	case history.Opened:
		if strings.HasPrefix(e.To, "backend-") {
			c.opened.at[s]++
		}
	case history.Ready:
		c.serving[e.To] = true
	case history.Exited:
		delete(c.serving, e.Who)
	case history.WarmupOverload:
		c.overload += int(2*e.N - 1)
	}
	c.eventful[s] = true
	c.ready.at[s], c.pushed.at[s] = float64(len(c.serving)), max(c.pushed.at[s], float64(c.overload))
}

// outcome is the line of those requests that had a status.
func (c *chart) outcome(status int) *line {
	switch status {
	case http.StatusOK:
		return c.served
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return c.turned
	}
	return c.failed
}

func (c *chart) call(e history.Event) {
	began := int((e.At - e.Took) / second)
	if e.N < 0 {
		c.whole.at[began]++
	} else {
		c.further.at[began]++
	}
	if e.Status == http.StatusServiceUnavailable {
		c.refused.at[e.At/second]++
	}
}

// finish carries what was ready and pushed over seconds in which nothing has happened.
func (c *chart) finish() {
	for s := 1; s < len(c.ready.at); s++ {
		if !c.eventful[s] {
			c.ready.at[s], c.pushed.at[s] = c.ready.at[s-1], c.pushed.at[s-1]
		}
	}
}

func (x panel) plot(all []history.Event, end int) (*plot.Plot, error) {
	p := plot.New()
	p.Y.Label.Text, p.X.Min, p.X.Max, p.Y.Min = x.title, 0, float64(max(end, 1)), 0
	p.Legend.Top = true
	top := 1.0
	for _, l := range x.lines {
		for _, v := range l.at {
			top = max(top, v)
		}
	}
	p.Y.Max = top * 1.15
	began := map[string]float64{}
	for _, e := range all {
		if e.Kind != history.Fault {
			continue
		}
		at := float64(e.At) / second
		if e.N == 1 {
			began[e.ID] = at
			continue
		}
		if err := mark(p, e.ID, began[e.ID], max(at, began[e.ID]+0.02), p.Y.Max); err != nil {
			return nil, err
		}
	}
	for _, l := range x.lines {
		points := make(plotter.XYs, len(l.at))
		for i, v := range l.at {
			points[i].X, points[i].Y = float64(i), v
		}
		drawn, err := plotter.NewLine(points)
		if err != nil {
			return nil, err
		}
		drawn.Color, drawn.Width = l.color, vg.Points(1.2)
		p.Add(drawn)
		p.Legend.Add(l.name, drawn)
	}
	return p, nil
}

// mark shades the time of a fault and names it.
func mark(p *plot.Plot, name string, from, to, top float64) error {
	box, err := plotter.NewPolygon(plotter.XYs{{X: from}, {X: to}, {X: to, Y: top}, {X: from, Y: top}})
	if err != nil {
		return err
	}
	box.Color, box.LineStyle.Width = shade, 0
	label, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: from, Y: top * 0.93}}, Labels: []string{name}})
	if err != nil {
		return err
	}
	p.Add(box, label)
	return nil
}
