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
	second      = 1_000_000
	panelWidth  = 30 * vg.Centimeter
	panelHeight = 7 * vg.Centimeter // of one panel
)

var (
	blue   = color.RGBA{0x1f, 0x6f, 0xb4, 255}
	green  = color.RGBA{0x2a, 0x9d, 0x4a, 255}
	red    = color.RGBA{0xcc, 0x33, 0x22, 255}
	purple = color.RGBA{0x88, 0x44, 0xaa, 255}
	shade  = color.RGBA{0xff, 0xe0, 0x99, 0x80}
)

// lineSeries is one series of a panel, by seconds.
type lineSeries struct {
	name   string
	color  color.RGBA
	values []float64
}

// panel is one of the drawing's parts.
type panel struct {
	title string
	lines []*lineSeries
}

// SVG draws a history, sorted by time.
func SVG(w io.Writer, sc *scenario.Scenario, all []history.Event) error {
	end := 0
	for _, e := range all {
		end = max(end, int(e.At/second))
	}
	c := newChart(end)
	for _, e := range all {
		c.add(e)
	}
	c.fillGaps()
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
	return writeSVG(w, plots)
}

// writeSVG draws plots below each other.
func writeSVG(w io.Writer, plots [][]*plot.Plot) error {
	svg := vgsvg.New(panelWidth, panelHeight*vg.Length(len(plots)))
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
	requests, served, rejected, failed *lineSeries
	snapshots, updates, pollsRejected  *lineSeries
	connections                        *lineSeries
	ready, overloaded                  *lineSeries

	readySidecars      map[string]bool // sidecars that are ready
	overloadedBackends int             // cold backends that hold more than they bear
	eventful           map[int]bool    // seconds with an event; in others ready and pushed stay as they were
}

func newChart(end int) *chart {
	series := func(name string, c color.RGBA) *lineSeries { return &lineSeries{name, c, make([]float64, end+1)} }
	return &chart{
		requests: series("asked", blue), served: series("served", green), rejected: series("turned away", red), failed: series("failed or nothing", purple),
		snapshots: series("whole readings", red), updates: series("further calls", blue), pollsRejected: series("refused", purple),
		connections: series("connections to backends", blue), ready: series("sidecars ready", green), overloaded: series("cold backends over what they bear", red),
		readySidecars: map[string]bool{}, eventful: map[int]bool{},
	}
}

func (c *chart) panels() []panel {
	return []panel{
		{"requests a second", []*lineSeries{c.requests, c.served, c.rejected, c.failed}},
		{"calls for lists a second", []*lineSeries{c.snapshots, c.updates, c.pollsRejected}},
		{"connections a second", []*lineSeries{c.connections}},
		{"processes", []*lineSeries{c.ready, c.overloaded}},
	}
}

// add takes in the next event.
func (c *chart) add(e history.Event) {
	s := int(e.At / second)
	switch e.Kind {
	case history.Requested:
		c.requests.values[s]++
		c.outcome(e.Status).values[s]++
	case history.ListPolled:
		c.addPoll(e)
	case history.Opened:
		if strings.HasPrefix(e.To, "backend-") {
			c.connections.values[s]++
		}
	case history.Ready:
		c.readySidecars[e.To] = true
	case history.Exited:
		delete(c.readySidecars, e.Who)
	case history.WarmupOverload:
		c.overloadedBackends += int(2*e.N - 1)
	}
	c.eventful[s] = true
	c.ready.values[s], c.overloaded.values[s] = float64(len(c.readySidecars)), max(c.overloaded.values[s], float64(c.overloadedBackends))
}

// outcome is the line of those requests that had a status.
func (c *chart) outcome(status int) *lineSeries {
	switch status {
	case http.StatusOK:
		return c.served
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return c.rejected
	}
	return c.failed
}

func (c *chart) addPoll(e history.Event) {
	began := int((e.At - e.Took) / second)
	if e.N < 0 {
		c.snapshots.values[began]++
	} else {
		c.updates.values[began]++
	}
	if e.Status == http.StatusServiceUnavailable {
		c.pollsRejected.values[e.At/second]++
	}
}

// fillGaps carries what was ready and pushed over seconds in which nothing has happened.
func (c *chart) fillGaps() {
	for s := 1; s < len(c.ready.values); s++ {
		if !c.eventful[s] {
			c.ready.values[s], c.overloaded.values[s] = c.ready.values[s-1], c.overloaded.values[s-1]
		}
	}
}

func (x panel) plot(all []history.Event, end int) (*plot.Plot, error) {
	p := plot.New()
	p.Y.Label.Text, p.X.Min, p.X.Max, p.Y.Min = x.title, 0, float64(max(end, 1)), 0
	p.Legend.Top = true
	top := 1.0
	for _, l := range x.lines {
		for _, v := range l.values {
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
		if err := drawFault(p, e.ID, began[e.ID], max(at, began[e.ID]+0.02), p.Y.Max); err != nil {
			return nil, err
		}
	}
	for _, l := range x.lines {
		points := make(plotter.XYs, len(l.values))
		for i, v := range l.values {
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

// drawFault shades the time of a fault and names it.
func drawFault(p *plot.Plot, name string, from, to, top float64) error {
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
