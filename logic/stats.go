package logic

import "fmt"

const reportInterval = 10 * second // minimum time between log lines of a replica

// LimitStats is the state of a concurrency limit.
type LimitStats struct {
	Limit    float64  // maximum number of attempts in flight
	InFlight int      // attempts in flight
	LastCut  LimitCut // the latest cut
}

// LimitCut describes when and why a concurrency limit was last cut.
type LimitCut struct {
	At         int64 // time of the cut in microseconds; 0 means never
	Evidence   Evidence
	Bad, Total int // outcomes in the round
	From, To   float64
}

// Stats is the state of a Balancer, for operators and experiments. It influences no decision.
type Stats struct {
	Tier            LimitStats
	Classes         []LimitStats
	QuotaMultiple   float64 // multiple of its quota that a tenant may use
	SpilloverWeight float64 // weight of endpoints in other zones
	ErrorRate       float64 // moving average of the fraction of failed attempts
	ReadyEndpoints  int
}

// Stats returns the current state.
func (b *Balancer) Stats() Stats {
	s := Stats{
		Tier:            b.tier.stats(),
		QuotaMultiple:   b.quotas.multiple,
		SpilloverWeight: b.spillover.weight,
		ErrorRate:       b.errorRate,
		ReadyEndpoints:  len(b.endpoints.ready),
	}
	for i := range b.classes {
		s.Classes = append(s.Classes, b.classes[i].limit.stats())
	}
	return s
}

// stats returns the state of the limit.
func (l *concurrencyLimit) stats() LimitStats {
	return LimitStats{Limit: l.limit, InFlight: l.inFlight, LastCut: l.lastCut}
}

// reportPressure logs a line when requests within the quotas are shed, at most once per
// reportInterval. The line includes the spillover weight, which shows to which zones attempts go.
func (b *Balancer) reportPressure(now int64, h Host) {
	if b.quotas.multiple >= 1 || now-b.lastReport < reportInterval && b.lastReport != 0 {
		return
	}
	b.lastReport = now
	h.Log(fmt.Sprintf("tier %d: attempts are slow or fail; tenants limited to %.2f of their quotas, "+
		"%d attempts in flight, error rate %.0f%%, spillover weight %.2f",
		b.settings.Tier, b.quotas.multiple, b.tier.inFlight, 100*b.errorRate, b.spillover.weight))
}
