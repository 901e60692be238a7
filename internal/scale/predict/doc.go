// Package predict computes from the fits of scale tests what each role costs in a fleet of a stated
// size: at rest, for any number of services that a proxy follows, and in events such as the loss of
// a zone. It generates the tables of docs/CAPACITY.md.
//
// The package is pure. A Calculator may be used concurrently.
package predict
