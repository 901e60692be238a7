// All decisions of the balancer. The interface (settings, events, actions) is in api.go.
//
// Before each send the rules are checked in order, as Sentinel's FlowSlot does: the tier's (thread grade,
// cluster node), the tenant's (QPS grade, origin node), the class's (thread grade, default node). A rule
// over its count fails fast and unsent. Counts are learned: they start high, rise after rounds of timely
// finishes and are cut after bad ones. A call that passes goes to a server by a weighted random draw.

package logic

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
)

const (
	startCount = 1e6  // a count before its first round: a fresh copy refuses nothing while servers answer
	minCount   = 0.3  // a count never falls below this: some calls must go on to bring evidence
	deepCount  = 8.0  // the same in a late tier, where refusing wastes the work done so far
	riseStep   = 1.0  // added to a count after a good round
	risePart   = 0.2  // but no more than this part of a small count
	spareTimes = 1.5  // a good round leaves a count no higher than this times the calls it saw out: an
	spareCalls = 2.0  // unused count guards from no burst; and this many more, for chance at sparse copies
	lightPart  = 0.05 // but calls that take no more than this part of their aim, were their time to grow with
	// their number, are no burst: a round of microseconds is over before its peak says much
	cutDepth   = 0.6 // a bad round cuts a count or a share by this times its bad part
	roundSize  = 12  // finishes in a round of evidence: fewer are chance, more are late
	roundSpan  = 2   // aims: a round with fewer finishes has lasted long enough
	cleanLeast = 3.0 // finishes without a bad one that double a cut count, or twice the count if that is more
	yieldBack  = 0.8 // a cut for a worthier class is made good at the double up to this part of what was out
	badPart    = 0.4 // a larger part of late or failed finishes makes a round bad for the counts
	hopeless   = 0.7 // the same in a late tier
	slowMuch   = 0.3 // a larger part of slow finishes makes a round bad for the shares and for home

	lateBar    = 0.8 // of the aim: slower finishes count against the tier and the class
	slowBar    = 0.6 // of the aim: slower finishes press the shares, in time to mend what is late next
	jamBar     = 1.8 // of the time under little load: slower finishes count against tier and class too
	crowdBar   = 1.6 // of the time under little load: slower finishes press the shares too
	crowdLeast = 0.1 // of the aim: what is quicker than this is no crowd
	crowdLow   = 0.8 // but not below this multiple, since load is then not what makes them slow
	yieldRatio = 1.5 // a class yields to one that is worth more than this many times as much for its work

	shareStart = 2.0  // multiple of its share that a tenant may pass before any evidence, and at most
	sharePress = 1.0  // and after a bad round: what is over the shares goes first
	shareLow   = 0.2  // and at least
	shareDeep  = 20.0 // start in a late tier: quotas count first calls, and the front has shed already
	shareRise  = 0.1  // added after a good round: traffic over the shares is worth little, jams cost much
	shareBack  = 0.15 // the same below 1, where traffic is worth its full price
	chanceRoom = 2.0  // standard deviations of a Poisson count above the mean that are taken for chance
	windowHold = 24.0 // a QPS window stretches until its count times its length is this much

	slowGain    = 0.1  // how far one finish moves a server's slowness
	firstWorth  = 4.0  // finishes that a fresh copy's first guess at a mean is worth
	slowMost    = 5.0  // times the mean: a single finish says no more than this
	healthFloor = 0.05 // health left to a failing server, for trials
	failing     = 0.25 // a server with less health than this gets trials only, while there are others
	trialEvery  = 16   // calls from one trial to the next
	trialBound  = 4    // times as many before a request has one whose repeat may go to few others

	// A server that has taken no call for so long since it turned one away may be draining, where the list
	// that would say so is overdue. So long after the last that it turned away it may have a call again.
	refusesFor  = second
	refusesMost = 5 * second

	// Where lists are asked for, a change counts as told 6 s after the service had it, heard or not. From so
	// long after the last list on, while the next is overdue, servers that have taken a call lately come
	// first.
	listLasts = 5 * second
	tookLast  = 7 * second / 2
	// What a list would say that is overdue for longer than this is not waited for.
	overdueMost = 30 * second

	healthCut  = 0.3  // health kept after a failure that peers do not show
	healthRise = 0.25 // part of the lost health that a success restores
	blameRatio = 2.0  // a server is to blame when it fails this many times as often as all
	peersLeast = 2    // peers that measure a server, at least; otherwise all calls do
	peersMost  = 32   // and at most
	coldMargin = 0.6  // part of its least capacity that a cold server is given
	coldPrior  = 0.25 // seconds of being asked for its part that a copy's own rate begins with

	hintPart = 0.5 // of the aim: the longest hint

	// Of connections that can't become more, one in so many is kept free, and this many at least, if they are
	// not more than half. A client that finds none free finds nobody, and takes this copy for gone; a refused
	// one has its connection back at once. This serves a copy that is about to end, and any whose clients
	// are bounded. It hurts where few come: it then refuses what the last connections could have served.
	sparePart  = 8
	spareLeast = 3

	spillLow   = 0.02 // weight of servers in other zones while home copes
	spillStart = 0.3  // the same at a fresh copy of the front, which does not know how home copes
	spillRise  = 0.15 // added after a round in which home was slow
	spillFall  = 0.9  // factor after a good round

	subsetLeast = 4.0      // servers that a copy spreads its calls over, at least
	subsetRoot  = 3.0      // and times the root of its calls a second, so that it meets each one often enough
	golden      = 0.618034 // steps of this part of a ring spread any number of starts evenly

	meanGain   = 0.05        // of the running means of time and of errors
	baseSpan   = 60 * second // of the time under little load, upwards, where calls meet others
	baseFirst  = 20.0        // finishes that make up its first guess
	firstMean  = 0.25        // of the aim: a fresh copy's guess at the mean time
	hangMeans  = 12.0        // an attempt is given up after this many mean times
	hangLeast  = 0.2         // but not before this part of the aim: any hiccup is many times a millisecond
	leastMeans = 0.5         // a request with less time left than this many mean times cannot make it
	ownSpan    = 10 * second // without a stated budget, this one holds
	ownFree    = 5.0         // further attempts in it, whatever was taken
	ownShare   = 0.1         // and for each request taken
	watchFirst = second / 4
	watchPart  = 8 // backoff of a failed subscription doubles up to this part of AskEvery
	watchToken = "watch"
	heldToken  = "held " // and a request
	turnToken  = "turn " // and a key
)

