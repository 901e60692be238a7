package fleetsim

import (
	"cmp"
	"math"
	"slices"

	"fernlanding/logic"
)

const drainGrace = 250_000 // microseconds

// replica is one replica of the decision module before a tier.
type replica struct {
	sim         *simulation
	tier        int
	index       int
	balancer    *logic.Balancer
	requests    map[string]*request
	dead        bool
	updateDelay int64            // until it is notified of a change, microseconds
	leftAt      map[string]int64 // when it was notified that a backend takes nothing new
}

// request is what a replica has been handed: an attempt of a client, or a call of a backend.
type request struct {
	id        string
	client    *clientRequest
	effect    string // names what may happen only once: a client's request, or one call of one job
	key       string // idempotency key
	replica   *replica
	arrivedAt int64
	giveUpAt  int64
	sends     int
	inFlight  *attempt
	done      bool
	onAnswer  func(answer)
}

// answer is the final answer to a request.
type answer struct {
	status     answerStatus
	retryAfter int64 // of a shed request, microseconds
}

// answerStatus is how a request ended.
type answerStatus int

// The ends of a request.
const (
	served answerStatus = iota
	shed
	failed
)

// attempt is one attempt of a replica at a backend.
type attempt struct {
	request *request
	backend *backend
	number  int
	sentAt  int64
	job     *job
	ended   bool
}

// end ends an attempt at its backend; the replica learns of it one way later.
func (a *attempt) end(status logic.Status) {
	if a.ended {
		return
	}
	a.ended = true
	s := a.request.replica.sim
	delete(s.inFlight, a)
	s.after(s.hop(), func() { a.request.replica.outcome(a, status) })
}

// giveUp ends an attempt that the replica stops waiting for.
func (a *attempt) giveUp(status logic.Status) {
	if a.ended {
		return
	}
	a.abandon()
	a.request.replica.outcome(a, status)
}

// abandon ends an attempt of which the replica does not learn any more.
func (a *attempt) abandon() {
	a.ended = true
	delete(a.request.replica.sim.inFlight, a)
	if a.job != nil {
		a.backend.abandon(a.job)
	}
}

// newReplica returns a replica that knows no endpoint.
func (s *simulation) newReplica(tier, index, replicas int) *replica {
	s.replicaCount++
	balancer, err := logic.New(s.settings(tier, index, replicas), s.day.Seed*1_000_003+uint64(s.replicaCount))
	if err != nil {
		panic("fleetsim: a complete day has invalid settings: " + err.Error())
	}
	r := &replica{
		sim: s, tier: tier, index: index, balancer: balancer,
		requests: map[string]*request{}, leftAt: map[string]int64{},
	}
	s.replicas = append(s.replicas, r)
	return r
}

// settings returns what a replica before a tier is configured with.
func (s *simulation) settings(tier, index, replicas int) logic.Settings {
	d, t := s.day, &s.day.Tiers[tier]
	settings := logic.Settings{
		Tier: tier, Replicas: replicas, ReplicaIndex: index, Zones: 1, MaxAttempts: 5,
		MaxRetryAfter: 2_000_000, DrainGrace: drainGrace, SlowStartMinCapacity: t.SlowStartCapacity * 0.9,
		SlowStartWindow: int64(math.Ceil(float64(t.SlowStartWindow.micros()) * 1.1)),
	}
	for i := range d.Classes {
		settings.Classes = append(settings.Classes, d.Classes[i].settings())
	}
	total := d.tenantShares()
	for _, t := range d.Tenants {
		settings.Tenants = append(settings.Tenants, logic.Tenant{
			CapacityFraction: t.Share / total, Quota: t.Share / total * d.Quota * s.capacity,
		})
	}
	return settings
}

// settings returns the class as a replica is configured with it.
func (c *Class) settings() logic.Class {
	kinds := map[string]logic.Idempotency{
		idempotent: logic.Idempotent, idempotentByKey: logic.IdempotentByKey, nonIdempotent: logic.NonIdempotent,
	}
	return logic.Class{
		LatencyObjective: c.LatencyObjective.micros(), Deadline: c.Deadline.micros(), PriorityWeight: 1,
		LatePriorityFactor: c.LatePriorityFactor, DedupWindow: c.DedupWindow.micros(), DedupScope: logic.DedupCell,
		Idempotency: kinds[c.Idempotency],
	}
}

// take hands a request to the replica.
func (r *replica) take(q *request) {
	s := r.sim
	q.replica, q.arrivedAt = r, s.now
	r.requests[q.id] = q
	s.at(q.giveUpAt, func() { r.cancel(q) })
	r.balancer.Request(s.now, r.host(), logic.Request{
		ID: q.id, Class: q.client.class, Tenant: q.client.tenant, Key: q.key, ClientDeadline: q.giveUpAt,
	})
}

// cancel ends a request that nobody waits for any more.
func (r *replica) cancel(q *request) {
	if q.done || r.dead {
		return
	}
	r.balancer.Cancel(r.sim.now, r.host(), q.id)
	if !q.done {
		r.end(q, answer{status: failed})
	}
	if a := q.inFlight; a != nil {
		a.giveUp(logic.Canceled)
	}
}

// end gives a request its one final answer.
func (r *replica) end(q *request, a answer) {
	s := r.sim
	if q.done {
		s.audit.violation("two final answers")
		return
	}
	q.done = true
	r.forget(q)
	if s.now > q.giveUpAt {
		s.audit.violation("a final answer after its client gave up")
	}
	s.after(s.hop(), func() { q.onAnswer(a) })
}

// forget drops a request that has its answer and no attempt in flight.
func (r *replica) forget(q *request) {
	if q.done && q.inFlight == nil {
		delete(r.requests, q.id)
	}
}

// outcome takes the end of an attempt.
func (r *replica) outcome(a *attempt, status logic.Status) {
	q, now := a.request, r.sim.now
	if q.inFlight == a {
		q.inFlight = nil
	}
	if r.dead {
		return
	}
	if status == logic.OK && !q.done {
		r.end(q, answer{status: served})
	}
	r.balancer.Outcome(now, r.host(), logic.Outcome{
		ID: q.id, Attempt: a.number, Status: status, Latency: now - a.sentAt, RequestDone: q.done,
	})
	r.forget(q)
}

// kill ends the replica with its process; its callers get no answer before their time runs out.
func (r *replica) kill() {
	r.dead = true
	for _, q := range r.sortedRequests() {
		if a := q.inFlight; a != nil && !a.ended {
			a.abandon()
		}
		if !q.done {
			q.done = true
			r.sim.after(r.sim.hop(), func() { q.onAnswer(answer{status: failed}) })
		}
	}
	r.requests = map[string]*request{}
}

// sortedRequests returns the replica's requests in the order of their arrival.
func (r *replica) sortedRequests() []*request {
	all := make([]*request, 0, len(r.requests))
	for _, q := range r.requests {
		all = append(all, q)
	}
	slices.SortFunc(all, func(x, y *request) int {
		return cmp.Or(cmp.Compare(x.arrivedAt, y.arrivedAt), cmp.Compare(x.id, y.id))
	})
	return all
}

// updateEndpoints notifies the replica of backends.
func (r *replica) updateEndpoints(kind logic.UpdateKind, entries []logic.Endpoint) {
	if r.dead {
		return
	}
	for _, e := range entries {
		if e.State == logic.Ready {
			delete(r.leftAt, e.ID)
		} else if _, known := r.leftAt[e.ID]; !known {
			r.leftAt[e.ID] = r.sim.now
		}
	}
	r.balancer.UpdateEndpoints(r.sim.now, r.host(), kind, entries)
}
