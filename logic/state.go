package logic

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
)

// The data that decisions read. This file keeps books; it decides nothing.

const (
	second       = int64(1_000_000) // all times are microseconds
	windowTicks  = 64               // buckets of the sliding window
	windowBucket = second / 8
	reportEvery  = 10 * second // between log lines of one copy
	tallySpan    = 30 * second // memory of a tally
	windowWhole  = windowTicks * windowBucket
)

// slidingWindow counts events over a sliding time of up to windowTicks buckets.
type slidingWindow struct {
	n    [windowTicks]float32
	last int64
}

func (w *slidingWindow) add(now int64, weight float64) {
	w.advance(now)
	w.n[w.last%windowTicks] += float32(weight)
}

func (w *slidingWindow) advance(now int64) {
	b := now / windowBucket
	for i := max(w.last+1, b-windowTicks+1); i <= b; i++ {
		w.n[i%windowTicks] = 0
	}
	w.last = max(w.last, b)
}

func (w *slidingWindow) sum(now, span int64) float64 {
	w.advance(now)
	total := 0.0
	for i := int64(0); i < span/windowBucket; i++ {
		if w.last-i >= 0 {
			total += float64(w.n[(w.last-i)%windowTicks])
		}
	}
	return total
}

// decayingCounter counts events and forgets them over about tallySpan.
type decayingCounter struct {
	n    float64
	last int64
}

func (t *decayingCounter) at(now int64) float64 {
	t.n *= math.Exp(-float64(now-t.last) / float64(tallySpan))
	t.last = now
	return t.n
}

func (t *decayingCounter) add(now int64) { t.n = t.at(now) + 1 }

// timeline holds the times of events, oldest first.
type timeline []int64

// add takes an event and forgets those that are older than span.
func (l *timeline) add(now, span int64) {
	*l = append(*l, now)
	l.since(now - span)
}

// since forgets the events before from and counts the rest.
func (l *timeline) since(from int64) float64 {
	n := 0
	for n < len(*l) && (*l)[n] < from {
		n++
	}
	*l = (*l)[n:]
	return float64(len(*l))
}

// node holds the statistics that rules read: calls in flight and calls passed.
type node struct {
	threads int
	peak    int
	pass    slidingWindow
}

// classState is a class's rule and what is known of its times.
type classState struct {
	rule    concurrencyLimit
	yield   round      // evidence of classes that are worth clearly more
	mean    float64    // of successes
	base    float64    // the mean when little waits
	based   int64      // when base last moved
	seen    float64    // successes
	errs    float64    // running part of failed calls over all servers
	waiting []*attempt // at the front: in order of sending, those not yet slow
}

type server struct {
	Endpoint
	slowness float64 // running time of its calls against the mean of all
	whole    outlierState
	classes  []outlierState // for the calls of each class
	inflight int
	hash     uint64
	doubtful bool // Recalled, and neither listed nor heard to serve since

	took                      int64 // when it was sent the last call that it has served
	refusing                  bool  // it has turned away a call, and has taken none that was sent since
	refusedSince, refusedLast int64 // when the first and the last of those that it has turned away since then ended
}

// outlierState is what is left of a server's weight, and its running part of failed calls.
type outlierState struct {
	left, errs float64
	judged     int // calls
}

// forget drops what was learned of a server.
func (s *server) forget(classes int) {
	s.slowness, s.whole, s.classes, s.refusing = 1, outlierState{left: 1}, make([]outlierState, classes), false
	s.took = 0
	for i := range s.classes {
		s.classes[i].left = 1
	}
}

// refused takes the end of a call, and whether the server turned it away. One that was sent before a refusal does not show that the server
// takes calls since.
func (s *server) refused(now, sent int64, turnedAway bool) {
	switch {
	case turnedAway && !s.refusing:
		s.refusing, s.refusedSince, s.refusedLast = true, now, now
	case turnedAway:
		s.refusedLast = now
	case sent >= s.refusedLast:
		s.refusing = false
	}
}

// partOf is one observation of a running part: 1 if it is so, else 0.
func partOf(so bool) float64 {
	if so {
		return 1
	}
	return 0
}

func (s *server) healthFor(class int) float64 { return s.whole.left * s.classes[class].left }

type attempt struct {
	srv    *server
	sent   int64
	zone   int // as listed at the time of sending
	cell   int
	slow   bool // counted as slow before its end
	light  bool // when it was sent there were fewer calls out than servers, if all copies have as many
	mayRun bool // outstanding, or ended without proof that it never ran
	out    bool
}

// turn is the line of one key's requests in the order of their arrival.
type turn struct {
	key  string
	line []*request // the first is the one whose turn it is
	rest int64      // until then the key rests
}

type request struct {
	Request
	came     int64
	turn     *turn // nil if it need not wait its turn
	attempts []*attempt
	over     bool
	out      int // attempts without outcome
}