// The ranks of servers, in the order in which they come into question.
const (
	rankLast = iota
	rankFailing
	rankFirst
)

// add takes one finish. It returns 0 until the round can be judged, then 1 if it was good, or else the factor
// to cut by, lower the more of it was bad: a false alarm costs little and a jam is answered at once.
func (r *round) add(now, sent int64, bad bool) (factor float64) {
	if r.since = cmp.Or(r.since, sent); sent < r.since {
		return 0
	}
	r.n++
	if bad {
		r.bad++
	}
	part := float64(r.bad) / float64(max(r.n, roundSize/2))
	short := now-r.since < r.span || float64(r.bad) > r.allowed*float64(r.n)
	clean := r.clean > 0 && r.bad == 0 && float64(r.n) >= r.clean
	if float64(r.bad) <= r.allowed*roundSize && r.n < roundSize && short && !clean {
		return 0
	}
	r.of = [2]int{r.n, r.bad}
	r.since, r.n, r.bad = now, 0, 0
	if part <= r.allowed {
		return 1
	}
	return 1 - cutDepth*part
}

func newRule(allowed, least float64, span int64) concurrencyLimit {
	return concurrencyLimit{
		count: startCount, least: least, ev: round{allowed: allowed, span: span, by: LateEvidence},
		fails: round{allowed: allowed, span: span, by: FailureEvidence},
	}
}

// canPass lets a fractional count work: its fraction is the chance u of one call more. A sparse copy with
// two calls in flight could otherwise shed nothing or half.
func (r *concurrencyLimit) canPass(u float64) bool { return float64(r.threads)+1 <= r.count+u }

// learn takes one finish; light is the time of usual calls, as a part of the aim.
func (r *concurrencyLimit) learn(ev *round, now, sent int64, bad bool, light float64) {
	f := r.judge(ev, now, sent, bad)
	if f == 0 {
		return
	} else if f == 1 {
		used, quick := max(r.least, spareTimes*float64(r.peak)+spareCalls), lightPart/light*float64(r.peak)
		if quick > used && !r.cut { // no bad round has made it what it is
			r.count = quick
		}
		r.count = min(r.count+min(riseStep, risePart*r.count), max(used, quick))
		r.cut = r.cut && r.count < used
	} else {
		r.shrink(f, ev)
	}
	r.peak = r.threads
}

// judge takes one finish to a round of evidence. A count that such evidence has cut is doubled by each good
// round until it is back, and while that lasts few finishes make one if none is bad: with a call or two out,
// a full round would take longer than most troubles do.
func (r *concurrencyLimit) judge(ev *round, now, sent int64, bad bool) (factor float64) {
	back := r.last.Evidence == ev.by && r.goal > r.count
	if ev.clean = 0; back {
		ev.clean = max(cleanLeast, min(2*r.count, roundSize))
	}
	if factor = ev.add(now, sent, bad); factor == 1 && back {
		r.count = min(r.goal, 2*r.count)
	}
	return factor
}

// shrink cuts a count after a bad round, which is one whose factor is neither 0 nor 1.
func (r *concurrencyLimit) shrink(f float64, ev *round) {
	if f > 0 && f < 1 {
		from := min(r.count, float64(r.peak))
		r.count, r.cut = max(r.least, from*f), true
		switch r.goal = max(r.goal, from); ev.by {
		case LateEvidence: // what was out was too much: back it goes by steps alone
			r.goal = 0
		case PriorityEvidence:
			r.goal = yieldBack * from
		}
		r.last = LimitCut{At: ev.since, Evidence: ev.by, Total: ev.of[0], Bad: ev.of[1], From: from, To: r.count}
	}
}

