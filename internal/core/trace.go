package core

import (
	"fernlanding/logic"
	"fmt"
	"strings"
	"time"
)

const (
	traceEvery = 500 * time.Millisecond
	// MaxTraceDuration is how long a pool traces for one request of an operator's, at most.
	MaxTraceDuration = 10 * time.Minute
)

// tracer counts refusals by cause while a trace is on.
type tracer struct {
	until  time.Time
	causes [logic.ShedCauses]int
}

// Trace has the pool log what its module holds to be so, twice a second, for some time: the tier's count and what cut it
// last, each class's, the multiple of the shares, and refusals by cause. A trace that is on goes on until the later end.
func (p *Pool) Trace(span time.Duration) {
	until := time.Now().Add(min(span, MaxTraceDuration))
	p.play(func() {
		if time.Now().After(p.tracer.until) {
			p.tracer.causes = [logic.ShedCauses]int{}
		}
		if until.After(p.tracer.until) {
			p.tracer.until = until
		}
	})
	select {
	case p.traced <- struct{}{}:
	default: // one is on, or about to be
	}
}

// trace logs the figures once; it is false when the trace is over.
func (p *Pool) trace(now time.Time) bool {
	p.mu.Lock()
	if now.After(p.tracer.until) {
		p.mu.Unlock()
		return false
	}
	f, causes := p.bal.Stats(), p.tracer.causes
	p.tracer.causes = [logic.ShedCauses]int{}
	p.mu.Unlock()
	var classes, refused []string
	for _, c := range f.Classes {
		classes = append(classes, word(c))
	}
	for i, n := range causes {
		if n > 0 {
			refused = append(refused, fmt.Sprintf("%v %d", logic.ShedCause(i), n))
		}
	}
	p.log.Info("trace", "tier", word(f.Tier), "classes", strings.Join(classes, "; "), "share", f.QuotaMultiple, "spill", f.SpilloverWeight,
		"failed", f.ErrorRate, "ready", f.ReadyEndpoints, "refused", strings.Join(refused, ", "))
	return true
}

// word is a count, the calls out, and what cut it last.
func word(r logic.LimitStats) string {
	if r.LastCut.Evidence == logic.NoEvidence {
		return fmt.Sprintf("%d of %.1f", r.InFlight, r.Limit)
	}
	return fmt.Sprintf("%d of %.1f cut by %v %d/%d from %.1f", r.InFlight, r.Limit, r.LastCut.Evidence, r.LastCut.Bad, r.LastCut.Total, r.LastCut.From)
}
