package plot

import (
	"fmt"
	"html"
	"io"
	"strings"

	"fernlanding/internal/fleetsim"
)

const (
	width, height = 900, 420
	left, bottom  = 50, 30 // margins
	top, right    = 30, 20 // margins
	legendWidth   = 170    // width of one legend entry
	gridLines     = 4      // horizontal lines above zero
	timeLabels    = 10     // labels of the time axis
)

// curve describes one plotted value over time.
type curve struct {
	name, color string
	value       func(*row) float64
}

// curves returns the curves of the chart in the order of the legend.
func curves() []curve {
	return []curve{
		{"count", "#1f6fb4", (*row).limit},
		{"calls out", "#2a9d4a", func(r *row) float64 { return float64(r.Stats.Tier.InFlight) }},
		{"cores free in the tier", "#999999", func(r *row) float64 { return r.FreeCores }},
		{"backends overdriven", "#8844aa", func(r *row) float64 { return float64(r.OverloadedBackends) }},
		{"refused a second, in the shadow", "#cc3322", func(r *row) float64 { return float64(r.excessSheds) }},
	}
}

// chart builds the SVG text of a replica's rows.
type chart struct {
	text     strings.Builder
	rows     []row
	maxValue float64
}

// SVG writes a chart of a replica's day. Its curves are the limit, the attempts in flight, the free
// cores of the tier, the overloaded backends and the excess sheds per second. Faults are drawn as
// bands behind the curves.
func SVG(w io.Writer, result *fleetsim.Result, tier, replica int) error {
	rows, err := replicaRows(result, tier, replica)
	if err != nil {
		return err
	}
	c := &chart{rows: rows, maxValue: 1}
	for _, curve := range curves() {
		for i := range rows {
			c.maxValue = max(c.maxValue, curve.value(&rows[i]))
		}
	}
	fmt.Fprintf(&c.text, `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 %d %d" `+
		`font-family="sans-serif" font-size="12">`+
		"\n"+`<rect width="100%%" height="100%%" fill="white"/>`+"\n", width, height)
	for i := range result.Day.Faults {
		c.drawFault(&result.Day.Faults[i])
	}
	c.drawAxes()
	for i, curve := range curves() {
		c.drawCurve(i, curve)
	}
	c.text.WriteString("</svg>\n")
	_, err = io.WriteString(w, c.text.String())
	return err
}

// x returns the horizontal position of a second.
func (c *chart) x(second int) float64 {
	return left + float64(second)/float64(max(1, len(c.rows)-1))*(width-left-right)
}

// y returns the vertical position of a value.
func (c *chart) y(value float64) float64 {
	return height - bottom - value/c.maxValue*(height-bottom-40)
}

// drawFault draws the duration of a fault as a labeled band.
func (c *chart) drawFault(f *fleetsim.Fault) {
	last := len(c.rows) - 1
	span := c.x(last) - c.x(0)
	from := c.x(0) + span*f.At.Seconds()/float64(last)
	to := min(c.x(last), c.x(0)+span*(f.At.Seconds()+f.Duration.Seconds())/float64(last))
	fmt.Fprintf(&c.text, `<rect x="%.1f" y="%d" width="%.1f" height="%d" fill="#fff0cc"/>`+
		`<text x="%.1f" y="42">%s</text>`+"\n",
		from, top, max(1, to-from), height-bottom-top, from+3, html.EscapeString(string(f.Kind)))
}

// drawAxes draws the grid lines and labels of the value axis, and the labels of the time axis.
func (c *chart) drawAxes() {
	for i := range gridLines + 1 {
		value := c.maxValue * float64(i) / gridLines
		y := c.y(value)
		fmt.Fprintf(&c.text, `<text x="5" y="%.1f">%.0f</text>`+
			`<line x1="%d" y1="%.1f" x2="%d" y2="%.1f" stroke="#eeeeee"/>`+"\n", y+4, value, left, y, width-right, y)
	}
	for i := 0; i < len(c.rows); i += max(1, len(c.rows)/timeLabels) {
		fmt.Fprintf(&c.text, `<text x="%.1f" y="%d">%ds</text>`+"\n", c.x(i), height-10, i)
	}
}

// drawCurve draws a curve and its entry in the legend at the given index.
func (c *chart) drawCurve(index int, curve curve) {
	var points []string
	for i := range c.rows {
		points = append(points, fmt.Sprintf("%.1f,%.1f", c.x(i), c.y(curve.value(&c.rows[i]))))
	}
	fmt.Fprintf(&c.text, `<polyline fill="none" stroke="%s" stroke-width="1.5" points="%s"/>`+
		`<text x="%d" y="20" fill="%s">%s</text>`+"\n",
		curve.color, strings.Join(points, " "), left+index*legendWidth, curve.color, curve.name)
}