// canPass stretches the one-second window of a small count, so that fractional counts work. A fresh copy's
// window is no longer than its life, or it would let a long window's worth through at once. Room for chance
// guards sparse copies, where single calls fill a tenant's count.
//
// The window holds what passed at other multiples of the shares too, each call by what it was of its
// multiple's share: counted one for one, calls that passed at twice the share would bar all others for
// seconds once it is cut to a half.
func (r *tenantRateLimit) canPass(now, born int64, full, share, room, u float64) bool {
	span, count := second, share*full
	for span < windowWhole && count*float64(span/second) < windowHold && now-born >= span {
		span *= 2
	}
	cur, fair := share*r.pass.sum(now, span), count*float64(min(span, max(second, now-born)))/float64(second)
	return cur+1 <= fair+u || u < room && cur <= fair+chanceRoom*math.Sqrt(fair)
}

// room is how likely chance is allowed for: less as calls are late, and not if a tenant clearly sends more
// than its part of the quotas and, while nothing is slow, of what this copy gets, as traffic may move here.
func (b *Balancer) room(now int64, tenant int) float64 {
	part := b.fair * float64(min(now-b.born, tallySpan)) / float64(second)
	if b.share >= 1 {
		part = max(part, b.came.at(now))
	}
	part *= b.s.Tenants[tenant].CapacityFraction
	if b.tenants[tenant].came.at(now) > part+chanceRoom*math.Sqrt(part)+1 {
		return 0
	}
	return min(1, b.share/crowdLow)
}

// New returns a Balancer for the settings; all its random draws come from the seed.
func New(s Settings, seed uint64) (*Balancer, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		s: s, rnd: rand.New(rand.NewPCG(seed, seed)), byID: map[string]*server{},
		reqs: map[string]*request{}, turns: map[string]*turn{}, backoff: watchFirst,
		tenants: make([]tenantRateLimit, len(s.Tenants)), classes: make([]classState, len(s.Classes)),
	}
	if s.RetryBudgetWindow == 0 {
		b.s.RetryBudgetWindow, b.s.RetryBudgetMin, b.s.RetryBudgetRatio = ownSpan, ownFree, ownShare
	}
	allowed, least := badPart, minCount
	b.share, b.spill, b.shareBad = shareStart, spillStart, sharePress
	if s.Tier > 0 {
		allowed, least = hopeless, deepCount
		b.share, b.spill, b.shareBad = shareDeep, spillLow, shareDeep
	}
	b.shareMost = b.share
	for _, t := range s.Tenants { // a copy that carries more than its part learns a higher multiple
		b.fair += t.Quota / float64(s.Replicas)
	}
	for i, c := range s.Classes {
		first := firstMean * float64(c.LatencyObjective)
		span := roundSpan * c.LatencyObjective
		rule := newRule(allowed, least, span)
		b.shareEv.span = max(b.shareEv.span, span)
		b.classes[i] = classState{rule: rule, mean: first, base: first}
		b.classes[i].yield = round{allowed: slowMuch, span: span, by: PriorityEvidence}
	}
	b.tier = newRule(allowed, least, b.shareEv.span)
	b.shareEv.allowed = slowMuch
	b.spillEv = b.shareEv
	return b, nil
}

// UpdateEndpoints takes a list of servers or its changes.
func (b *Balancer) UpdateEndpoints(now int64, h Host, kind UpdateKind, entries []Endpoint) {
	if kind == UpdateFailed {
		b.overdue = cmp.Or(b.overdue, now)
		if b.asked { // many copies keep the list busy: back off, one ask at a time
			h.SetTimer(b.backoff+b.rnd.Int64N(b.backoff), watchToken)
			b.backoff = max(watchFirst, min(2*b.backoff, b.s.PollInterval/watchPart))
		}
		b.asked = false
		return
	}
	b.listed, b.overdue = now, 0
	for _, s := range b.byID {
		if s.doubtful = false; kind != Delta { // any list comes from a source that knows better
			s.State = Removed // unless listed below
		}
	}
	for _, e := range entries {
		b.enter(e).doubtful = kind == RestoredSnapshot
	}
	if kind == Delta {
		b.applyDelta(entries)
	} else {
		b.rebuildRing()
	}
	b.selectSubset()
	if b.s.WatchEndpoints && !b.asked {
		b.asked = true
		h.WatchEndpoints()
	}
	b.backoff = watchFirst
}

// enter takes one entry of a list. What was learned of a server is dropped when its process restarts.
func (b *Balancer) enter(e Endpoint) *server {
	s := b.byID[e.ID]
	if s == nil {
		s = &server{hash: hash(e.ID)}
		b.byID[e.ID] = s
	}
	if s.ID == "" || s.StartedAt != e.StartedAt {
		s.forget(len(b.classes))
	}
	s.Endpoint = e
	return s
}

// Unverified tells whether a server may be another service's by now: see Recalled.
func (b *Balancer) Unverified(id string) bool {
	s := b.byID[id]
	return s != nil && s.doubtful
}

// rebuildRing forgets gone servers and gathers the ready ones. Rule 3 holds with no grace used: a server is
// out of the draw from the moment that the list says that it drains or is gone.
func (b *Balancer) rebuildRing() {
	b.ring = b.ring[:0]
	for id, s := range b.byID {
		if s.State == Ready {
			b.ring = append(b.ring, s)
		} else if s.State == Removed {
			delete(b.byID, id)
		}
	}
	slices.SortFunc(b.ring, ringOrder)
}

