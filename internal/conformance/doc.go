// Package conformance tests every front with every upstream against one table of requests, faults
// and expected outcomes (table_test.go), driven from outside: a client on one side, stand-in
// backends on the other. A new protocol adds a front or an upstream, and no cases of its own where
// their meaning is the same.
//
// The table shows the rules on attempts from the outside: a request that may have run is sent again
// only if it is idempotent, or to the same dedup scope if it is idempotent by key; a backend that
// rejects a request as overloaded leaves it free for another attempt.
package conformance
