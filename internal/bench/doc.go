// Package bench compares the sidecar with httputil.ReverseProxy, on the same machine and in the
// same run. Its client and backends use little processor time themselves.
package bench