// applyDelta is relist where a few entries have changed.
func (b *Balancer) applyDelta(entries []Endpoint) {
	for _, e := range entries {
		s := b.byID[e.ID]
		if s == nil {
			continue // listed twice, and gone
		}
		i, there := slices.BinarySearchFunc(b.ring, s, ringOrder)
		if s.State == Ready && !there {
			b.ring = slices.Insert(b.ring, i, s)
		} else if s.State != Ready && there {
			b.ring = slices.Delete(b.ring, i, i+1)
		}
		if s.State == Removed {
			delete(b.byID, s.ID)
		}
	}
}

func ringOrder(x, y *server) int {
	return cmp.Or(cmp.Compare(x.hash, y.hash), cmp.Compare(x.ID, y.ID))
}

// selectSubset orders the ready servers so that this copy's subset comes first: they stand on a ring in the order
// of their hashes, and copies start at places spread over it. With many copies each server would otherwise
// hold a connection of every one, which costs it capacity and turns new ones away, and each copy would see
// too few calls to a server to judge it.
func (b *Balancer) selectSubset() {
	_, start := math.Modf(float64(b.s.ReplicaIndex) * golden)
	first := int(start * float64(len(b.ring)))
	b.ready = append(append(b.ready[:0], b.ring[first:]...), b.ring[:first]...)
}

// subset is how many warm and healthy servers this copy's calls are spread over.
func (b *Balancer) subset(now int64) float64 {
	rate := b.tier.pass.sum(now, windowWhole) / float64(windowWhole/second)
	return max(subsetLeast, subsetRoot*math.Sqrt(rate))
}

// Timer takes a timer that was asked for.
func (b *Balancer) Timer(now int64, h Host, token string) {
	if token == watchToken && !b.asked {
		b.asked = true
		h.WatchEndpoints()
	} else if id, ok := strings.CutPrefix(token, heldToken); ok {
		if q := b.reqs[id]; q != nil && !q.over && len(q.attempts) == 0 {
			b.cause = ByOrdering
			b.shed(now, h, q)
		}
	} else if key, ok := strings.CutPrefix(token, turnToken); ok && b.turns[key] != nil {
		b.next(now, h, b.turns[key])
	}
}

// Request takes a request, and sends or refuses it at once: none is held unsent but those that must wait
// for their key's turn (rule 5), and these no longer than they can still make it.
func (b *Balancer) Request(now int64, h Host, r Request) {
	if b.reqs[r.ID] != nil {
		return
	}
	if r.Class < 0 || r.Class >= len(b.classes) {
		h.Fail(r.ID)
		return
	}
	b.sweepSlowAttempts(now)
	b.born = cmp.Or(b.born, now)
	b.taken.add(now, b.s.RetryBudgetWindow)
	b.came.add(now)
	q := &request{Request: r, came: now}
	if t := b.origin(q); t != nil {
		t.came.add(now)
	}
	b.reqs[r.ID] = q
	if r.Key == "" || !b.s.Classes[r.Class].Ordered {
		b.start(now, h, q)
		return
	}
	b.join(q)
	if b.next(now, h, q.turn); len(q.attempts) > 0 || q.over {
		return
	}
	last := float64(b.deadline(q)-now) - leastMeans*b.classes[r.Class].mean
	if float64(len(q.turn.line)-1)*b.classes[r.Class].mean > last { // this also bounds the line
		b.cause = ByOrdering
		b.shed(now, h, q)
		return
	}
	h.SetTimer(max(int64(last), 0), heldToken+q.ID)
}

// start checks the rules and sends a request's first attempt, or refuses it.
func (b *Balancer) start(now int64, h Host, q *request) {
	if !b.canPass(now, q) || !b.inTime(now, q) || !b.send(now, h, q) {
		b.shed(now, h, q) // for the cause that the check has set
	} else if t := b.origin(q); t != nil {
		t.pass.add(now, 1/b.share)
	}
}

// next starts the request whose turn it is, unless its key rests: an attempt may then still be running.
func (b *Balancer) next(now int64, h Host, t *turn) {
	for len(t.line) > 0 && len(t.line[0].attempts) == 0 && now >= t.rest {
		b.start(now, h, t.line[0])
	}
	b.tidy(now, t)
}

// shed gives a hint spread so that clients do not return together, nor so late that an answer then misses
// its aim.
func (b *Balancer) shed(now int64, h Host, q *request) {
	most := min(b.s.MaxRetryAfter, int64(hintPart*float64(b.s.Classes[q.Class].LatencyObjective)))
	h.Shed(q.ID, most/2+b.rnd.Int64N(most/2+1))
	b.finish(now, h, q)
}

// canPass checks the rules in order.
func (b *Balancer) canPass(now int64, q *request) bool {
	if b.cause = ByConnections; q.IdleClientConnections < max(q.ClientConnections/sparePart, min(spareLeast, q.ClientConnections/2)) {
		return false
	}
	if b.cause = ByTierLimit; !b.tier.canPass(b.rnd.Float64()) {
		return false
	}
	b.cause = ByTenantQuota
	if t := b.origin(q); t != nil {
		full, room := b.fair*b.s.Tenants[q.Tenant].CapacityFraction, b.room(now, q.Tenant)
		if !t.canPass(now, b.born, full, b.share, room, b.rnd.Float64()) {
			return false
		}
	}
	b.cause = ByClassLimit
	return b.classes[q.Class].rule.canPass(b.rnd.Float64())
}

