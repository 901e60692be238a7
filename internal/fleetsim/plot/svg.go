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
	top, right    = 30, 20
	legendWidth   = 170 // of one curve
	valueLines    = 4   // above zero
	timeLabels    = 10
)

// curve is one value over time.
type curve struct {
	name, color string
	value       func(*row) float64
}

// curves returns what is drawn.
func curves() []curve {
	return []curve{
		{"count", "#1f6fb4", (*row).limit},
		{"calls out", "#2a9d4a", func(r *row) float64 { return float64(r.Stats.Tier.InFlight) }},
		{"cores free in the tier", "#999999", func(r *row) float64 { return r.FreeCores }},
		{"backends overdriven", "#8844aa", func(r *row) float64 { return float64(r.Overloaded) }},
		{"refused a second, in the shadow", "#cc3322", func(r *row) float64 { return float64(r.excess) }},
	}
}

// chart is a picture of a replica's seconds.
type chart struct {
	text     strings.Builder
	rows     []row
	maxValue float64
}

// SVG writes what [Text] writes as curves over time: the limit, attempts in flight, cores of the
// tier that are free, overloaded backends and excess shedding, with the faults as bands.
func SVG(w io.Writer, result *fleetsim.Result, tier, replica int) error {
	rows, err := rowsOf(result, tier, replica)
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

// x returns the place of a second.
func (c *chart) x(second int) float64 {
	return left + float64(second)/float64(max(1, len(c.rows)-1))*(width-left-right)
}

// y returns the place of a value.
func (c *chart) y(value float64) float64 {
	return height - bottom - value/c.maxValue*(height-bottom-40)
}

// drawFault draws a fault as a band.
func (c *chart) drawFault(f *fleetsim.Fault) {
	last := len(c.rows) - 1
	span := c.x(last) - c.x(0)
	from := c.x(0) + span*f.At.Seconds()/float64(last)
	to := min(c.x(last), c.x(0)+span*(f.At.Seconds()+f.Duration.Seconds())/float64(last))
	fmt.Fprintf(&c.text, `<rect x="%.1f" y="%d" width="%.1f" height="%d" fill="#fff0cc"/>`+
		`<text x="%.1f" y="42">%s</text>`+"\n",
		from, top, max(1, to-from), height-bottom-top, from+3, html.EscapeString(string(f.Kind)))
}

// drawAxes draws the lines and labels of values, and the labels of time.
func (c *chart) drawAxes() {
	for i := range valueLines + 1 {
		value := c.maxValue * float64(i) / valueLines
		y := c.y(value)
		fmt.Fprintf(&c.text, `<text x="5" y="%.1f">%.0f</text>`+
			`<line x1="%d" y1="%.1f" x2="%d" y2="%.1f" stroke="#eeeeee"/>`+"\n", y+4, value, left, y, width-right, y)
	}
	for i := 0; i < len(c.rows); i += max(1, len(c.rows)/timeLabels) {
		fmt.Fprintf(&c.text, `<text x="%.1f" y="%d">%ds</text>`+"\n", c.x(i), height-10, i)
	}
}

// drawCurve draws a curve and its name at a place of the legend.
func (c *chart) drawCurve(place int, curve curve) {
	var points []string
	for i := range c.rows {
		points = append(points, fmt.Sprintf("%.1f,%.1f", c.x(i), c.y(curve.value(&c.rows[i]))))
	}
	fmt.Fprintf(&c.text, `<polyline fill="none" stroke="%s" stroke-width="1.5" points="%s"/>`+
		`<text x="%d" y="20" fill="%s">%s</text>`+"\n",
		curve.color, strings.Join(points, " "), left+place*legendWidth, curve.color, curve.name)
}
