package check

import (
	"fmt"
	"strings"
	"time"

	"fernlanding/internal/config"
	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
	"fernlanding/logic"
)

// chainChecker checks the chains of a graph without cycles. The maps cache what is derived of a
// node.
type chainChecker struct {
	*fleet
	graph          *graph
	duplicateSpans map[node]duplicateSpan
	amplifications map[node]amplification
	retriers       map[node]*edge
}

// checkChains checks what several tiers do together.
func (f *fleet) checkChains() {
	g := f.newGraph()
	if f.findCycles(g) {
		return // the other checks walk the graph up to its end, and a cycle has none
	}
	c := chainChecker{
		fleet:          f,
		graph:          g,
		duplicateSpans: map[node]duplicateSpan{},
		amplifications: map[node]amplification{},
		retriers:       map[node]*edge{},
	}
	for _, n := range g.nodes {
		for _, e := range g.incoming[n] {
			c.checkTimeout(e)
			c.checkDedupWindow(e)
			c.checkRepeatedRuns(e)
			c.checkAmplification(e)
		}
	}
}

// checkTimeout reports a call with a longer timeout than one that causes it.
func (c *chainChecker) checkTimeout(e *edge) {
	var shortest *edge
	for _, cause := range e.causes {
		for _, outer := range c.graph.incoming[cause] {
			if outer.timeout < e.timeout && (shortest == nil || outer.timeout < shortest.timeout) {
				shortest = outer
			}
		}
	}
	if shortest == nil {
		return
	}
	see, _ := shortest.doc.Place(shortest.timeoutPath()...)
	expect := fmt.Sprintf("%s allows %v for %s, which causes the call",
		shortest.doc.App.Name, shortest.timeout, shortest.to)
	c.report(e.doc, rules.LimitGrows, e.timeoutPath(), e.timeout.String(), expect, see)
}

// duplicateSpan is how long after a request's first attempt a duplicate of it may come to a node,
// and the call that allows it.
type duplicateSpan struct {
	duration time.Duration
	by       *edge
}

// duplicateSpan returns the longest span of all calls to a node.
func (c *chainChecker) duplicateSpan(n node) duplicateSpan {
	if span, isKnown := c.duplicateSpans[n]; isKnown {
		return span
	}
	var longest duplicateSpan
	for _, e := range c.graph.incoming[n] {
		if e.mayDuplicate && e.timeout > longest.duration {
			longest = duplicateSpan{duration: e.timeout, by: e}
		}
		if outer := c.outerDuplicateSpan(e); outer.duration > longest.duration {
			longest = outer
		}
	}
	c.duplicateSpans[n] = longest
	return longest
}

// outerDuplicateSpan returns the longest span that the outer tiers allow a call.
func (c *chainChecker) outerDuplicateSpan(e *edge) duplicateSpan {
	var longest duplicateSpan
	for _, cause := range e.causes {
		if span := c.duplicateSpan(cause); span.duration > longest.duration {
			longest = span
		}
	}
	return longest
}

// checkDedupWindow reports a call that outer tiers may make again when its key is no longer cached.
func (c *chainChecker) checkDedupWindow(e *edge) {
	if e.policy.Idempotency != logic.IdempotentByKey {
		return
	}
	outer := c.outerDuplicateSpan(e)
	if outer.duration <= e.policy.DedupWindow {
		return
	}
	expect := fmt.Sprintf("%s may send %s, which causes it, again for %v",
		outer.by.doc.App.Name, outer.by.to, outer.duration)
	c.report(e.doc, rules.WindowChain, e.path(), e.to.String()+" recalled for "+e.policy.DedupWindow.String(),
		expect, outer.by.place())
}

// retrier returns a call by which requests of a class run more than once: an idempotent request is
// retried, or its caller runs again. A class that is idempotent by key runs once, whatever is sent.
// It returns nil if no request of the class runs again.
func (c *chainChecker) retrier(n node) *edge {
	if e, isKnown := c.retriers[n]; isKnown {
		return e
	}
	c.retriers[n] = nil
	for _, e := range c.graph.incoming[n] {
		if e.policy.Idempotency == logic.IdempotentByKey {
			continue
		}
		if e.policy.Idempotency == logic.Idempotent && e.mayDuplicate {
			c.retriers[n] = e
			break
		}
		for _, cause := range e.causes {
			if outer := c.retrier(cause); outer != nil && c.retriers[n] == nil {
				c.retriers[n] = outer
			}
		}
	}
	return c.retriers[n]
}

// checkRepeatedRuns reports a call that must not run twice and is made by each run of its cause.
func (c *chainChecker) checkRepeatedRuns(e *edge) {
	for _, cause := range e.causes {
		by := c.retrier(cause)
		if by == nil {
			continue
		}
		expect := fmt.Sprintf("%s may send %s, which causes it, again", by.doc.App.Name, by.to)
		switch {
		case e.policy.Idempotency == logic.NonIdempotent:
			c.report(e.doc, rules.RepeatChain, e.path(), e.to.String(), expect, by.place())
			return
		case mayMissDuplicate(e):
			found := e.to.String() + " of scope " + config.DedupScopeName(e.policy.DedupScope)
			c.report(e.doc, rules.ScopeChain, e.path(), found, expect, by.place())
			return
		}
	}
}

// mayMissDuplicate reports whether a duplicate of a call that is idempotent by key may come to a
// backend that has no record of the key.
func mayMissDuplicate(e *edge) bool {
	return e.policy.Idempotency == logic.IdempotentByKey && e.policy.DedupScope != logic.DedupTier &&
		hasSeveralDedupGroups(e.service(), e.policy.DedupScope)
}

// amplification is the most attempts at a node per outermost request that the retry budgets allow
// over time, and the calls that multiply them, outermost first.
type amplification struct {
	factor float64
	calls  []*edge
}

// amplification returns the largest amplification of all calls to a node.
func (c *chainChecker) amplification(n node) amplification {
	if a, isKnown := c.amplifications[n]; isKnown {
		return a
	}
	var largest amplification
	for _, e := range c.graph.incoming[n] {
		if a := c.callAmplification(e); a.factor > largest.factor {
			largest = a
		}
	}
	c.amplifications[n] = largest
	return largest
}

// callAmplification returns the amplification of a chain up to and including a call.
func (c *chainChecker) callAmplification(e *edge) amplification {
	outer := amplification{factor: 1}
	for _, cause := range e.causes {
		if a := c.amplification(cause); a.factor > outer.factor {
			outer = a
		}
	}
	calls := append(outer.calls[:len(outer.calls):len(outer.calls)], e)
	return amplification{factor: outer.factor * e.retryFactor, calls: calls}
}

// checkAmplification reports the call with which retries multiply beyond the fleet's bound.
func (c *chainChecker) checkAmplification(e *edge) {
	a := c.callAmplification(e)
	bound := c.retryFactor + rounding
	if a.factor <= bound || a.factor/e.retryFactor > bound {
		return // within the bound, or beyond it by an outer call already
	}
	var factors []string
	for _, call := range a.calls {
		factors = append(factors,
			fmt.Sprintf("%s to %s %s", call.doc.App.Name, call.to, formatNumber(call.retryFactor)))
	}
	c.report(e.doc, rules.RetryFactor, e.path(), formatNumber(a.factor)+" = "+strings.Join(factors, " x "),
		formatNumber(c.retryFactor)+" at most", tomldoc.Place{})
}