// deadline is when an answer stops being worth anything.
func (b *Balancer) deadline(q *request) int64 {
	k := b.s.Classes[q.Class]
	if b.s.Tier == 0 && k.LatePriorityFactor == 0 {
		return min(q.ClientDeadline, q.came+k.LatencyObjective)
	}
	return q.ClientDeadline
}

// inTime tells whether a request can still be answered while that is worth something.
func (b *Balancer) inTime(now int64, q *request) bool {
	b.cause = ByDeadline
	return float64(b.deadline(q)-now) > leastMeans*b.classes[q.Class].mean
}

// send draws a server and sends an attempt there; false if there is none to send to.
func (b *Balancer) send(now int64, h Host, q *request) bool {
	b.cause = ByNoEndpoint
	s := b.pickEndpoint(now, q)
	if s == nil {
		return false
	}
	a := &attempt{
		srv: s, sent: now, zone: s.Zone, cell: s.Cell, mayRun: true, out: true,
		light: (b.tier.threads+1)*b.s.Replicas <= len(b.ready),
	}
	q.attempts = append(q.attempts, a)
	if b.s.Tier == 0 {
		b.classes[q.Class].waiting = append(b.classes[q.Class].waiting, a)
	}
	q.out++
	s.inflight++
	b.tier.enter()
	b.tier.pass.add(now, 1)
	b.classes[q.Class].rule.enter()
	h.Forward(q.ID, s.ID, b.timeout(now, q))
	return true
}

// timeout gives an attempt up when its answer would be worth nothing, and before that where another may
// follow, so that a hung server frees its slot. A trial leaves half of the time for that, unless calls take
// longer than half.
func (b *Balancer) timeout(now int64, q *request) int64 {
	left, mean := b.deadline(q)-now, b.classes[q.Class].mean
	if b.s.Classes[q.Class].Idempotency != NonIdempotent && len(q.attempts) < b.s.MaxAttempts {
		hang := max(hangMeans*mean, hangLeast*float64(b.s.Classes[q.Class].LatencyObjective))
		if b.trial {
			hang = min(hang, max(float64(left)/2, mean))
		}
		left = min(left, int64(hang))
	}
	return max(left, 1)
}

// pickEndpoint picks a ready server of this copy's subset at random by weight. Failing ones come after all others,
// and those that the request has tried come last, however empty they are. The subset grows where it has too
// few warm and healthy servers, or none that the request may go to.
func (b *Balancer) pickEndpoint(now int64, q *request) *server {
	b.weights = b.weights[:0]
	total, best, room, warm, allCold := 0.0, 0, b.subset(now), 0.0, true
	if b.s.ColdEvenly {
		b.free = b.warmRoom(now, int(room)+1)
	}
	for _, s := range b.ready {
		if room <= 0 && total > 0 {
			break
		}
		part := b.slowStartFactor(now, s)
		room -= s.healthFor(q.Class) * part
		w, rank := 0.0, b.selectionRank(now, q, s)
		if rank >= best && b.retryAllowed(now, q, s) {
			w = b.endpointWeight(now, s, q.Class)
		}
		if w > 0 && rank > best { // all before this one come after it
			clear(b.weights)
			total, best = 0, rank
		}
		total += w
		warm += part
		allCold = allCold && part < 1
		b.weights = append(b.weights, w)
	}
	s := b.pick(b.rnd.Float64() * total)
	if s != nil && allCold && b.rnd.Float64() > b.slowStartAdmission(now, warm/float64(len(b.weights))) {
		s, b.cause = nil, BySlowStart
	}
	failed := s != nil && s.healthFor(q.Class) < failing
	b.trial = failed && best == rankFirst
	if b.untried++; failed {
		b.untried = 0
	}
	return s
}

// slowStartAdmission is the part of the calls that servers can take which are all cold. Beside warm ones their weights see
// to it; where there are none, after a release or a loss that all share, the copies of this proxy would send
// them in sum what warm ones bear. Servers are held to be made for all that the tenants may ask for; a copy
// that is asked for less sends more of it, and at first it expects to be asked for its part.
func (b *Balancer) slowStartAdmission(now int64, warmth float64) float64 {
	if b.s.Tier > 0 || b.fair == 0 {
		return 1 // nothing tells how many calls servers are made for
	}
	life := float64(min(now-b.born, tallySpan)) / float64(second)
	before := max(0, b.came.at(now)-1) // the one at hand tells nothing of a rate
	return warmth / coldMargin * b.fair * (life + coldPrior) / (before + b.fair*coldPrior)
}

// selectionRank is the order in which servers come into question for a request; the highest goes first.
func (b *Balancer) selectionRank(now int64, q *request, s *server) int {
	switch {
	case q.tried(s), b.maybeDraining(now, s):
		return rankLast
	case s.healthFor(q.Class) < failing && !b.allowProbe(q, s):
		return rankFailing
	}
	return rankFirst
}

// maybeDraining tells whether a server that is listed as ready may be draining or about to end (rule 3), while the
// list that would say so is overdue: it turns away what it is sent, where one that is merely full takes some
// calls meanwhile; or the list is so old that a change would count as told, and nothing shows that the server
// still takes calls.
func (b *Balancer) maybeDraining(now int64, s *server) bool {
	if b.overdue == 0 || now-b.overdue >= overdueMost {
		return false
	}
	refuses := s.refusing && now-s.refusedSince >= refusesFor && now-s.refusedLast < refusesMost
	return refuses || b.listIsOld(now) && now-s.took >= tookLast
}

