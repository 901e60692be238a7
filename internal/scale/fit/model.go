package fit

import (
	"math"
	"slices"

	"fernlanding/internal/scale/result"
)

// Drivers are the quantities that costs grow with. Those of a measured point follow from its size; those of a target
// are worked out, where services differ in size and in how many follow them.
type Drivers struct {
	Processes        float64 // of the role
	Relays           float64 // that stand between; those that a source has as followers, where it is the role
	Proxies          float64
	Followed         float64 // services, added up over the proxies that follow them
	EndpointsHeld    float64 // endpoints of these
	Changes          float64 // a second, at the origin
	EndpointsPut     float64 // a second, at the origin: endpoints of the lists that are changed
	Delivered        float64 // a second: changes, each counted for every proxy that follows it
	EndpointsChanged float64 // a second: endpoints of the lists in which they are
	ListsRead        float64 // a second: whole lists that blocking reads bring, at rest and because of changes
	EndpointsRead    float64 // a second: endpoints of these
	Calls            float64 // a second, over all proxies
	Services         float64 // in all
	Endpoints        float64 // in all
}

// DriversOf are the drivers of a measured size, with the number of a role's processes and that of relays.
func DriversOf(s result.Size, processes, relays int) Drivers {
	n, services, backends := float64(s.Proxies), float64(s.Services), float64(s.Backends)
	d := Drivers{
		Processes: float64(processes), Relays: float64(relays), Proxies: n, Followed: n * services, EndpointsHeld: n * services * backends,
		Changes: s.ChangesPerSecond, EndpointsPut: s.ChangesPerSecond * backends, Calls: n * s.CallsPerSecond, Services: float64(s.ServicesInAll), Endpoints: float64(s.ServicesInAll) * backends,
	}
	if s.ServicesInAll > 0 {
		d.Delivered = s.ChangesPerSecond * n * services / float64(s.ServicesInAll)
	}
	d.EndpointsChanged = d.Delivered * backends
	if s.ServicesInAll > 0 {
		d.ListsRead = d.Followed * ReadRate(s.ChangesPerSecond/float64(s.ServicesInAll))
	}
	d.EndpointsRead = d.ListsRead * backends
	return d
}

// readHold is how long a blocking read of package consul waits for news, in seconds.
const readHold = 2.0

// ReadRate is the number of blocking reads a second of one list that changes so many times a second: each ends with the
// first change or after its hold.
func ReadRate(changes float64) float64 {
	if changes < 1e-9 {
		return 1 / readHold
	}
	return changes / -math.Expm1(-changes*readHold)
}

// driver is one of the Drivers with the name of its term.
type driver struct {
	name string
	of   func(*Drivers) float64
}

// driversOf are the drivers that a figure may grow with. By consul, work and traffic grow with what is followed only as far as
// whole lists of it are read.
func driversOf(source result.Source, role Role, figure Figure) (all []driver) {
	if figure.IsTime() {
		return append([]driver{{"in all", func(*Drivers) float64 { return 1 }}, perProxy()}, news(source)...)
	}
	if figure == RSS || figure == Heap || figure == Goroutines {
		all = append(all, driver{"process", func(d *Drivers) float64 { return d.Processes }})
	}
	all = append(all, perProxy())
	if role == Lists && source == result.SourceRelay {
		return append(all, atTheOrigin()...) // what proxies get costs their relays
	}
	if figure.isState() || source != result.SourceConsul {
		all = append(all, driver{"service followed", func(d *Drivers) float64 { return d.Followed }},
			driver{"endpoint followed", func(d *Drivers) float64 { return d.EndpointsHeld }})
	}
	all = append(all, news(source)...)
	switch role {
	case Proxies:
		return append(all, driver{"call a second", func(d *Drivers) float64 { return d.Calls }})
	case Relays:
		return append(all, atEachRelay()...)
	}
	return append(all, atTheOrigin()...)
}

func perProxy() driver { return driver{"proxy", func(d *Drivers) float64 { return d.Proxies }} }

// The terms of whole lists that are read, which are also what a proxy's first reading costs.
const (
	TermListRead     = "list read a second"
	TermEndpointRead = "endpoint of a list read a second"
)

