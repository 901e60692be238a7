package fit

import (
	"math"

	"fernlanding/internal/scale/result"
)

// Drivers are the quantities that costs grow with. Those of a measured point follow from its size;
// those of a target are computed from its fleet, in which services differ in size and in the number
// of their followers.
type Drivers struct {
	Processes        float64 // of the role
	Relays           float64 // between source and proxies; where the role is the source: those that follow it
	Proxies          float64
	Followed         float64 // services, summed over the proxies that follow them
	EndpointsHeld    float64 // endpoints of the followed services, summed over the proxies
	Changes          float64 // per second, at the origin
	EndpointsPut     float64 // per second, at the origin: endpoints of the lists that change
	Delivered        float64 // per second: changes, each counted once for every proxy that follows its service
	EndpointsChanged float64 // per second: endpoints of the lists that the delivered changes belong to
	ListsRead        float64 // per second: complete lists that long polls return, with and without a change
	EndpointsRead    float64 // per second: endpoints of the lists read
	Calls            float64 // per second, over all proxies
	Services         float64 // in all
	Endpoints        float64 // of all services
}

// DriversOf returns the drivers of a measured size with a role's number of processes and the number
// of relays.
func DriversOf(size result.Size, processes, relays int) Drivers {
	proxies, services, backends := float64(size.Proxies), float64(size.Services), float64(size.Backends)
	servicesInAll := float64(size.TotalServices)
	d := Drivers{
		Processes:     float64(processes),
		Relays:        float64(relays),
		Proxies:       proxies,
		Followed:      proxies * services,
		EndpointsHeld: proxies * services * backends,
		Changes:       size.ChangesPerSecond,
		EndpointsPut:  size.ChangesPerSecond * backends,
		Calls:         proxies * size.CallsPerSecond,
		Services:      servicesInAll,
		Endpoints:     servicesInAll * backends,
	}
	if size.TotalServices > 0 {
		d.Delivered = size.ChangesPerSecond * proxies * services / servicesInAll
		d.ListsRead = d.Followed * LongPollRate(size.ChangesPerSecond/servicesInAll)
	}
	d.EndpointsChanged = d.Delivered * backends
	d.EndpointsRead = d.ListsRead * backends
	return d
}

// pollTimeout is how long a long poll of package consul waits for a change, in seconds.
const pollTimeout = 2.0

// LongPollRate returns the number of long polls per second for one list that has so many changes per
// second. A poll ends with the first change or with its timeout.
func LongPollRate(changes float64) float64 {
	if changes < 1e-9 {
		return 1 / pollTimeout
	}
	return changes / -math.Expm1(-changes*pollTimeout)
}

// driver is one of the Drivers with the name of the term that it makes in a model.
type driver struct {
	name  string
	value func(*Drivers) float64
}

// candidateDrivers returns the drivers that a figure may grow with. Over consul, work and traffic
// depend on the services followed only through the complete lists that are read.
func candidateDrivers(source result.Source, role Role, figure Metric) []driver {
	if figure.IsTime() {
		constant := driver{"in all", func(*Drivers) float64 { return 1 }}
		return append([]driver{constant, proxyDriver()}, updateDrivers(source)...)
	}
	var all []driver
	if figure == RSS || figure == Heap || figure == Goroutines {
		all = append(all, driver{"process", func(d *Drivers) float64 { return d.Processes }})
	}
	all = append(all, proxyDriver())
	if role == Lists && source == result.SourceRelay {
		return append(all, originDrivers()...) // the relays bear the cost of delivery to proxies
	}
	if figure.isState() || source != result.SourceConsul {
		all = append(all,
			driver{"service followed", func(d *Drivers) float64 { return d.Followed }},
			driver{"endpoint followed", func(d *Drivers) float64 { return d.EndpointsHeld }},
		)
	}
	all = append(all, updateDrivers(source)...)
	switch role {
	case Proxies:
		return append(all, driver{"call a second", func(d *Drivers) float64 { return d.Calls }})
	case Relays:
		return append(all, relayDrivers()...)
	default:
		return append(all, originDrivers()...)
	}
}

func proxyDriver() driver { return driver{"proxy", func(d *Drivers) float64 { return d.Proxies }} }

// The names of the terms of complete lists that are read. They are also the cost of a proxy's first
// read of its lists.
const (
	TermListRead     = "list read a second"
	TermEndpointRead = "endpoint of a list read a second"
)

// updateDrivers returns the drivers of the updates that proxies receive: long polls for complete
// lists over consul, changes otherwise.
func updateDrivers(source result.Source) []driver {
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

// relayDrivers returns the drivers of what every relay does for itself: each follows all that its
// followers follow.
func relayDrivers() []driver {
	return []driver{
		{"relay", func(d *Drivers) float64 { return d.Relays }},
		{"change to each relay a second", func(d *Drivers) float64 { return d.Changes * d.Relays }},
		{
			"endpoint of a list changed at each relay a second",
			func(d *Drivers) float64 { return d.EndpointsPut * d.Relays },
		},
		{"service at each relay", func(d *Drivers) float64 { return d.Services * d.Relays }},
		{"endpoint at each relay", func(d *Drivers) float64 { return d.Endpoints * d.Relays }},
	}
}

// originDrivers returns the drivers of what a list service or a source does regardless of its
// followers, and for its relays.
func originDrivers() []driver {
	return []driver{
		{"change a second", func(d *Drivers) float64 { return d.Changes }},
		{"endpoint of a list changed a second", func(d *Drivers) float64 { return d.EndpointsPut }},
		{"service in all", func(d *Drivers) float64 { return d.Services }},
		{"endpoint in all", func(d *Drivers) float64 { return d.Endpoints }},
		{"relay", func(d *Drivers) float64 { return d.Relays }},
		{"change to each relay a second", func(d *Drivers) float64 { return d.Changes * d.Relays }},
	}
}