// listIsOld tells whether what has changed since the last list may count as told.
func (b *Balancer) listIsOld(now int64) bool {
	return b.s.WatchEndpoints && now-b.listed >= listLasts
}

// allowProbe tells whether a failing server may have this call, to show whether it still fails. One that fails
// at once is always empty, and would draw most calls by that; so one call in so many goes out for a trial,
// and none that may not be repeated.
// One whose repeat may go to few others goes only where those that may go anywhere are rare.
func (b *Balancer) allowProbe(q *request, s *server) bool {
	k, due := b.s.Classes[q.Class], trialEvery
	if k.Idempotency == IdempotentByKey && k.DedupScope != DedupTier {
		due *= trialBound
	}
	return len(q.attempts) == 0 && k.Idempotency != NonIdempotent && b.untried >= due && s.inflight == 0
}

// pick returns the ready server at which the sum of weights passes x, or nil if none has weight.
func (b *Balancer) pick(x float64) (last *server) {
	for i, w := range b.weights {
		if w > 0 {
			last = b.ready[i]
			if x -= w; x < 0 {
				break
			}
		}
	}
	return last
}

// endpointWeight is a server's weight in the draw: its size, what was learned of it, its age, its zone, and the calls
// of this copy that it already holds. That a cold one holds fewer than others is no sign of room: with
// ColdEvenly it has no better chance by it than warm ones have in the mean. Otherwise, once each warm one
// holds a call of each copy, nearly all further calls of all copies would go to the cold ones.
func (b *Balancer) endpointWeight(now int64, s *server, class int) float64 {
	part, free := b.slowStartFactor(now, s), roomy(float64(s.inflight))
	if part < 1 && b.s.ColdEvenly {
		free = min(b.free, roomy(float64(s.inflight)/part))
		part *= 1 + (1/coldMargin-1)*(1-b.free) // in a crowd it is loaded as they are, and not spared
	}
	w := max(healthFloor, s.healthFor(class)) / (s.slowness * s.slowness) * part * free
	if b.s.WeightedEndpoints && s.Weight > 0 {
		w *= s.Weight
	}
	if s.Zone != b.s.Zone { // calls stay at home while home copes
		w *= b.spill
	}
	return w
}

// roomy is how a weight falls with the calls that a server holds: sharply, by the eighth power.
func roomy(held float64) float64 {
	x := 1 / (1 + held)
	x *= x
	x *= x
	return x * x
}

// warmRoom is the mean of roomy over the warm servers among the first n; 1 if there is none.
func (b *Balancer) warmRoom(now int64, n int) float64 {
	sum, warm := 0.0, 0.0
	for _, s := range b.ready[:min(n, len(b.ready))] {
		if b.slowStartFactor(now, s) == 1 {
			sum += roomy(float64(s.inflight))
			warm++
		}
	}
	if warm == 0 {
		return 1
	}
	return sum / warm
}

// slowStartFactor guards against pushing a cold server over (rule 4): its weight is under the least capacity that
// a server of its age has.
func (b *Balancer) slowStartFactor(now int64, s *server) float64 {
	age := now - s.StartedAt
	if s.StartedAt == 0 || age >= b.s.SlowStartWindow {
		return 1
	}
	part := float64(max(age, 0)) / float64(b.s.SlowStartWindow)
	return coldMargin * (b.s.SlowStartMinCapacity + (1-b.s.SlowStartMinCapacity)*part)
}

// retryAllowed keeps rule 2 for a further attempt: once one may have run, an unsafe request goes nowhere, and a
// keyed one only to the group that drops its repeats, while that remembers it: also when the repeat leaves
// as late as it may. An unsafe one goes to none that may be another service's by now.
func (b *Balancer) retryAllowed(now int64, q *request, s *server) bool {
	k := b.s.Classes[q.Class]
	if s.doubtful && k.Idempotency == NonIdempotent {
		return false
	}
	for _, a := range q.attempts {
		if !a.mayRun || k.Idempotency == Idempotent {
			continue
		}
		if k.Idempotency == NonIdempotent || now+b.s.MaxSendDelay-a.sent >= k.DedupWindow ||
			k.DedupScope == DedupZone && a.zone != s.Zone || k.DedupScope == DedupCell && a.cell != s.Cell {
			return false
		}
	}
	return true
}

// mayShed keeps rule 2 for a refusal, which tells the client that trying again is harmless.
func (b *Balancer) mayShed(q *request) bool {
	k := b.s.Classes[q.Class]
	if k.Idempotency == Idempotent || k.Idempotency == IdempotentByKey && k.DedupScope == DedupTier {
		return true
	}
	for _, a := range q.attempts {
		if a.mayRun {
			return false
		}
	}
	return true
}

// ResponseStarted takes the news that a streamed answer has begun: from now on that attempt is the client's.
func (b *Balancer) ResponseStarted(now int64, id string) {
	if q := b.reqs[id]; q != nil {
		q.over = true
	}
}

