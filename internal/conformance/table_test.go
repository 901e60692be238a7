package conformance

import "fmt"

// fault is what a backend does with an attempt.
type fault int

const (
	serve              fault = iota // no fault: 200 with the attempt's body
	notListening                    // the connection is refused
	overloaded                      // rejected with the proof that it never ran
	serverError                     // an error of the backend's own
	unavailable                     // rejected without the proof
	reset                           // the connection breaks when the request has been received
	truncatedHead                   // the response breaks off in its head
	truncatedBody                   // or in its body
	garbage                         // bytes that are no response
	conflictingFraming              // the response gives its length in two ways
	tooLarge                        // the response is larger than allowed
	stall                           // the response begins and does not go on
	hang                            // no response

	invalidRequest // 4xx: the request is at fault
	created        // 201
	informational  // 1xx responses first, then serves
	trailingBytes  // serves, and something follows the response
)

// mayHaveRun reports whether an attempt that ended so may have run.
func (f fault) mayHaveRun() bool { return f > overloaded }

// String returns the fault's name.
func (f fault) String() string {
	return [...]string{
		"serve", "not listening", "overloaded", "server error", "unavailable", "reset", "truncated head",
		"truncated body", "garbage", "conflicting framing", "too large", "stall", "hang", "invalid request", "created",
		"informational", "trailing bytes",
	}[f]
}

// class is a class by its retry rule; its value is its name in the configuration.
type class string

const (
	idempotent      class = "safe"
	idempotentByKey class = "keyed"
	nonIdempotent   class = "unsafe"
)

// outcome is what a client makes of its response.
type outcome string

const (
	served   outcome = "served"
	shed     outcome = "shed"     // a retry is harmless
	failed   outcome = "failed"   // no such promise
	rejected outcome = "rejected" // the request is at fault
)

// testCase is a row of the table.
type testCase struct {
	name     string
	class    class
	faults   []fault // of the first, second, ... attempt; the last stands for all that follow
	want     outcome
	attempts int // that are received by a backend
}

// testCases returns the table.
func testCases() []testCase {
	var all []testCase
	for _, class := range []class{idempotent, idempotentByKey, nonIdempotent} {
		for f := serve; f <= hang; f++ {
			all = append(all, onceFaulty(class, f))
		}
		afterOverload := testCase{
			name: "overloaded, then an error", class: class,
			faults: []fault{overloaded, serverError, serve}, want: served, attempts: 3,
		}
		if class == nonIdempotent { // the second attempt may have run
			afterOverload.want, afterOverload.attempts = failed, 2
		}
		all = append(all,
			testCase{"overloaded everywhere", class, []fault{overloaded}, shed, 3},
			afterOverload,
			testCase{"invalid request", class, []fault{invalidRequest}, rejected, 1},
			testCase{"created", class, []fault{created}, served, 1},
			testCase{"informational", class, []fault{informational}, served, 1},
			testCase{"bytes behind the response", class, []fault{trailingBytes}, served, 1},
		)
	}
	all = append(all,
		testCase{"errors everywhere", idempotent, []fault{serverError}, shed, 3},
		// A cell may have run it: no promise.
		testCase{"errors everywhere", idempotentByKey, []fault{serverError}, failed, 3},
		testCase{"unavailable everywhere", nonIdempotent, []fault{unavailable}, failed, 1},
	)
	for i := range all {
		all[i].name = fmt.Sprintf("%s, %s", all[i].class, all[i].name)
	}
	return all
}

// onceFaulty returns the case of one attempt with a fault and no fault after it.
func onceFaulty(class class, f fault) testCase {
	c := testCase{name: f.String(), class: class, faults: []fault{f, serve}, want: served, attempts: 2}
	switch {
	case f == serve, f == notListening:
		c.attempts = 1
	case class == nonIdempotent && f.mayHaveRun(): // it may have run: no retry, and no promise
		c.want, c.attempts = failed, 1
	}
	return c
}
