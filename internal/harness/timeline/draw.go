// Package timeline draws the history of a run. A drawing shows requests, rejections, polls of list
// services, connections and ready sidecars over time, and marks the faults.
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
	panelHeight = 7 * vg.Centimeter
)

var (
	blue   = color.RGBA{0x1f, 0x6f, 0xb4, 255}
	green  = color.RGBA{0x2a, 0x9d, 0x4a, 255}
	red    = color.RGBA{0xcc, 0x33, 0x22, 255}
	purple = color.RGBA{0x88, 0x44, 0xaa, 255}
	shade  = color.RGBA{0xff, 0xe0, 0x99, 0x80}
)

// lineSeries is one line of a panel. It has one value for each second of the run.
type lineSeries struct {
	name   string
	color  color.RGBA
	values []float64
}

// panel is one plot. The panels of a drawing are stacked vertically.
type panel struct {
	title string
	lines []*lineSeries
}

// SVG writes a drawing of a history, which must be sorted by time, in SVG format.
func SVG(w io.Writer, spec *scenario.Scenario, events []history.Event) error {
	end := 0
	for _, e := range events {
		end = max(end, int(e.At/second))
	}
	c := newChart(end)
	for _, e := range events {
		c.add(e)
	}
	c.fillGaps()
	panels := c.panels()
	plots := make([][]*plot.Plot, len(panels))
	for i, panel := range panels {
		drawn, err := panel.plot(events, end)
		if err != nil {
			return fmt.Errorf("draw %s: %w", panel.title, err)
		}
		plots[i] = []*plot.Plot{drawn}
	}
	plots[0][0].Title.Text = fmt.Sprintf("%s, seed %d", spec.Name, spec.Seed)
	return writeSVG(w, plots)
}

// writeSVG writes plots in SVG format, stacked vertically.
func writeSVG(w io.Writer, plots [][]*plot.Plot) error {
	svg := vgsvg.New(panelWidth, panelHeight*vg.Length(len(plots)))
	tiles := draw.Tiles{
		Rows:      len(plots),
		Cols:      1,
		PadY:      3 * vg.Millimeter,
		PadTop:    2 * vg.Millimeter,
		PadBottom: 2 * vg.Millimeter,
		PadLeft:   2 * vg.Millimeter,
		PadRight:  4 * vg.Millimeter,
	}
	canvases := plot.Align(plots, tiles, draw.New(svg))
	for i := range plots {
		plots[i][0].Draw(canvases[i][0])
	}
	_, err := svg.WriteTo(w)
	return err
}

// chart accumulates the values of a drawing by second of the run.
type chart struct {
	requests, served, rejected, failed *lineSeries
	snapshots, updates, pollsRejected  *lineSeries
	connections                        *lineSeries
	ready, overloaded                  *lineSeries

	readySidecars      map[string]bool
	overloadedBackends int          // current number of overloaded cold backends
	hasEvent           map[int]bool // seconds that have events; in other seconds, ready and overloaded do not change
}

// newChart returns an empty chart of a run that ends in second end. The drawing shows the names of
// the lines.
func newChart(end int) *chart {
	series := func(name string, c color.RGBA) *lineSeries {
		return &lineSeries{name: name, color: c, values: make([]float64, end+1)}
	}
	return &chart{
		requests:      series("asked", blue),
		served:        series("served", green),
		rejected:      series("turned away", red),
		failed:        series("failed or nothing", purple),
		snapshots:     series("whole readings", red),
		updates:       series("further calls", blue),
		pollsRejected: series("refused", purple),
		connections:   series("connections to backends", blue),
		ready:         series("sidecars ready", green),
		overloaded:    series("cold backends over what they bear", red),
		readySidecars: map[string]bool{},
		hasEvent:      map[int]bool{},
	}
}

// panels returns the panels of the drawing from top to bottom.
func (c *chart) panels() []panel {
	return []panel{
		{title: "requests a second", lines: []*lineSeries{c.requests, c.served, c.rejected, c.failed}},
		{title: "calls for lists a second", lines: []*lineSeries{c.snapshots, c.updates, c.pollsRejected}},
		{title: "connections a second", lines: []*lineSeries{c.connections}},
		{title: "processes", lines: []*lineSeries{c.ready, c.overloaded}},
	}
}

// add adds the next event.
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
	default: // other kinds are not drawn
	}
	c.hasEvent[s] = true
	c.ready.values[s] = float64(len(c.readySidecars))
	c.overloaded.values[s] = max(c.overloaded.values[s], float64(c.overloadedBackends))
}

// outcome returns the line for requests that ended with status.
func (c *chart) outcome(status int) *lineSeries {
	switch status {
	case http.StatusOK:
		return c.served
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return c.rejected
	}
	return c.failed
}

// addPoll adds a poll of a list service. Polls are drawn at the time at which they were sent,
// rejections at the time of the response.
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

// fillGaps copies the values of ready and overloaded into seconds without events.
func (c *chart) fillGaps() {
	for s := 1; s < len(c.ready.values); s++ {
		if !c.hasEvent[s] {
			c.ready.values[s] = c.ready.values[s-1]
			c.overloaded.values[s] = c.overloaded.values[s-1]
		}
	}
}

// plot returns the plot of a panel, with the faults of a history that ends in second end.
func (p panel) plot(events []history.Event, end int) (*plot.Plot, error) {
	drawing := plot.New()
	drawing.Y.Label.Text = p.title
	drawing.X.Min = 0
	drawing.X.Max = float64(max(end, 1))
	drawing.Y.Min = 0
	drawing.Y.Max = p.top() * 1.15 // space for the legend
	drawing.Legend.Top = true
	if err := drawFaults(drawing, events); err != nil {
		return nil, err
	}
	for _, series := range p.lines {
		if err := series.draw(drawing); err != nil {
			return nil, err
		}
	}
	return drawing, nil
}

// top returns the highest value of a panel, at least 1.
func (p panel) top() float64 {
	top := 1.0
	for _, series := range p.lines {
		for _, value := range series.values {
			top = max(top, value)
		}
	}
	return top
}

// draw adds a line to a plot.
func (l *lineSeries) draw(drawing *plot.Plot) error {
	points := make(plotter.XYs, len(l.values))
	for i, value := range l.values {
		points[i].X = float64(i)
		points[i].Y = value
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = l.color
	line.Width = vg.Points(1.2)
	drawing.Add(line)
	drawing.Legend.Add(l.name, line)
	return nil
}

// drawFaults marks all faults that have ended. A fault is drawn at least 0.02 s wide so that it
// remains visible.
func drawFaults(drawing *plot.Plot, events []history.Event) error {
	began := map[string]float64{}
	for _, e := range events {
		if e.Kind != history.Fault {
			continue
		}
		at := float64(e.At) / second
		if e.N == 1 {
			began[e.ID] = at
			continue
		}
		if err := drawFault(drawing, e.ID, began[e.ID], max(at, began[e.ID]+0.02), drawing.Y.Max); err != nil {
			return err
		}
	}
	return nil
}

// drawFault shades the period of a fault and labels it with the fault's name.
func drawFault(p *plot.Plot, name string, from, to, top float64) error {
	box, err := plotter.NewPolygon(plotter.XYs{{X: from}, {X: to}, {X: to, Y: top}, {X: from, Y: top}})
	if err != nil {
		return err
	}
	box.Color = shade
	box.Width = 0
	label, err := plotter.NewLabels(plotter.XYLabels{
		XYs:    plotter.XYs{{X: from, Y: top * 0.93}},
		Labels: []string{name},
	})
	if err != nil {
		return err
	}
	p.Add(box, label)
	return nil
}