// Cancel takes the news that nobody waits for a request any more.
func (b *Balancer) Cancel(now int64, h Host, id string) {
	if q := b.reqs[id]; q != nil {
		b.finish(now, h, q)
	}
}

// Outcome takes the end of an attempt; where the request is still owed an answer it gets a further
// attempt or its final answer at once.
func (b *Balancer) Outcome(now int64, h Host, o Outcome) {
	q := b.reqs[o.ID]
	if q == nil || o.Attempt < 0 || o.Attempt >= len(q.attempts) || !q.attempts[o.Attempt].out {
		return
	}
	b.sweepSlowAttempts(now)
	a := q.attempts[o.Attempt]
	a.out = false
	a.mayRun = o.Status != ConnectFailed && o.Status != NotSent && (o.Status != Overloaded || b.s.RejectionMayHaveRun)
	q.out--
	a.srv.inflight--
	if o.Status == OK {
		a.srv.doubtful, a.srv.took = false, max(a.srv.took, a.sent)
	}
	b.tier.threads--
	b.classes[q.Class].rule.threads--
	b.recordOutcome(now, q, a, o)
	b.report(now, h)
	if q.turn != nil && slices.Contains([]Status{TimedOut, Reset, Canceled}, o.Status) { // it may still run
		q.turn.rest = now + b.s.OrderingDelay
		h.SetTimer(b.s.OrderingDelay, turnToken+q.Key)
	}
	if o.RequestDone || q.over {
		b.finish(now, h, q)
	} else if q.out > 0 || b.retry(now, h, q) {
		return
	} else if b.mayShed(q) {
		b.shed(now, h, q)
	} else {
		h.Fail(q.ID)
		b.finish(now, h, q)
	}
}

// retry makes a further attempt, where time, rules, rule 2 and the budget (rule 6) allow one. The budget is
// exact in the window that ends now: an attempt at its far edge counts, a request taken there does not.
func (b *Balancer) retry(now int64, h Host, q *request) bool {
	u, rule, from := b.rnd.Float64(), &b.classes[q.Class].rule, now-b.s.RetryBudgetWindow
	if b.cause = ByAttemptLimit; len(q.attempts) >= b.s.MaxAttempts || !b.inTime(now, q) {
		return false
	}
	if b.cause = ByTierLimit; !b.tier.canPass(u) {
		return false
	}
	if b.cause = ByClassLimit; !rule.canPass(u) {
		return false
	}
	b.cause = ByRetryBudget
	if b.further.since(from)+1 > b.s.RetryBudgetMin+b.s.RetryBudgetRatio*b.taken.since(from+1) || !b.send(now, h, q) {
		return false
	}
	b.further.add(now, b.s.RetryBudgetWindow)
	return true
}

// recordOutcome takes what an attempt's end tells of the server, the counts, the shares and the zones.
func (b *Balancer) recordOutcome(now int64, q *request, a *attempt, o Outcome) {
	if o.Status == Canceled || o.Status == NotSent {
		return
	}
	a.srv.refused(now, a.sent, o.Status == Overloaded)
	c, failed := &b.classes[q.Class], o.Status != OK
	blame := b.updateOutlierState(a.srv, q.Class, o.Status)
	if !failed {
		b.reward(c, a.srv, float64(o.Latency))
		c.rebase(now, a.light)
	}
	spent := float64(now - a.sent)
	// A quick failure tells nothing of load: it counts with its like, not for the shares nor for home.
	late := o.Status == Overloaded || o.Status == TimedOut || !failed && spent > b.lateThreshold(q.Class)
	slow := late || spent > b.slowThreshold(q.Class)
	if blame { // it tells of one server, and would pass for a call that met no crowd
		return
	}
	for _, r := range []*concurrencyLimit{&b.tier, &c.rule} {
		if late || !failed {
			r.learn(&r.ev, now, a.sent, late, b.light(q.Class))
		}
		r.shrink(r.judge(&r.fails, now, a.sent, failed), &r.fails)
	}
	if !a.slow {
		b.updatePressure(now, q.Class, a, slow, slow || o.Status == ConnectFailed)
	}
}

// lateThreshold is the time at which a call counts as late: shortly before its aim, and also when it takes so much
// longer than calls do when little waits that servers must hold too many and may choke, however far the aim.
func (b *Balancer) lateThreshold(class int) float64 {
	bar := lateBar * float64(b.s.Classes[class].LatencyObjective)
	if b.s.Tier > 0 {
		return bar
	}
	return min(bar, b.congestionThreshold(class, jamBar))
}

// slowThreshold is the time at which a call counts as slow: well before its aim, and also when it takes clearly
// longer than calls do when little waits, since servers that hold too many turn slower for long.
func (b *Balancer) slowThreshold(class int) float64 {
	bar := slowBar * float64(b.s.Classes[class].LatencyObjective)
	if b.s.Tier > 0 || b.share <= crowdLow {
		return bar
	}
	return min(bar, b.congestionThreshold(class, crowdBar))
}

// congestionThreshold is so many times the time under little load; what is quicker than a part of its aim meets none.
func (b *Balancer) congestionThreshold(class int, times float64) float64 {
	return max(times*b.classes[class].base, crowdLeast*float64(b.s.Classes[class].LatencyObjective))
}