// news are the drivers of what brings news: blocking reads of whole lists by consul, changes otherwise.
func news(source result.Source) []driver {
	if source == result.SourceConsul {
		return []driver{
			{TermListRead, func(d *Drivers) float64 { return d.ListsRead }},
			{TermEndpointRead, func(d *Drivers) float64 { return d.EndpointsRead }},
		}
	}
	return []driver{
		{"change delivered a second", func(d *Drivers) float64 { return d.Delivered }},
		{"endpoint of a changed list a second", func(d *Drivers) float64 { return d.EndpointsChanged }},
	}
}

// atEachRelay are the drivers of what every relay does for itself: each follows all that those behind it follow.
func atEachRelay() []driver {
	return []driver{
		{"relay", func(d *Drivers) float64 { return d.Relays }},
		{"change to each relay a second", func(d *Drivers) float64 { return d.Changes * d.Relays }},
		{"endpoint of a list changed at each relay a second", func(d *Drivers) float64 { return d.EndpointsPut * d.Relays }},
		{"service at each relay", func(d *Drivers) float64 { return d.Services * d.Relays }},
		{"endpoint at each relay", func(d *Drivers) float64 { return d.Endpoints * d.Relays }},
	}
}

// atTheOrigin are the drivers of what a list service or a source does whoever follows it, and for its relays.
func atTheOrigin() []driver {
	return []driver{
		{"change a second", func(d *Drivers) float64 { return d.Changes }},
		{"endpoint of a list changed a second", func(d *Drivers) float64 { return d.EndpointsPut }},
		{"service in all", func(d *Drivers) float64 { return d.Services }},
		{"endpoint in all", func(d *Drivers) float64 { return d.Endpoints }},
		{"relay", func(d *Drivers) float64 { return d.Relays }},
		{"change to each relay a second", func(d *Drivers) float64 { return d.Changes * d.Relays }},
	}
}

// Term is the cost of one unit of a driver.
type Term struct {
	Name  string
	Value float64 // of the figure, a unit
	Error float64 // standard
	Share float64 // of the figure, at the measured size where the term weighs most
	of    func(*Drivers) float64
}

// Model is how a figure of a role grows with everything that was varied.
type Model struct {
	Source  result.Source
	Hollow  bool
	Role    Role
	Figure  Figure
	Terms   []Term // none: the figure was nothing at every size
	R2      float64
	Typical float64  // median of the relative errors at the measured sizes
	Worst   float64  // largest of them
	Rounds  int      // that it is fitted through
	Aliased []string // terms that were left out and which the measured sizes cannot tell from those that stay
}

// Predict is the figure at a size, over all processes of the role.
func (m *Model) Predict(d Drivers) (sum float64) {
	for _, t := range m.Terms {
		sum += t.Value * t.of(&d)
	}
	return sum
}

// Term is the term of a name; the zero Term where the model has none.
func (m *Model) Term(name string) Term {
	for _, t := range m.Terms {
		if t.Name == name {
			return t
		}
	}
	return Term{}
}

// Models are those of one source, hollow or real.
type Models struct {
	Source result.Source
	Hollow bool
	Of     []Model
}

// Get is the model of a figure; nil where it was not measured.
func (m *Models) Get(role Role, figure Figure) *Model {
	if m == nil {
		return nil
	}
	for i := range m.Of {
		if m.Of[i].Role == role && m.Of[i].Figure == figure {
			return &m.Of[i]
		}
	}
	return nil
}

// Join fits one model a figure over the results of one source, hollow or real.
func Join(results []*result.Result, source result.Source, hollow bool) *Models {
	out := &Models{Source: source, Hollow: hollow}
	for _, role := range Roles() {
		for _, figure := range Figures() {
			var all []observation
			for _, r := range results {
				if r.Source == source && r.Hollow == hollow {
					all = append(all, observe(r, role, figure)...)
				}
			}
			if len(all) == 0 {
				continue
			}
			m := Model{Source: source, Hollow: hollow, Role: role, Figure: figure, Rounds: len(all)}
			m.fit(all, driversOf(source, role, figure))
			out.Of = append(out.Of, m)
		}
	}
	return out
}

// Bounds below which a term is left out.
const (
	leastErrors = 2.0  // standard errors that a term must be from zero
	leastShare  = 0.02 // of the figure, that it must make up somewhere
)

