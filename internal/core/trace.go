package core

import (
	"fmt"
	"strings"
	"time"

	"fernlanding/logic"
)

const (
	traceInterval = 500 * time.Millisecond // interval between log lines of a trace
	// MaxTraceDuration is the longest duration of a trace after one call of Trace.
	MaxTraceDuration = 10 * time.Minute
)

// tracer counts shed requests by cause while a trace runs. It is guarded by the pool's lock.
type tracer struct {
	until      time.Time
	shedCauses [logic.NumShedCauses]int // counts since the last log line
}

// Trace starts a trace, which logs the balancer's stats twice a second for the given duration, at
// most for MaxTraceDuration. Each log line has the concurrency and the cause of the last limit cut
// of the tier and of each class, the quota multiple, and the number of shed requests by cause. If a
// trace is already running, it continues until the later of the two ends.
func (p *Pool) Trace(span time.Duration) {
	until := time.Now().Add(min(span, MaxTraceDuration))
	p.runEvent(func() {
		if time.Now().After(p.tracer.until) {
			p.tracer.shedCauses = [logic.NumShedCauses]int{}
		}
		if until.After(p.tracer.until) {
			p.tracer.until = until
		}
	})
	select {
	case p.traceStarted <- struct{}{}:
	default: // a start is already pending
	}
}

// logTrace logs the stats once and reports whether the trace continues.
func (p *Pool) logTrace(now time.Time) bool {
	p.mu.Lock()
	if now.After(p.tracer.until) {
		p.mu.Unlock()
		return false
	}
	stats, causes := p.balancer.Stats(), p.tracer.shedCauses
	p.tracer.shedCauses = [logic.NumShedCauses]int{}
	p.mu.Unlock()
	var classes, shed []string
	for _, class := range stats.Classes {
		classes = append(classes, formatLimit(class))
	}
	for cause, count := range causes {
		if count > 0 {
			shed = append(shed, fmt.Sprintf("%v %d", logic.ShedCause(cause), count))
		}
	}
	p.log.Info(
		"trace", "tier", formatLimit(stats.Tier), "classes", strings.Join(classes, "; "),
		"quota_multiple", stats.QuotaMultiple, "spillover_weight", stats.SpilloverWeight,
		"error_rate", stats.ErrorRate, "ready_endpoints", stats.ReadyEndpoints, "shed", strings.Join(shed, ", "),
	)
	return true
}

// formatLimit formats a concurrency limit: the attempts in flight, the limit and its last cut.
func formatLimit(s logic.LimitStats) string {
	text := fmt.Sprintf("%d of %.1f", s.InFlight, s.Limit)
	if s.LastCut.Evidence == logic.NoEvidence {
		return text
	}
	cut := s.LastCut
	return text + fmt.Sprintf(" cut by %v %d/%d from %.1f", cut.Evidence, cut.Bad, cut.Total, cut.From)
}