// light is the mean time of a class's calls, as a part of its aim.
func (b *Balancer) light(class int) float64 {
	return max(b.classes[class].mean, 1) / float64(b.s.Classes[class].LatencyObjective)
}

// priorityPerWork is a class's worth for each unit of work, by the time that its calls take when little waits.
func (b *Balancer) priorityPerWork(class int) float64 {
	if b.s.PriorityPerWork {
		return b.s.Classes[class].PriorityWeight
	}
	return b.s.Classes[class].PriorityWeight / b.classes[class].base
}

// updatePressure takes one piece of evidence on whether the shares and home are under pressure. A class also yields
// to one that is worth clearly more: that one's slow calls cut its count.
func (b *Balancer) updatePressure(now int64, class int, a *attempt, slow, homeBad bool) {
	for i := range b.classes {
		if c := &b.classes[i]; b.priorityPerWork(class) > yieldRatio*b.priorityPerWork(i) {
			c.rule.learn(&c.yield, now, a.sent, slow, b.light(i))
		}
	}
	if f := b.shareEv.add(now, a.sent, slow); f == 1 && b.share < 1 {
		b.share = min(1, b.share+shareBack)
	} else if f == 1 {
		b.share = min(b.shareMost, b.share+shareRise)
	} else if f > 0 {
		b.share = max(shareLow, min(b.share, b.shareBad)*f)
	}
	if a.zone != b.s.Zone {
		return
	}
	if f := b.spillEv.add(now, a.sent, homeBad); f == 1 {
		b.spill = max(spillLow, b.spill*spillFall)
	} else if f > 0 {
		b.spill = min(1, b.spill+spillRise)
	}
}

// sweepSlowAttempts counts calls as slow when they have been out for the slow bar, not when they end: in a jam that is
// seconds later, and shares must fall before then.
func (b *Balancer) sweepSlowAttempts(now int64) {
	for i := range b.classes {
		c := &b.classes[i]
		for bar := int64(b.slowThreshold(i)); len(c.waiting) > 0 && now-c.waiting[0].sent > bar; {
			a := c.waiting[0]
			c.waiting = c.waiting[1:]
			if a.out {
				a.slow = true
				b.updatePressure(now, i, a, true, true)
			}
		}
	}
}

// updateOutlierState updates a server's health and tells whether a failure is its own. One that its peers show as well is
// a deeper tier's and held against the counts; a refused connection never is, lest a lost zone be one. An
// error that was answered concerns its class only, lest servers that fail one class be lost to all; silence
// concerns the whole server.
func (b *Balancer) updateOutlierState(s *server, class int, status Status) (blame bool) {
	c, x := &b.classes[class], partOf(status != OK)
	b.errs += (x - b.errs) * meanGain
	c.errs += (x - c.errs) * meanGain
	if status == ConnectFailed {
		blame = s.whole.judge(x, 0)
	} else if status != Error {
		blame = s.whole.judge(x, blameRatio*b.peerErrorRate(s, b.errs, func(p *server) *outlierState { return &p.whole }))
	}
	if status == Error || status == OK {
		usual := b.peerErrorRate(s, c.errs, func(p *server) *outlierState { return &p.classes[class] })
		blame = s.classes[class].judge(x, blameRatio*usual)
	}
	return blame
}

// peerErrorRate is the part of failed calls that a server's peers show: their median, so that a server that fails at
// once, and draws calls by it, is not its own measure. It is never more than the part over all calls.
func (b *Balancer) peerErrorRate(s *server, all float64, of func(*server) *outlierState) float64 {
	b.weights = b.weights[:0]
	for _, p := range b.ready[:min(len(b.ready), peersMost)] {
		if h := of(p); p != s && h.judged > 0 {
			b.weights = append(b.weights, h.errs)
		}
	}
	if len(b.weights) < peersLeast {
		return all
	}
	slices.Sort(b.weights)
	return min(all, b.weights[len(b.weights)/2])
}

// judge blames a failure where failures are more than a usual part.
func (h *outlierState) judge(x, usual float64) (blame bool) {
	h.judged++
	h.errs += (x - h.errs) * healthRise
	if x == 0 {
		h.left += (1 - h.left) * healthRise
	} else if blame = h.errs > usual; blame {
		h.left = max(healthFloor, h.left*healthCut)
	}
	return blame
}

// reward moves the weight of a server towards its speed: the mean time of all over its own.
// The time itself sets the aim of each step; summing up steps would end with all calls at one server
// wherever load does not slow it down.
func (b *Balancer) reward(c *classState, s *server, took float64) {
	ratio := min(took/max(c.mean, 1), slowMost)
	s.slowness += (ratio - s.slowness) * slowGain
	c.seen++
	c.mean += (took - c.mean) * gainAfter(c.seen, meanGain)
}

// rebase moves what is held to be a class's time when little waits: as fast as the mean, where that falls or
// a call met little, and else by the clock, so that a crowd that lasts is not taken for the usual.
func (c *classState) rebase(now int64, light bool) {
	gain := min(1, float64(now-c.based)/float64(baseSpan))
	if c.based = now; light {
		gain = max(gain, meanGain)
	}
	if c.seen < baseFirst {
		gain = gainAfter(c.seen, gain)
	}
	if c.mean < c.base {
		gain = max(gain, meanGain)
	}
	c.base += (c.mean - c.base) * gain
}
