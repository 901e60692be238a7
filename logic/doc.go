// Package logic is the decision module of the load balancer. For one proxy of one tier it decides
// which requests are admitted, which endpoint gets each attempt, and whether a failed attempt is
// retried.
//
// A [Balancer] is a state machine. The owner calls one of its event methods for each event: a
// change of the endpoint list ([Balancer.UpdateEndpoints]), a request ([Balancer.Request]), the
// start of a streamed response ([Balancer.ResponseStarted]), the end of an attempt
// ([Balancer.Outcome]), a cancellation ([Balancer.Cancel]) and an expired timer ([Balancer.Timer]).
// The Balancer answers with actions, which are the methods of [Host]: forward an attempt, shed or
// fail a request, set a timer, watch the endpoint list, log a line.
//
// The package is pure. A Balancer does no I/O, starts no goroutine, holds no lock and no global
// state, reads no clock and draws its random numbers from the seed alone, so that the same events
// give the same actions and every decision can be replayed. It is not safe for concurrent use: the
// owner calls one event method at a time, in the order in which the events happened, each with the
// time of the owner's clock. Times and durations are whole microseconds; the clock may begin
// anywhere and only advances.
//
// # Admission
//
// Admission follows FlowSlot, Sentinel's flow control. Before an attempt the rules are checked in
// order: the tier's (thread grade, on the cluster node), the tenant's (QPS grade, on the origin
// node) and the class's (thread grade, on the default node). A request that a rule rejects is shed
// at once, before any attempt. The article sets the counts by hand. Here they are learned: a
// concurrency limit starts high, rises after rounds of timely attempts and is cut after bad ones.
// An admitted request goes to an endpoint by weighted random selection.
//
// # Rules
//
// The operating rules of the protocol page, and where each is kept:
//
//  1. Every request gets one final answer in time: timeouts in attempt.go, [Balancer.Outcome] in
//     outcome.go.
//  2. No effect happens twice: retryAllowed and mayShed in idempotency.go.
//  3. Nothing is sent to an endpoint that drains: endpoint_list.go, and draining.go while the list
//     is overdue.
//  4. No endpoint that is warming up is pushed over: slow_start.go.
//
// Two further rules hold where the settings state them: requests of one key keep their order (rule
// 5, ordering.go), and retries stay within a budget (rule 6, retry.go).
//
// # Files
//
//   - settings.go, events.go: the interface: settings, events, actions.
//   - balancer.go, request.go, attempt.go, outcome.go: the way of a request, from its arrival to
//     its end.
//   - admission.go, limit.go, evidence.go, quota.go: the rules of FlowSlot and how their counts are
//     learned.
//   - pressure.go, latency.go, spillover.go: what counts as late or slow, and what follows from it.
//   - endpoint_list.go, endpoint.go, subset.go, selection.go, slow_start.go, outlier.go,
//     draining.go: the endpoints and the selection among them.
//   - retry.go, idempotency.go, ordering.go: retries and the order of requests.
//   - stats.go: what a Balancer reports of itself; nothing is decided by it.
//   - decaying_counter.go, sliding_window.go, timeline.go: counters over time.
package logic
