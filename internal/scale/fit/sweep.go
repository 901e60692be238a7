package fit

import (
	"fernlanding/internal/scale/result"
)

// Sweep is the growth of a metric of a role in one sweep.
type Sweep struct {
	Scenario  string
	Source    result.Source
	Dimension result.Dimension
	Hollow    bool
	Role      Role
	Metric    Metric
	Line      Line
	// PerProxy reports whether the metric is divided by the number of proxies. If the sweep varies
	// the number of proxies, the metric is not divided, and the slope is the cost of one proxy.
	PerProxy bool
}

// Sweeps returns the lines of all metrics that a result has at three or more sizes.
func Sweeps(res *result.Result) []Sweep {
	var all []Sweep
	for _, role := range Roles() {
		for _, metric := range Metrics() {
			s := Sweep{
				Scenario:  res.Scenario,
				Source:    res.Source,
				Dimension: res.Dimension,
				Hollow:    res.Hollow,
				Role:      role,
				Metric:    metric,
				PerProxy:  role == Proxies && res.Dimension != result.Proxies && !metric.IsTime(),
			}
			observations := observe(res, role, metric)
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
