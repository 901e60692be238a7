// Package logic is the decision module of the load balancer. For one proxy of one tier it decides
// which requests are admitted, which endpoint gets each attempt, and whether a failed attempt is
// retried.
//
// A [Balancer] is a state machine. The owner calls one of its event methods for each event: a
// change of the endpoint list ([Balancer.UpdateEndpoints]), a request ([Balancer.Request]), the
// start of a streamed response ([Balancer.ResponseStarted]), the end of an attempt
// ([Balancer.Outcome]), a cancellation ([Balancer.Cancel]) and an expired timer ([Balancer.Timer]).
// The Balancer responds with actions, which are the methods of [Host]: forward an attempt, shed or
// fail a request, set a timer, watch the endpoint list, log a line.
//
// The package is deterministic. A Balancer does no I/O, starts no goroutine, holds no lock, has no
// global state and reads no clock, and all its random numbers are drawn from the seed. The same
// events therefore give the same actions, and every decision can be replayed. A Balancer is not
// safe for concurrent use: the owner calls one event method at a time, in the order in which the
// events happened, each with the time of the owner's clock. Times and durations are whole
// microseconds. The clock may start at any value and never goes backwards.
//
// # Admission
//
// Admission follows FlowSlot of Sentinel flow control. Before the first attempt, the rules are
// checked in order: the rule of the tier (thread grade, on the cluster node), the rule of the
// tenant (QPS grade, on the origin node) and the rule of the class (thread grade, on the default
// node). A request that does not pass a rule is shed at once, before any attempt. In Sentinel the
// counts of the rules are configured. Here they are learned: a concurrency limit starts high, is
// raised after rounds of timely attempts and is cut after bad rounds. An admitted request goes to
// an endpoint by weighted random selection.
//
// # Rules
//
// The module keeps these operating rules of the protocol documentation:
//
//  1. Every request gets exactly one final answer in time: timeouts in attempt.go,
//     [Balancer.Outcome] in outcome.go.
//  2. The effect of a request does not occur twice: retryAllowed and mayShed in idempotency.go.
//  3. A draining endpoint gets no new attempts: endpoint_list.go, and draining.go while an update
//     of the endpoint list is overdue.
//  4. An endpoint in slow start is not overloaded: slow_start.go.
//
// Two further rules hold where the settings ask for them: requests with the same key keep their
// order (rule 5, ordering.go), and retries stay within a budget (rule 6, retry.go).
//
// # Files
//
//   - settings.go, events.go: the interface: settings, events, actions.
//   - balancer.go, request.go, attempt.go, outcome.go: the processing of a request, from its
//     arrival to its end.
//   - admission.go, limit.go, evidence.go, quota.go: the rules of FlowSlot and how their counts are
//     learned.
//   - pressure.go, latency.go, spillover.go: which attempts are late or slow, and what follows.
//   - endpoint_list.go, endpoint.go, subset.go, selection.go, slow_start.go, outlier.go,
//     draining.go: the endpoints and the selection among them.
//   - retry.go, idempotency.go, ordering.go: retries and the order of requests.
//   - stats.go: the reported state of a Balancer, which influences no decision.
//   - decaying_counter.go, sliding_window.go, timeline.go: counters over time.
package logic
