package logic

import (
	"cmp"
	"math/rand/v2"
	"strings"
)

// second is one second in microseconds.
const second = int64(1_000_000)

// The tokens of timers: watchTimer is a complete token, the others are prefixes. The values must
// not change, since a host may store tokens.
const (
	watchTimer  = "watch"
	expiryTimer = "held " // followed by the ID of a request that can no longer be answered in time
	keyTimer    = "turn " // followed by a key whose pause is over
)

// Balancer makes the decisions of one proxy. Create it with [New]. It is not safe for concurrent
// use.
type Balancer struct {
	settings  Settings
	rnd       *rand.Rand
	endpoints endpointList
	watch     watchState
	selection selection
	requests  map[string]*request
	keys      map[string]*keyQueue

	tier        concurrencyLimit
	tierSent    slidingWindow // attempts sent
	tenants     []tenantQuota
	quotas      quotaMultiple
	classes     []classState
	spillover   spillover
	retryBudget retryBudget

	arrivals       decayingCounter // requests
	firstRequestAt int64
	errorRate      float64   // moving average of the fraction of failed attempts over all endpoints
	peerRates      []float64 // scratch space of peerErrorRate
	lastReport     int64     // when the last log line was written
	shedCause      ShedCause // of the latest shed request
}

// classState is the concurrency limit of a class and what was learned about its attempts.
type classState struct {
	limit         concurrencyLimit
	yieldEvidence evidenceRound // slow attempts of classes with a clearly higher priority
	latency       latencyStats
	errorRate     float64    // moving average of the fraction of failed attempts over all endpoints
	pending       []*attempt // at the front tier, attempts not yet found slow, in the order of sending
}

// New returns a Balancer with the settings, or a [*SettingsError]. All random numbers of the
// Balancer are drawn from the seed.
func New(s Settings, seed uint64) (*Balancer, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		settings:    s,
		rnd:         rand.New(rand.NewPCG(seed, seed)),
		endpoints:   newEndpointList(len(s.Classes)),
		watch:       watchState{backoff: initialWatchBackoff},
		requests:    map[string]*request{},
		keys:        map[string]*keyQueue{},
		tenants:     make([]tenantQuota, len(s.Tenants)),
		classes:     make([]classState, len(s.Classes)),
		retryBudget: newRetryBudget(&s),
	}
	maxBad, floor := maxBadFraction, minLimit
	if s.Tier > 0 {
		maxBad, floor = maxBadFractionInner, minLimitInner
	}
	longest := int64(0)
	for i := range s.Classes {
		window := roundObjectives * s.Classes[i].LatencyObjective
		longest = max(longest, window)
		b.classes[i] = classState{
			limit:         newConcurrencyLimit(maxBad, floor, window),
			yieldEvidence: evidenceRound{kind: PriorityEvidence, maxBad: maxSlowFraction, window: window},
			latency:       newLatencyStats(s.Classes[i].LatencyObjective),
		}
	}
	b.tier = newConcurrencyLimit(maxBad, floor, longest)
	pressure := evidenceRound{maxBad: maxSlowFraction, window: longest}
	b.quotas = newQuotaMultiple(&s, pressure)
	b.spillover = newSpillover(s.Tier, pressure)
	return b, nil
}

// Request admits or sheds a request at once. Only requests that have to wait for an earlier request
// with the same key (rule 5) are held, and only as long as they can still be answered in time. A
// request whose ID is already in flight is ignored. A request of a class that is not in the
// settings fails.
func (b *Balancer) Request(now int64, h Host, r Request) {
	if b.requests[r.ID] != nil {
		return
	}
	if r.Class < 0 || r.Class >= len(b.classes) {
		h.Fail(r.ID)
		return
	}
	b.markSlowAttempts(now)
	b.firstRequestAt = cmp.Or(b.firstRequestAt, now)
	b.retryBudget.requestArrived(now)
	b.arrivals.add(now)
	q := &request{Request: r, arrivedAt: now}
	if t := b.tenantOf(q); t != nil {
		t.arrivals.add(now)
	}
	b.requests[r.ID] = q
	if r.Key != "" && b.settings.Classes[r.Class].Ordered {
		b.startInOrder(now, h, q)
		return
	}
	b.start(now, h, q)
}

// ResponseStarted reports that a streamed response to the client has started. The request gets no
// further attempts.
func (b *Balancer) ResponseStarted(now int64, id string) {
	if q := b.requests[id]; q != nil {
		q.done = true
	}
}

// Cancel reports that the client no longer waits for a request.
func (b *Balancer) Cancel(now int64, h Host, id string) {
	if q := b.requests[id]; q != nil {
		b.finish(now, h, q)
	}
}

// Timer reports that a timer set by Host.SetTimer has expired. A token that no longer applies is
// ignored.
func (b *Balancer) Timer(now int64, h Host, token string) {
	if token == watchTimer {
		b.startWatch(h)
		return
	}
	if id, ok := strings.CutPrefix(token, expiryTimer); ok {
		if q := b.requests[id]; q != nil && !q.done && len(q.attempts) == 0 {
			b.shed(now, h, q, ByOrdering)
		}
		return
	}
	if key, ok := strings.CutPrefix(token, keyTimer); ok && b.keys[key] != nil {
		b.startNext(now, h, b.keys[key])
	}
}
