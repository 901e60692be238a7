package fit

import (
	"math"

	"fernlanding/internal/scale/result"
)

// Drivers are the quantities that determine costs (the regressors of the models). The drivers of a
// measured point are computed from its size. The drivers of a target are computed from its fleet, in
// which services differ in size and in the number of their followers.
type Drivers struct {
	Processes        float64 // of the role
	Relays           float64 // between source and proxies; for the source: relays that follow the source
	Proxies          float64
	Followed         float64 // followed services, summed over the proxies
	EndpointsHeld    float64 // endpoints of the followed services, summed over the proxies
	Changes          float64 // changes per second at the origin
	EndpointsPut     float64 // endpoints per second of the lists that change at the origin
	Delivered        float64 // changes per second, counted once for every proxy that follows the service
	EndpointsChanged float64 // endpoints per second of the lists to which the delivered changes belong
	ListsRead        float64 // snapshots per second that long polls return, with and without a change
	EndpointsRead    float64 // endpoints per second of these snapshots
	Calls            float64 // calls per second over all proxies
	Services         float64 // total number of services
	Endpoints        float64 // endpoints of all services
}

// DriversOf returns the drivers of a measured size. The parameter processes is the number of
// processes of the role, and relays the number of relays.
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

// pollTimeout is the timeout of a long poll of package consul, in seconds.
const pollTimeout = 2.0

// LongPollRate returns the number of long polls per second for one list with the given number of
// changes per second. A poll ends with the first change or with its timeout.
func LongPollRate(changes float64) float64 {
	if changes < 1e-9 {
		return 1 / pollTimeout
	}
	return changes / -math.Expm1(-changes*pollTimeout)
}

// driver is one of the Drivers with the name of its term in a model.
type driver struct {
	name  string
	value func(*Drivers) float64
}

// candidateDrivers returns the drivers on which a metric may depend. Over consul, work and traffic
// depend on the followed services only through the snapshots that are read.
func candidateDrivers(source result.Source, role Role, metric Metric) []driver {
	if metric.IsTime() {
		constant := driver{"in all", func(*Drivers) float64 { return 1 }}
		return append([]driver{constant, proxyDriver()}, updateDrivers(source)...)
	}
	var all []driver
	if metric == RSS || metric == Heap || metric == Goroutines {
		all = append(all, driver{"process", func(d *Drivers) float64 { return d.Processes }})
	}
	all = append(all, proxyDriver())
	if role == Lists && source == result.SourceRelay {
		return append(all, originDrivers()...) // the relays bear the cost of delivery to proxies
	}
	if metric.isGauge() || source != result.SourceConsul {
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

// Names of the terms for snapshots that are read. The values of these terms also give the cost of a
// proxy's first read of its lists.
const (
	TermListRead     = "list read a second"
	TermEndpointRead = "endpoint of a list read a second"
)

// updateDrivers returns the drivers of the updates that proxies receive: long polls for snapshots
// over consul, and changes over other sources.
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

// relayDrivers returns the drivers of the work that every relay does regardless of the number of its
// followers: each relay follows all services that its followers follow.
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

// originDrivers returns the drivers of the work of a list service or a source that does not depend
// on the proxies that follow it, including the work for relays.
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
