package core

import (
	"fmt"
	"strings"
	"time"

	"fernlanding/logic"
)

const (
	traceInterval = 500 * time.Millisecond // between two log lines of a trace
	// MaxTraceDuration is how long a pool traces, at most, after one call of Trace.
	MaxTraceDuration = 10 * time.Minute
)

// tracer counts shed requests by cause while a trace is on. The pool's lock guards it.
type tracer struct {
	until      time.Time
	shedCauses [logic.NumShedCauses]int // since the last log line
}

// Trace has the pool log its module's stats twice a second for some time: the tier's concurrency
// and what cut its limit last, the same of each class, the quota multiple, and shed requests by
// cause. A trace that is on continues until the later end.
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
	default: // one is on, or about to be
	}
}

// logTrace logs the stats once, and reports whether the trace continues.
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

// formatLimit words a concurrency limit: the calls in flight, the limit, and what cut it last.
func formatLimit(s logic.LimitStats) string {
	text := fmt.Sprintf("%d of %.1f", s.InFlight, s.Limit)
	if s.LastCut.Evidence == logic.NoEvidence {
		return text
	}
	cut := s.LastCut
	return text + fmt.Sprintf(" cut by %v %d/%d from %.1f", cut.Evidence, cut.Bad, cut.Total, cut.From)
}
