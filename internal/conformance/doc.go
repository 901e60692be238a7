// Package conformance tests every front with every upstream against one table of requests, faults
// and expected outcomes (table_test.go). The tests drive a sidecar from the outside, with a client
// in front of it and stand-in backends behind it. A new protocol adds a front or an upstream. It
// adds cases of its own only if their meaning differs from that of the table.
//
// The table checks the rules on retries as clients and backends see them. A request that may have
// run is retried only if it is idempotent, or if it is idempotent by key and the retry is sent to
// the same dedup scope. A request that a backend has rejected as overloaded may be retried
// anywhere.
package conformance