// fit finds the terms. Costs are not below zero; the term that is least certain is left out until all that stay are.
func (m *Model) fit(all []observation, drivers []driver) {
	tried := drivers
	if allZero(all) {
		m.R2 = 1
		return
	}
	for len(drivers) > 0 {
		terms := solveFor(all, drivers)
		weakest := weakestOf(terms)
		if weakest < 0 || len(drivers) == 1 {
			m.Terms = slices.DeleteFunc(terms, func(t Term) bool { return t.Value == 0 })
			break
		}
		name := terms[weakest].Name
		drivers = slices.DeleteFunc(slices.Clone(drivers), func(d driver) bool { return d.name == name })
	}
	m.Aliased = aliased(all, tried, m.Terms)
	slices.SortStableFunc(m.Terms, byMagnitude)
	m.judge(all)
}

func allZero(all []observation) bool {
	return !slices.ContainsFunc(all, func(o observation) bool { return o.value != 0 })
}

// weakestOf is the term to leave out next; -1: all are to stay.
func weakestOf(terms []Term) int {
	weakest, least := -1, math.Inf(1)
	for i, t := range terms {
		certain := t.Value / max(t.Error, 1e-300)
		if t.Value == 0 || t.Share < leastShare {
			return i
		}
		if certain < leastErrors && certain < least {
			weakest, least = i, certain
		}
	}
	return weakest
}

func solveFor(all []observation, drivers []driver) []Term {
	weights := weightsOf(all)
	scales := make([]float64, len(drivers))
	p := problem{}
	for i := range all {
		root := math.Sqrt(weights[i])
		row := make([]float64, len(drivers))
		for j, d := range drivers {
			row[j] = root * d.of(&all[i].at)
			scales[j] = max(scales[j], row[j])
		}
		p.rows, p.values = append(p.rows, row), append(p.values, root*all[i].value)
	}
	for j := range scales {
		scales[j] = max(scales[j], 1e-300)
		for i := range p.rows {
			p.rows[i][j] /= scales[j]
		}
	}
	s := p.solve(len(drivers))
	terms := make([]Term, len(drivers))
	for j, d := range drivers {
		terms[j] = Term{Name: d.name, Value: s.coefficients[j] / scales[j], Error: s.errors[j] / scales[j], of: d.of}
		for i := range all {
			if all[i].value > 0 {
				terms[j].Share = max(terms[j].Share, terms[j].Value*d.of(&all[i].at)/all[i].value)
			}
		}
	}
	return terms
}

// aliased are the drivers among those tried that are sums of the terms' drivers at all measured sizes.
func aliased(all []observation, tried []driver, terms []Term) (names []string) {
	for _, d := range tried {
		if slices.ContainsFunc(terms, func(t Term) bool { return t.Name == d.name }) {
			continue
		}
		p, active := problem{}, make([]bool, len(terms))
		for i := range all {
			weight := 0.0
			for j, t := range terms {
				active[j] = true
				weight += t.Value * t.of(&all[i].at)
			}
			row := make([]float64, len(terms))
			for j, t := range terms {
				row[j] = t.Value * t.of(&all[i].at) / max(weight, 1e-300)
			}
			p.rows, p.values = append(p.rows, row), append(p.values, d.of(&all[i].at)/max(weight, 1e-300))
		}
		if x, _, ok := p.optimum(active); ok && dependent(&p, x) {
			names = append(names, d.name)
		}
	}
	return names
}

// dependent tells whether a solution leaves no more than rounding errors.
func dependent(p *problem, x []float64) bool {
	left, total := 0.0, 0.0
	for i, r := range p.residuals(x) {
		left, total = left+r*r, total+p.values[i]*p.values[i]
	}
	return total > 0 && left < 1e-9*total
}

// judge works out how well the model fits.
func (m *Model) judge(all []observation) {
	weights := weightsOf(all)
	var sw, mean float64
	for i, o := range all {
		sw, mean = sw+weights[i], mean+weights[i]*o.value
	}
	mean /= sw
	var left, total float64
	var apart []float64
	for i, o := range all {
		r := o.value - m.Predict(o.at)
		left, total = left+weights[i]*r*r, total+weights[i]*(o.value-mean)*(o.value-mean)
		if o.value != 0 {
			apart = append(apart, math.Abs(r/o.value))
		}
	}
	m.R2 = 1
	if total > 0 {
		m.R2 = max(0, 1-left/total)
	}
	if len(apart) > 0 {
		slices.Sort(apart)
		m.Typical, m.Worst = apart[len(apart)/2], apart[len(apart)-1]
	}
}
