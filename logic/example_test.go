package logic_test

import (
	"fmt"

	"fernlanding/logic"
)

// printer is a Host that prints its actions instead of carrying them out.
type printer struct{}

func (printer) Forward(id, endpoint string, timeout int64) {
	fmt.Println("forward", id, "to", endpoint, "for", timeout)
}
func (printer) Shed(id string, retryAfter int64)   { fmt.Println("shed", id) }
func (printer) Fail(id string)                     { fmt.Println("fail", id) }
func (printer) SetTimer(delay int64, token string) { fmt.Println("timer", token) }
func (printer) WatchEndpoints()                    { fmt.Println("watch") }
func (printer) Log(line string)                    { fmt.Println("log:", line) }

// A balancer has two endpoints and one request. The first endpoint is full, so the request is
// retried at the other one, which answers it.
func Example() {
	b, err := logic.New(logic.Settings{
		Replicas: 1, Zones: 1, MaxAttempts: 3, SlowStartMinCapacity: 0.2, SlowStartWindow: 20_000_000,
		Classes: []logic.Class{{
			LatencyObjective: 500_000, Deadline: 1_500_000, PriorityWeight: 1, Idempotency: logic.NonIdempotent,
		}},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	var h printer
	now := int64(1_000_000)
	b.UpdateEndpoints(now, h, logic.Snapshot, []logic.Endpoint{
		{ID: "a", State: logic.Ready, Weight: 1}, {ID: "b", State: logic.Ready, Weight: 1},
	})
	b.Request(now, h, logic.Request{ID: "r1", ClientDeadline: now + 1_500_000})
	b.Outcome(now+1000, h, logic.Outcome{ID: "r1", Attempt: 0, Status: logic.Overloaded, Latency: 1000})
	b.Outcome(now+90_000, h, logic.Outcome{ID: "r1", Attempt: 1, Status: logic.OK, Latency: 89_000, RequestDone: true})
	b.Request(now+90_000, h, logic.Request{ID: "r2", ClientDeadline: now + 91_000}) // no time left for an answer
	// Output:
	// forward r1 to b for 500000
	// forward r1 to a for 499000
	// shed r2
}
