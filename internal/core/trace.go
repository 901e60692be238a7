package core

import (
	"fmt"
	"strings"
	"time"

	"fernlanding/logic"
)

const (
	traceEvery = 500 * time.Millisecond
	// MostTrace is how long a pool traces for one request of an operator's, at most.
	MostTrace = 10 * time.Minute
)

// tracer counts refusals by cause while a trace is on.
type tracer struct {
	until  time.Time
	causes [logic.Causes]int
}

// Trace has the pool log what its module holds to be so, twice a second, for some time: the tier's count and what cut it
// last, each class's, the multiple of the shares, and refusals by cause. A trace that is on goes on until the later end.
func (p *Pool) Trace(span time.Duration) {
	until := time.Now().Add(min(span, MostTrace))
	p.play(func() {
		if time.Now().After(p.tracer.until) {
			p.tracer.causes = [logic.Causes]int{}
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
	f, causes := p.bal.Figures(), p.tracer.causes
	p.tracer.causes = [logic.Causes]int{}
	p.mu.Unlock()
	var classes, refused []string
	for _, c := range f.Classes {
		classes = append(classes, word(c))
	}
	for i, n := range causes {
		if n > 0 {
			refused = append(refused, fmt.Sprintf("%v %d", logic.Cause(i), n))
		}
	}
	p.log.Info("trace", "tier", word(f.Tier), "classes", strings.Join(classes, "; "), "share", f.Share, "spill", f.Spill,
		"failed", f.Errors, "ready", f.Ready, "refused", strings.Join(refused, ", "))
	return true
}

// word is a count, the calls out, and what cut it last.
func word(r logic.RuleFigures) string {
	if r.Cut.By == logic.NoEvidence {
		return fmt.Sprintf("%d of %.1f", r.Out, r.Count)
	}
	return fmt.Sprintf("%d of %.1f cut by %v %d/%d from %.1f", r.Out, r.Count, r.Cut.By, r.Cut.Bad, r.Cut.Of, r.Cut.From)
}
