// Package draw draws the history of a run: load, refusals, calls for lists, connections and ready sidecars over time, with
// the faults marked.
package draw

import (
	"fmt"
	"image/color"
	"io"
	"net/http"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"fernlanding/internal/rig/history"
	"fernlanding/internal/rig/scenario"
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
	series := func(name string, c color.RGBA) *line { return &line{name, c, make([]float64, end+1)} }
	asked, served, turned, failed := series("asked", blue), series("served", green), series("turned away", red), series("failed or nothing", purple)
	whole, further, refused := series("whole readings", red), series("further calls", blue), series("refused", purple)
	opened, ready, pushed := series("connections to backends", blue), series("sidecars ready", green), series("cold backends over what they bear", red)
	up, over := 0, 0
	upAt, overAt := map[int]int{}, map[int]int{}
	is := map[string]bool{}
	for _, e := range all {
		s := int(e.At / second)
		switch e.Kind {
		case history.Asked:
			switch asked.at[s]++; {
			case e.Status == http.StatusOK:
				served.at[s]++
			case e.Status == http.StatusServiceUnavailable || e.Status == http.StatusTooManyRequests:
				turned.at[s]++
			default:
				failed.at[s]++
			}
		case history.Call:
			began := int((e.At - e.Took) / second)
			if e.N < 0 {
				whole.at[began]++
			} else {
				further.at[began]++
			}
			if e.Status == http.StatusServiceUnavailable {
				refused.at[s]++
			}
		case history.Opened:
			if strings.HasPrefix(e.To, "backend-") {
				opened.at[s]++
			}
		case history.Ready:
			if !is[e.To] {
				is[e.To] = true
				up++
			}
		case history.Gone:
			if is[e.Who] {
				delete(is, e.Who)
				up--
			}
		case history.Pushed:
			over += int(2*e.N - 1)
		}
		upAt[s], overAt[s] = up, max(overAt[s], over)
	}
	last, lastOver := 0, 0
	for s := range ready.at {
		if n, ok := upAt[s]; ok {
			last, lastOver = n, overAt[s]
		}
		ready.at[s], pushed.at[s] = float64(last), float64(lastOver)
	}
	panels := []panel{{"requests a second", []*line{asked, served, turned, failed}}, {"calls for lists a second", []*line{whole, further, refused}},
		{"connections a second", []*line{opened}}, {"processes", []*line{ready, pushed}}}
	plots := make([][]*plot.Plot, len(panels))
	for i, x := range panels {
		p, err := x.plot(all, end)
		if err != nil {
			return fmt.Errorf("draw %s: %w", x.title, err)
		}
		plots[i] = []*plot.Plot{p}
	}
	plots[0][0].Title.Text = fmt.Sprintf("%s, seed %d", sc.Name, sc.Seed)
	svg := vgsvg.New(wide, high*vg.Length(len(panels)))
	tiles := draw.Tiles{Rows: len(panels), Cols: 1, PadY: 3 * vg.Millimeter, PadTop: 2 * vg.Millimeter, PadBottom: 2 * vg.Millimeter, PadLeft: 2 * vg.Millimeter, PadRight: 4 * vg.Millimeter}
	canvases := plot.Align(plots, tiles, draw.New(svg))
	for i := range plots {
		plots[i][0].Draw(canvases[i][0])
	}
	_, err := svg.WriteTo(w)
	return err
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
