package logic

import (
	"cmp"
	"math/rand/v2"
	"strings"
)

// second is one second in microseconds.
const second = int64(1_000_000)

// Timer tokens: watchTimer alone, the others followed by what they are for. A host may keep tokens,
// so they stay as they are.
const (
	watchTimer  = "watch"
	expiryTimer = "held " // and a request's ID: it cannot be answered in time any more
	keyTimer    = "turn " // and a key: its pause is over
)

// Balancer decides for one proxy. Create it with [New]. It is not safe for concurrent use.
type Balancer struct {
	settings  Settings
	rnd       *rand.Rand
	endpoints endpointList
	watch     watchState
	selection selection
	requests  map[string]*request
	keys      map[string]*keyQueue

	tier        concurrencyLimit
	tierSent    slidingWindow // attempts
	tenants     []tenantQuota
	quotas      quotaMultiple
	classes     []classState
	spillover   spillover
	retryBudget retryBudget

	arrivals       decayingCounter // requests
	firstRequestAt int64
	errorRate      float64   // moving average of failed attempts over all endpoints
	peerRates      []float64 // scratch space of peerErrorRate
	lastReport     int64     // when the last log line was written
	shedCause      ShedCause // of the latest shed request
}

// classState is the concurrency limit of a class and what is known of its attempts.
type classState struct {
	limit         concurrencyLimit
	yieldEvidence evidenceRound // slow attempts of classes with a clearly higher priority
	latency       latencyStats
	errorRate     float64    // moving average of failed attempts over all endpoints
	pending       []*attempt // at the front tier: in order of sending, those that are not slow yet
}

// New returns a Balancer for the settings, or a [*SettingsError]. All its random draws come from
// the seed.
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

// Request admits or sheds a request at once. None is held unsent but those that must wait for the
// turn of their key (rule 5), and these no longer than they can still be answered in time. An ID
// that is in flight already is ignored; a class that the settings do not have is failed.
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

// ResponseStarted reports that a streamed response has begun: from now on that attempt is the
// client's.
func (b *Balancer) ResponseStarted(now int64, id string) {
	if q := b.requests[id]; q != nil {
		q.done = true
	}
}

// Cancel reports that nobody waits for a request any more.
func (b *Balancer) Cancel(now int64, h Host, id string) {
	if q := b.requests[id]; q != nil {
		b.finish(now, h, q)
	}
}

// Timer reports that a timer which was set by Host.SetTimer has expired. A token that means nothing
// any more is ignored.
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
