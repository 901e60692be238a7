package fleetsim

import (
	"cmp"
	"math"
	"slices"

	"fernlanding/logic"
)

// drainGrace is the time after the notification of a drain within which a replica may still send
// new attempts to the endpoint, in microseconds.
const drainGrace = 250_000

// replica is one replica of the decision module in front of a tier.
type replica struct {
	sim             *simulation
	tier            int
	index           int
	balancer        *logic.Balancer
	requests        map[string]*request
	dead            bool
	updateDelay     int64            // delay of endpoint updates, microseconds
	drainNotifiedAt map[string]int64 // by endpoint ID: when the replica learned that it is not ready
}

// request is a request that a replica has received: an attempt of a client or a call of a backend.
type request struct {
	id          string
	client      *clientRequest
	executionID string // identifies what must not run twice: a client request, or one call of a job
	key         string // idempotency key
	replica     *replica
	arrivedAt   int64 // microseconds
	giveUpAt    int64 // time at which the sender stops waiting, microseconds
	attempts    int   // number of attempts sent
	inFlight    *attempt
	done        bool
	onAnswer    func(answer)
}

// answer is the final answer to a request.
type answer struct {
	status     answerStatus
	retryAfter int64 // Retry-After of a shed request, microseconds
}

// answerStatus states how a request ended.
type answerStatus int

// The values of answerStatus.
const (
	served answerStatus = iota
	shed
	failed
)

// attempt is one forwarding of a request to a backend.
type attempt struct {
	request *request
	backend *backend
	number  int   // number of the attempt within its request, from 0
	sentAt  int64 // microseconds
	job     *job
	ended   bool
}

// end ends an attempt at its backend. The replica learns the outcome after the network delay.
func (a *attempt) end(status logic.Status) {
	if a.ended {
		return
	}
	a.ended = true
	s := a.request.replica.sim
	delete(s.inFlight, a)
	s.after(s.networkDelay(), func() { a.request.replica.handleOutcome(a, status) })
}

// giveUp ends an attempt for which the replica stops waiting.
func (a *attempt) giveUp(status logic.Status) {
	if a.ended {
		return
	}
	a.abandon()
	a.request.replica.handleOutcome(a, status)
}

// abandon ends an attempt without reporting an outcome to the replica.
func (a *attempt) abandon() {
	a.ended = true
	delete(a.request.replica.sim.inFlight, a)
	if a.job != nil {
		a.backend.abandon(a.job)
	}
}

// newReplica returns a replica without endpoints.
func (s *simulation) newReplica(tier, index, replicas int) *replica {
	s.replicaCount++
	balancer, err := logic.New(s.settings(tier, index, replicas), s.day.Seed*1_000_003+uint64(s.replicaCount))
	if err != nil {
		panic("fleetsim: invalid settings for a validated day: " + err.Error())
	}
	r := &replica{
		sim: s, tier: tier, index: index, balancer: balancer,
		requests: map[string]*request{}, drainNotifiedAt: map[string]int64{},
	}
	s.replicas = append(s.replicas, r)
	return r
}

// settings returns the settings of a replica in front of a tier.
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

// settings returns the settings of the class for a replica.
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

// receive handles a request that arrives at the replica.
func (r *replica) receive(q *request) {
	s := r.sim
	q.replica, q.arrivedAt = r, s.now
	r.requests[q.id] = q
	s.at(q.giveUpAt, func() { r.cancel(q) })
	r.balancer.Request(s.now, r.host(), logic.Request{
		ID: q.id, Class: q.client.class, Tenant: q.client.tenant, Key: q.key, ClientDeadline: q.giveUpAt,
	})
}

// cancel ends a request whose sender no longer waits.
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

// end sends the final answer to a request. A second final answer is a violation.
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
	s.after(s.networkDelay(), func() { q.onAnswer(a) })
}

// forget removes a request that has been answered and has no attempt in flight.
func (r *replica) forget(q *request) {
	if q.done && q.inFlight == nil {
		delete(r.requests, q.id)
	}
}

// handleOutcome processes the end of an attempt.
func (r *replica) handleOutcome(a *attempt, status logic.Status) {
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

// kill ends the replica's process. Each open request fails at its sender after the network delay.
func (r *replica) kill() {
	r.dead = true
	for _, q := range r.sortedRequests() {
		if a := q.inFlight; a != nil && !a.ended {
			a.abandon()
		}
		if !q.done {
			q.done = true
			r.sim.after(r.sim.networkDelay(), func() { q.onAnswer(answer{status: failed}) })
		}
	}
	r.requests = map[string]*request{}
}

// sortedRequests returns the replica's requests in order of arrival, then of ID.
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

// updateEndpoints delivers an endpoint update to the replica.
func (r *replica) updateEndpoints(kind logic.UpdateKind, entries []logic.Endpoint) {
	if r.dead {
		return
	}
	for _, e := range entries {
		if e.State == logic.Ready {
			delete(r.drainNotifiedAt, e.ID)
		} else if _, known := r.drainNotifiedAt[e.ID]; !known {
			r.drainNotifiedAt[e.ID] = r.sim.now
		}
	}
	r.balancer.UpdateEndpoints(r.sim.now, r.host(), kind, entries)
}