// join puts a request last in its key's line.
func (b *Balancer) join(q *request) {
	q.turn = b.turns[q.Key]
	if q.turn == nil {
		q.turn = &turn{key: q.Key}
		b.turns[q.Key] = q.turn
	}
	q.turn.line = append(q.turn.line, q)
}

// tidy forgets a key that nobody waits for and that rests no more.
func (b *Balancer) tidy(now int64, t *turn) {
	if len(t.line) == 0 && now >= t.rest {
		delete(b.turns, t.key)
	}
}

// tried tells whether an attempt of the request went to the server.
func (q *request) tried(s *server) bool {
	for _, a := range q.attempts {
		if a.srv == s {
			return true
		}
	}
	return false
}

// hash orders servers alike at every copy, by nothing that their names may mean.
func hash(id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id)) // never fails
	return h.Sum64()
}

// round gathers finishes of calls sent since the last change, and judges them once they are enough, so
// that sparse copies learn by evidence and one trouble is answered by one cut.
type round struct {
	since   int64
	n, bad  int
	by      Evidence
	clean   float64 // so many finishes without a bad one make a round good; 0: they do not
	of      [2]int  // n and bad of the last one
	allowed float64
	span    int64 // after this long a few finishes make a round
}

// concurrencyLimit limits calls in flight.
type concurrencyLimit struct {
	node
	count float64
	least float64
	cut   bool  // by a bad round, and not yet back at what is used
	ev    round // of late finishes
	fails round // of failures: the two are not added up
	last  LimitCut
	goal  float64 // what a cut count is led back to at the double
}

// tenantRateLimit limits the calls passed per second for one tenant.
type tenantRateLimit struct {
	node                 // a call that passes weighs one over the multiple of the shares as it then is
	came decayingCounter // its requests
}

// Balancer decides for one proxy.
type Balancer struct {
	s         Settings
	rnd       *rand.Rand
	byID      map[string]*server
	ring      []*server // those that new calls may go to, by ringOrder
	ready     []*server // the same, this copy's subset first
	reqs      map[string]*request
	turns     map[string]*turn
	tier      concurrencyLimit
	tenants   []tenantRateLimit
	classes   []classState
	fair      float64 // rate of all tenants inside their shares at one copy
	share     float64 // multiple of its share that a tenant may pass
	shareMost float64
	shareBad  float64 // what a bad round leaves of share at most
	shareEv   round
	free      float64 // mean factor of a warm server's weight for the calls that it holds, at the present draw
	spill     float64 // weight of servers in other zones
	spillEv   round
	errs      float64         // running part of failed calls over all servers
	taken     timeline        // requests
	came      decayingCounter // requests, over a longer time
	further   timeline        // attempts beyond each request's first
	born      int64           // when the first request came
	backoff   int64           // before the next try at a subscription
	asked     bool            // a subscription was asked for
	listed    int64           // when a list or its changes came last
	overdue   int64           // since when a list is: the first call or subscription that has failed since the last one; 0: none has
	weights   []float64
	reported  int64     // when the last log line was written
	untried   int       // calls since the last one that went to a failing server
	trial     bool      // the server that was drawn last is a failing one, tried out while there are others
	cause     ShedCause // of the refusal that is being made
}

// enter counts a call in.
func (n *node) enter() {
	n.threads++
	n.peak = max(n.peak, n.threads)
}

// origin is the node of the request's tenant; without one the tenant rule is skipped.
func (b *Balancer) origin(q *request) *tenantRateLimit {
	if q.Tenant < 0 || q.Tenant >= len(b.tenants) {
		return nil
	}
	return &b.tenants[q.Tenant]
}

// gainAfter is the gain of a running mean: that of a plain mean over what was seen, until that falls to least.
func gainAfter(seen, least float64) float64 { return max(least, 1/(firstWorth+seen)) }

// finish marks a request as over and forgets it once all its attempts have ended; only then is it the
// turn of the next one with its key.
func (b *Balancer) finish(now int64, h Host, q *request) {
	q.over = true
	if q.out > 0 {
		return
	}
	delete(b.reqs, q.ID)
	if t := q.turn; t != nil {
		t.line = slices.DeleteFunc(t.line, func(x *request) bool { return x == q })
		b.next(now, h, t)
	}
}

// report tells on-call staff when traffic inside the shares is held back, and which way calls lean.
func (b *Balancer) report(now int64, h Host) {
	if b.share >= 1 || now-b.reported < reportEvery && b.reported != 0 {
		return
	}
	b.reported = now
	h.Log(fmt.Sprintf("tier %d: calls are slow or fail; tenants held to %.2f of their shares, %d calls out, "+
		"%.0f%% of calls fail, other zones weigh %.2f", b.s.Tier, b.share, b.tier.threads, 100*b.errs, b.spill))
}
