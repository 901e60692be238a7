package predict

import (
	"math"
)

// fleetModel is a fleet with the sizes of its services. Service i has sizes[i] backends and is
// followed by the fraction followed[i] of all proxies. Both follow a power law of the rank i+1,
// whose exponent is determined by the sum over all services.
type fleetModel struct {
	fleet    Fleet
	sizes    []float64
	followed []float64
}

func newFleetModel(f Fleet, t *Target) *fleetModel {
	largestPart := min(t.Assumed(LargestFollowedFraction), f.ServicesFollowed)
	return &fleetModel{
		fleet:    f,
		sizes:    powerLaw(f.Services, float64(f.LargestService), t.Assumed(MinServiceBackends), float64(f.Proxies)),
		followed: powerLaw(f.Services, largestPart, 0, f.ServicesFollowed),
	}
}

// bisections is the number of steps that find an exponent to one part in 10^12.
const bisections = 46

// powerLaw returns n values largest*rank^-e, each at least the value least. The exponent e is chosen
// so that their sum is closest to sum.
func powerLaw(n int, largest, least, sum float64) []float64 {
	low, high := 0.0, 64.0
	for range bisections {
		middle := (low + high) / 2
		if total(ranked(n, largest, least, middle)) > sum {
			low = middle
		} else {
			high = middle
		}
	}
	out := ranked(n, largest, least, high)
	if got := total(out); got < sum*(1-1e-6) { // the sum is out of reach even with e = 0
		for i := range out {
			out[i] *= sum / got
		}
	}
	return out
}

func ranked(n int, largest, least, exponent float64) []float64 {
	out := make([]float64, n)
	for i := range out {
		out[i] = max(least, largest*math.Pow(float64(i+1), -exponent))
	}
	return out
}

func total(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum
}

// endpointsFollowed returns the number of endpoints of the services that a typical proxy follows.
func (m *fleetModel) endpointsFollowed() float64 {
	sum := 0.0
	for i := range m.sizes {
		sum += m.followed[i] * m.sizes[i]
	}
	return sum
}

// largestEndpoints returns the number of endpoints of the n largest services.
func (m *fleetModel) largestEndpoints(n int) float64 { return total(m.sizes[:min(n, len(m.sizes))]) }

// callers returns the number of proxies that follow service i.
func (m *fleetModel) callers(i int) float64 { return float64(m.fleet.Proxies) * m.followed[i] }

// callRate returns the calls per second of one caller to service i. All backends of the fleet are
// assumed to receive the same number of calls.
func (m *fleetModel) callRate(i int) float64 {
	return m.fleet.CallsPerSecond / float64(m.fleet.Proxies) * m.sizes[i] / max(m.callers(i), 1)
}
