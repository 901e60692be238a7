// Package fit computes how each metric of each role grows, from the results of sweeps. It fits one
// line to each sweep, and one model to all sweeps of a source. The terms of a model are costs per
// proxy, per service followed, and so on.
//
// Held-out points are never part of a fit. They are compared with its predictions. The package does
// no I/O, and its functions are safe for concurrent use.
package fit
