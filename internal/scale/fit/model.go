package fit

import (
	"fernlanding/internal/scale/result"
)

// Term is the cost of one unit of a driver.
type Term struct {
	Name          string
	Value         float64 // of the figure, per unit
	StandardError float64 // standard error of Value
	Share         float64 // of the figure, at the measured size at which the term contributes most
	driver        func(*Drivers) float64
}

// Model is how a figure of a role grows with every dimension that was swept: a sum of terms.
type Model struct {
	Source      result.Source
	Hollow      bool
	Role        Role
	Metric      Metric
	Terms       []Term   // by Share, descending; empty where the figure was zero at every size
	R2          float64  // coefficient of determination
	MedianError float64  // median of the relative errors at the measured sizes
	MaxError    float64  // largest of the relative errors
	Rounds      int      // number of rounds that the model is fitted to
	Aliased     []string // terms left out that the measured sizes cannot tell apart from those that stay
}

// Predict returns the figure at a size, over all processes of the role.
func (m *Model) Predict(d Drivers) float64 {
	sum := 0.0
	for _, t := range m.Terms {
		sum += t.Value * t.driver(&d)
	}
	return sum
}

// Term returns the term of a name; the zero Term where the model has none.
func (m *Model) Term(name string) Term {
	for _, t := range m.Terms {
		if t.Name == name {
			return t
		}
	}
	return Term{}
}

// Models are the models of all figures of one source, measured of hollow or of real proxies.
type Models struct {
	Source result.Source
	Hollow bool
	All    []Model
}

// Model returns the model of a figure of a role, nil where it was not measured. It may be called on
// nil.
func (m *Models) Model(role Role, figure Metric) *Model {
	if m == nil {
		return nil
	}
	for i := range m.All {
		if m.All[i].Role == role && m.All[i].Metric == figure {
			return &m.All[i]
		}
	}
	return nil
}

// NewModels fits one model for each figure to the results of one source, measured of hollow or of
// real proxies.
func NewModels(results []*result.Result, source result.Source, hollow bool) *Models {
	models := &Models{Source: source, Hollow: hollow}
	for _, role := range Roles() {
		for _, figure := range Metrics() {
			var all []observation
			for _, r := range results {
				if r.Source == source && r.Hollow == hollow {
					all = append(all, observe(r, role, figure)...)
				}
			}
			if len(all) == 0 {
				continue
			}
			m := Model{Source: source, Hollow: hollow, Role: role, Metric: figure, Rounds: len(all)}
			m.fit(all, candidateDrivers(source, role, figure))
			models.All = append(models.All, m)
		}
	}
	return models
}
