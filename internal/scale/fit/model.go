package fit

import (
	"fernlanding/internal/scale/result"
)

// Term is the cost of one unit of a driver.
type Term struct {
	Name          string
	Value         float64 // of the metric, per unit of the driver
	StandardError float64 // of Value
	Share         float64 // fraction of the metric at the measured size where the term contributes most
	driver        func(*Drivers) float64
}

// Model predicts a metric of a role, as a sum of terms, over all swept dimensions.
type Model struct {
	Source      result.Source
	Hollow      bool
	Role        Role
	Metric      Metric
	Terms       []Term   // descending by Share; empty if the metric was zero at every size
	R2          float64  // coefficient of determination
	MedianError float64  // median relative error at the measured sizes
	MaxError    float64  // largest relative error at the measured sizes
	Rounds      int      // number of rounds to which the model is fitted
	Aliased     []string // omitted terms that are linear combinations of Terms at the measured sizes
}

// Predict returns the metric for drivers d, over all processes of the role.
func (m *Model) Predict(d Drivers) float64 {
	sum := 0.0
	for _, t := range m.Terms {
		sum += t.Value * t.driver(&d)
	}
	return sum
}

// Term returns the term with a name, or the zero Term if the model has no such term.
func (m *Model) Term(name string) Term {
	for _, t := range m.Terms {
		if t.Name == name {
			return t
		}
	}
	return Term{}
}

// Models holds the models of all metrics of one source, measured with either hollow or real proxies.
type Models struct {
	Source result.Source
	Hollow bool
	All    []Model
}

// Model returns the model of a metric of a role, or nil if the metric was not measured. The receiver
// may be nil.
func (m *Models) Model(role Role, metric Metric) *Model {
	if m == nil {
		return nil
	}
	for i := range m.All {
		if m.All[i].Role == role && m.All[i].Metric == metric {
			return &m.All[i]
		}
	}
	return nil
}

// NewModels fits one model per metric to the results of one source, measured with either hollow or
// real proxies.
func NewModels(results []*result.Result, source result.Source, hollow bool) *Models {
	models := &Models{Source: source, Hollow: hollow}
	for _, role := range Roles() {
		for _, metric := range Metrics() {
			var all []observation
			for _, r := range results {
				if r.Source == source && r.Hollow == hollow {
					all = append(all, observe(r, role, metric)...)
				}
			}
			if len(all) == 0 {
				continue
			}
			m := Model{Source: source, Hollow: hollow, Role: role, Metric: metric, Rounds: len(all)}
			m.fit(all, candidateDrivers(source, role, metric))
			models.All = append(models.All, m)
		}
	}
	return models
}
