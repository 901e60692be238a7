package fit

import (
	"fernlanding/internal/scale/result"
)

// Sweep is how a figure of a role grows in one sweep.
type Sweep struct {
	Scenario  string
	Source    result.Source
	Dimension result.Dimension
	Hollow    bool
	Role      Role
	Metric    Metric
	Line      Line
	// PerProxy is set where the figure is divided by the number of proxies. Where the sweep varies
	// that number, the figure is not divided, and the slope is the cost of one proxy.
	PerProxy bool
}

// Sweeps returns the lines of all figures that a result has at three sizes or more.
func Sweeps(res *result.Result) []Sweep {
	var all []Sweep
	for _, role := range Roles() {
		for _, figure := range Metrics() {
			s := Sweep{
				Scenario:  res.Scenario,
				Source:    res.Source,
				Dimension: res.Dimension,
				Hollow:    res.Hollow,
				Role:      role,
				Metric:    figure,
				PerProxy:  role == Proxies && res.Dimension != result.Proxies && !figure.IsTime(),
			}
			observations := observe(res, role, figure)
			if s.PerProxy {
				for i := range observations {
					observations[i].value /= observations[i].at.Proxies
				}
			}
			line, ok := fitLine(observations)
			if ok {
				s.Line = line
				all = append(all, s)
			}
		}
	}
	return all
}
