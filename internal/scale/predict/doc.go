// Package predict computes the costs of each role in a fleet of a given size from the fits of scale
// tests: on an ordinary day, for any number of followed services, and in events such as the loss of
// a zone. It generates the tables of docs/CAPACITY.md.
//
// The package does no I/O. A Calculator is safe for concurrent use.
package predict
