// Package bench measures the sidecar against a peer, httputil.ReverseProxy, on the same machine and
// in the same run, with a client and backends that cost little themselves.
package bench
