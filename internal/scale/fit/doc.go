// Package fit computes from the results of sweeps how each figure of each role grows: a line for
// each sweep, and one model over all sweeps of a source whose terms are costs per proxy, per
// service followed, and so on.
//
// Points that are held out are never part of a fit; they are compared with its predictions. The
// package is pure, and its functions may be called concurrently.
package fit
