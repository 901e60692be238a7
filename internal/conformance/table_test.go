package conformance

import "fmt"

// fault is the behaviour of a backend for one attempt.
type fault int

const (
	serve              fault = iota // no fault: 200 with the body of the attempt
	notListening                    // the connection is refused
	overloaded                      // rejected with the proof that the request did not run
	serverError                     // an error of the backend itself
	unavailable                     // rejected without the proof
	reset                           // the connection closes after the request has been received
	truncatedHead                   // the response ends in its head
	truncatedBody                   // the response ends in its body
	garbage                         // bytes that are not a response
	conflictingFraming              // the response gives its length in two ways
	tooLarge                        // the response exceeds the limit
	stall                           // the response stops in its body and the connection stays open
	shortLength                     // the announced length is that of the first part of the body
	trailingBytes                   // noise follows a response, which may also be the rest of its body
	noLengthReset                   // a body that ends with the connection, which is reset
	hang                            // no response

	invalidRequest   // 4xx: the request is invalid
	created          // 201
	informational    // 1xx responses before the final one
	repeatedResponse // a served response that is sent twice
	noLength         // a served response whose body ends with the connection
)

// mayHaveRun reports whether an attempt that ended with the fault may have run.
func (f fault) mayHaveRun() bool { return f > overloaded }

// String returns the name of the fault.
func (f fault) String() string {
	return [...]string{
		"serve", "not listening", "overloaded", "server error", "unavailable", "reset", "truncated head",
		"truncated body", "garbage", "conflicting framing", "too large", "stall", "short length", "trailing bytes",
		"no length and a reset", "hang",
		"invalid request", "created", "informational", "repeated response", "no length",
	}[f]
}

// class is a class with a retry rule. Its value is the name of the class and of the rule in the
// configuration.
type class string

const (
	idempotent      class = "safe"
	idempotentByKey class = "keyed"
	nonIdempotent   class = "unsafe"
)

// outcome is the result of a request as the client sees it.
type outcome string

const (
	served   outcome = "served"
	shed     outcome = "shed"     // not run: the client may retry without harm
	failed   outcome = "failed"   // the request may have run
	rejected outcome = "rejected" // the request is invalid
)

// testCase is a row of the table.
type testCase struct {
	name     string
	class    class
	faults   []fault // fault of each attempt; the last one holds for all further attempts
	want     outcome
	attempts int // attempts that the backends receive
}

// testCases returns the cases of the table.
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
			testCase{"repeated response", class, []fault{repeatedResponse}, served, 1},
			testCase{"no length", class, []fault{noLength}, served, 1},
		)
	}
	all = append(all,
		testCase{"errors everywhere", idempotent, []fault{serverError}, shed, 3},
		// A backend may have run the request, so the client may not retry without harm.
		testCase{"errors everywhere", idempotentByKey, []fault{serverError}, failed, 3},
		testCase{"unavailable everywhere", nonIdempotent, []fault{unavailable}, failed, 1},
	)
	for i := range all {
		all[i].name = fmt.Sprintf("%s, %s", all[i].class, all[i].name)
	}
	return all
}

// onceFaulty returns the case of a first attempt with a fault and further attempts without.
func onceFaulty(class class, f fault) testCase {
	c := testCase{name: f.String(), class: class, faults: []fault{f, serve}, want: served, attempts: 2}
	switch {
	case f == serve, f == notListening:
		c.attempts = 1
	case class == nonIdempotent && f.mayHaveRun(): // no retry, and the request may have run
		c.want, c.attempts = failed, 1
	}
	return c
}
