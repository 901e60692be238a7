package predict

import (
	"fernlanding/internal/scale/fit"
	"fernlanding/internal/scale/result"
)

// listReadCost is the cost of reading a snapshot from a list service. It is derived from the cost of
// long polls.
type listReadCost struct {
	bytesPerRead     float64
	bytesPerEndpoint float64
	cpuPerRead       float64 // CPU seconds of the list service
	cpuPerEndpoint   float64 // CPU seconds of the list service
	isMeasured       bool
}

// listReadCost returns the cost of a list read as measured over consul. If consul was not measured,
// it returns the assumed bytes per endpoint.
func (e *Evidence) listReadCost(t *Target) listReadCost {
	models := e.models[result.SourceConsul]
	received := models.Model(fit.Proxies, fit.BytesIn)
	cpu := models.Model(fit.Lists, fit.CPU)
	if received == nil || cpu == nil {
		return listReadCost{bytesPerEndpoint: t.Assumed(EndpointBytes)}
	}
	return listReadCost{
		bytesPerRead:     received.Term(fit.TermListRead).Value,
		bytesPerEndpoint: received.Term(fit.TermEndpointRead).Value,
		cpuPerRead:       cpu.Term(fit.TermListRead).Value,
		cpuPerEndpoint:   cpu.Term(fit.TermEndpointRead).Value,
		isMeasured:       true,
	}
}

func (r listReadCost) bytes(reads, endpoints float64) float64 {
	return r.bytesPerRead*reads + r.bytesPerEndpoint*endpoints
}

func (r listReadCost) cpuSeconds(reads, endpoints float64) float64 {
	return r.cpuPerRead*reads + r.cpuPerEndpoint*endpoints
}
