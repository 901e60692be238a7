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

// chainChecker checks the call chains of an acyclic graph. The maps cache derived values by node.
type chainChecker struct {
	*fleet
	graph            *graph
	duplicateSpans   map[node]duplicateSpan
	amplifications   map[node]amplification
	duplicatingCalls map[node]*edge
}

// checkChains checks the call chains of the fleet: the rules that concern several tiers.
func (f *fleet) checkChains() {
	g := f.newGraph()
	if f.findCycles(g) {
		return // the other checks recurse along the chains, which would not end in a cycle
	}
	c := chainChecker{
		fleet:            f,
		graph:            g,
		duplicateSpans:   map[node]duplicateSpan{},
		amplifications:   map[node]amplification{},
		duplicatingCalls: map[node]*edge{},
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

// checkTimeout reports a call whose timeout exceeds that of a call that causes it.
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
	expect := fmt.Sprintf("exceeds the timeout of %v that %s allows for %s, which causes the call",
		shortest.timeout, shortest.doc.App.Name, shortest.to)
	c.report(e.doc, rules.LimitGrows, e.timeoutPath(), e.timeout.String(), expect, see)
}

// duplicateSpan is the time after the first attempt of a request during which a duplicate of the
// request may arrive at a node.
type duplicateSpan struct {
	duration time.Duration
	by       *edge // call that may send the duplicate
}

// duplicateSpan returns the longest duplicate span of all calls to a node.
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

// outerDuplicateSpan returns the longest duplicate span of the nodes that cause a call.
func (c *chainChecker) outerDuplicateSpan(e *edge) duplicateSpan {
	var longest duplicateSpan
	for _, cause := range e.causes {
		if span := c.duplicateSpan(cause); span.duration > longest.duration {
			longest = span
		}
	}
	return longest
}

// checkDedupWindow reports a call that outer tiers may repeat after the dedup window of its key.
func (c *chainChecker) checkDedupWindow(e *edge) {
	if e.policy.Idempotency != logic.IdempotentByKey {
		return
	}
	outer := c.outerDuplicateSpan(e)
	if outer.duration <= e.policy.DedupWindow {
		return
	}
	expect := fmt.Sprintf("call to %s has a dedup window of %v, shorter than the %v for which %s may send "+
		"duplicates of %s, which causes the call",
		e.to, e.policy.DedupWindow, outer.duration, outer.by.doc.App.Name, outer.by.to)
	found := fmt.Sprintf("%s recalled for %v", e.to, e.policy.DedupWindow)
	c.report(e.doc, rules.WindowChain, e.path(), found, expect, outer.by.place())
}

// duplicatingCall returns a call because of which requests of a class may run more than once: a
// call that may send duplicates of the idempotent requests of the class, or of requests that cause
// them. A request that is idempotent by key runs once, however often it is sent. duplicatingCall
// returns nil if no request of the class runs more than once.
func (c *chainChecker) duplicatingCall(n node) *edge {
	if e, isKnown := c.duplicatingCalls[n]; isKnown {
		return e
	}
	c.duplicatingCalls[n] = nil
	for _, e := range c.graph.incoming[n] {
		if e.policy.Idempotency == logic.IdempotentByKey {
			continue
		}
		if e.policy.Idempotency == logic.Idempotent && e.mayDuplicate {
			c.duplicatingCalls[n] = e
			break
		}
		for _, cause := range e.causes {
			if outer := c.duplicatingCall(cause); outer != nil && c.duplicatingCalls[n] == nil {
				c.duplicatingCalls[n] = outer
			}
		}
	}
	return c.duplicatingCalls[n]
}

// checkRepeatedRuns reports a call that must not run twice but is repeated with each run of a
// request that causes it.
func (c *chainChecker) checkRepeatedRuns(e *edge) {
	for _, cause := range e.causes {
		by := c.duplicatingCall(cause)
		if by == nil {
			continue
		}
		expect := fmt.Sprintf("%s may send duplicates of %s, which causes the call", by.doc.App.Name, by.to)
		switch {
		case e.policy.Idempotency == logic.NonIdempotent:
			c.report(e.doc, rules.RepeatChain, e.path(), e.to.String(), expect, by.place())
			return
		case mayMissDuplicate(e):
			scope := config.DedupScopeName(e.policy.DedupScope)
			expect = fmt.Sprintf("call to %s has dedup scope %s, but %s", e.to, scope, expect)
			c.report(e.doc, rules.ScopeChain, e.path(), e.to.String()+" of scope "+scope, expect, by.place())
			return
		}
	}
}

// mayMissDuplicate reports whether a duplicate of a call that is idempotent by key may arrive at a
// backend that has no record of the key.
func mayMissDuplicate(e *edge) bool {
	return e.policy.Idempotency == logic.IdempotentByKey && e.policy.DedupScope != logic.DedupTier &&
		hasSeveralDedupGroups(e.service(), e.policy.DedupScope)
}

// amplification is the retry amplification of a node: the most attempts per outermost request that
// the retry budgets allow over time.
type amplification struct {
	factor float64
	calls  []*edge // calls whose factors are multiplied, outermost first
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

// callAmplification returns the largest amplification of the chains that end with a call.
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

// checkAmplification reports the call with which the retry amplification of a chain exceeds the
// limit of the fleet.
func (c *chainChecker) checkAmplification(e *edge) {
	a := c.callAmplification(e)
	limit := c.maxAmplification + roundingTolerance
	if a.factor <= limit || a.factor/e.retryFactor > limit {
		return // within the limit, or beyond it because of an outer call
	}
	var factors []string
	for _, call := range a.calls {
		factors = append(factors,
			fmt.Sprintf("%s to %s %s", call.doc.App.Name, call.to, formatNumber(call.retryFactor)))
	}
	c.report(e.doc, rules.RetryFactor, e.path(), formatNumber(a.factor)+" = "+strings.Join(factors, " x "),
		"exceeds the limit of "+formatNumber(c.maxAmplification), tomldoc.Place{})
}
