// Package logic decides, for one proxy of one tier, which server gets each call and which calls are
// refused. This file is its interface: settings, events and actions. It holds no decisions; those are
// all in logic.go.
//
// One Balancer serves one proxy. It is not safe for concurrent use: the owner calls one event method at
// a time, in the order in which the events happened, each with the time of the owner's clock. Times and
// durations are whole microseconds; the clock may begin anywhere and only advances. A Balancer keeps no
// goroutines, locks or global state, reads no clock and draws its random numbers from the seed alone, so
// the same events give the same actions.
package logic

import "fmt"

// Idempotency tells whether a class of requests may run more than once.
type Idempotency int

// The repeat classes.
const (
	Idempotent      Idempotency = iota // may run any number of times
	IdempotentByKey                    // carries a key; servers of one group drop repeats within Class.DedupWindow
	NonIdempotent                      // must never run twice
)

// DedupScope is the set of servers that drop a Keyed class's repeats between them.
type DedupScope int

// The groups of servers.
const (
	DedupTier DedupScope = iota // all servers of the tier
	DedupZone                   // those of one zone
	DedupCell                   // those of one cell
)

// Class describes one class of requests.
type Class struct {
	LatencyObjective   int64   // an answer within this earns the full worth
	Deadline           int64   // a client waits this long at most, all its tries included
	PriorityWeight     float64 // worth of one request
	LatePriorityFactor float64 // part of the worth earned between aim and deadline
	Idempotency        Idempotency
	DedupScope         DedupScope // for Keyed
	DedupWindow        int64      // for Keyed: how long repeats are dropped, from the first send that may have run
	Ordered            bool       // requests with one key run one at a time, in the order in which this proxy took them
}

// Tenant describes one origin of requests.
type Tenant struct {
	CapacityFraction float64 // its part of the service
	Quota            float64 // requests a second inside its share, over all proxies
}

// Settings are handed over once, at the start, and not changed afterwards.
type Settings struct {
	Tier              int // the tier that this proxy sends to; 0 is the front
	Replicas          int // proxies of this tier, this one included
	ReplicaIndex      int // this proxy's number among them, from 0
	Zone              int // this proxy's zone
	Zones             int
	Classes           []Class
	Tenants           []Tenant // may be empty
	WatchEndpoints    bool     // the list of servers comes only after Host.WatchEndpoints
	WeightedEndpoints bool     // Endpoint.Weight compares servers; otherwise it says nothing

	MaxAttempts         int   // sends for one request at most
	OrderingDelay       int64 // ByArrival: a key rests this long after a time-out, reset or cancel
	RejectionMayHaveRun bool  // FullUp is no proof that an attempt never ran

	// In any BudgetSpan, attempts beyond each request's first number at most BudgetFree plus BudgetShare
	// times the requests taken in it. A BudgetSpan of 0: no budget is stated, and the module keeps its own.
	RetryBudgetWindow int64
	RetryBudgetMin    float64
	RetryBudgetRatio  float64

	MaxSendDelay int64 // from a repeat's Send to its leaving at most: a connection may have to come up; 0: it leaves at once

	MaxRetryAfter int64 // the longest hint that a client heeds; 0: hints are not heeded
	DrainGrace    int64 // sends to a draining or gone server must have stopped by then
	PollInterval  int64 // with Subscribe: the longest time without a subscription or a call

	SlowStartMinCapacity float64 // part of its capacity that a server starts with, at least
	SlowStartWindow      int64   // a server is warm after this at the latest

	PriorityPerWork bool // worth is counted for each unit of work, not for each request

	ColdEvenly bool // that a cold server holds fewer calls than warm ones gives it no better chance
}

// State is what the list says of a server.
type State int

// The states of a server.
const (
	Removed State = iota
	Ready
	Draining
)

// Endpoint is an entry of the list of servers.
type Endpoint struct {
	ID        string
	Zone      int
	Cell      int
	State     State
	Weight    float64
	StartedAt int64 // when it last started; 0: long ago
}

// UpdateKind tells what a List event holds.
type UpdateKind int

// The kinds of list.
const (
	Delta          UpdateKind = iota // changed entries only
	Snapshot                         // the whole list
	CachedSnapshot                   // the whole list as last known, maybe old
	UpdateFailed                     // a call or the subscription failed; the old list stands
	// RestoredSnapshot is the whole list as an earlier process knew it: an address may be another service's by now. Until
	// a list comes, what may not be repeated goes only to servers that have served a call.
	RestoredSnapshot
)

// Request is a request that a client has handed to this proxy.
type Request struct {
	ID             string
	Class          int
	Tenant         int
	Key            string // its subject, or empty
	ClientDeadline int64  // when the client abandons it
	// Where its clients can open no more connections: how many they have, and how many of these carry no
	// request. Lines is 0 where they can.
	ClientConnections, IdleClientConnections int
}

// Status is how an attempt ended.
type Status int

// The outcomes of an attempt. Full, ConnectFailed and Moot prove that it never ran.
const (
	OK Status = iota
	Error
	Overloaded
	TimedOut
	ConnectFailed
	Reset
	Canceled
	NotSent
)

// Outcome is the end of an attempt; each Send gets exactly one.
type Outcome struct {
	ID          string
	Attempt     int // 0 for the first Send of a request
	Status      Status
	Latency     int64
	RequestDone bool // the request is over; otherwise this proxy still owes the final answer
}

// Host carries out what a Balancer decides. Its methods are called from inside event methods, are to
// return at once and must not call back into the Balancer.
type Host interface {
	// Forward passes a request to a server and gives the attempt up after timeout; 0 is the client's time.
	Forward(id, server string, timeout int64)
	// Shed ends a request unserved; the client may safely come again, after the given time.
	Shed(id string, after int64)
	// Fail ends a request without any promise.
	Fail(id string)
	// SetTimer asks for a Timer event after delay.
	SetTimer(delay int64, token string)
	// WatchEndpoints opens the standing subscription to the list of servers.
	WatchEndpoints()
	// Log shows a line to on-call staff.
	Log(line string)
}

func (s Settings) validate() error {
	for _, c := range []struct {
		bad   bool
		field string
	}{
		{len(s.Classes) == 0, "Classes: none given"},
		{s.Zones < 1, "Zones: fewer than one"},
		{s.Zone < 0 || s.Zone >= s.Zones, "Zone: out of range"},
		{s.Replicas < 1, "Siblings: fewer than one"},
		{s.ReplicaIndex < 0, "Ordinal: negative"},
		{s.Tier < 0, "Stage: negative"},
		{s.MaxAttempts < 1, "MaxAttempts: fewer than one"},
		{s.MaxSendDelay < 0, "Lag: negative"},
		{s.MaxRetryAfter < 0, "MaxRetryAfter: negative"},
		{s.OrderingDelay < 0, "OrderSettle: negative"},
		{s.RetryBudgetWindow < 0, "BudgetSpan: negative"},
		{!(s.RetryBudgetMin >= 0), "BudgetFree: negative"},
		{!(s.RetryBudgetRatio >= 0), "BudgetShare: negative"},
		{s.DrainGrace < 0, "DrainGrace: negative"},
		{s.PollInterval < 0 || s.WatchEndpoints && s.PollInterval == 0, "AskEvery: not positive"},
		{!(s.SlowStartMinCapacity >= 0 && s.SlowStartMinCapacity <= 1), "StartCapacity: not within 0 and 1"},
		{s.SlowStartWindow < 0, "Cold: negative"},
	} {
		if c.bad {
			return fmt.Errorf("logic: Settings.%s", c.field)
		}
	}
	for i, c := range s.Classes {
		switch {
		case c.LatencyObjective <= 0:
			return fmt.Errorf("logic: Settings.Classes[%d].Aim: not positive", i)
		case c.Deadline <= 0:
			return fmt.Errorf("logic: Settings.Classes[%d].Deadline: not positive", i)
		case !(c.PriorityWeight >= 0):
			return fmt.Errorf("logic: Settings.Classes[%d].Worth: negative", i)
		case !(c.LatePriorityFactor >= 0):
			return fmt.Errorf("logic: Settings.Classes[%d].LateWorth: negative", i)
		case c.Idempotency < Idempotent || c.Idempotency > NonIdempotent:
			return fmt.Errorf("logic: Settings.Classes[%d].Repeat: unknown", i)
		case c.DedupScope < DedupTier || c.DedupScope > DedupCell:
			return fmt.Errorf("logic: Settings.Classes[%d].Group: unknown", i)
		case c.DedupWindow < 0:
			return fmt.Errorf("logic: Settings.Classes[%d].Window: negative", i)
		}
	}
	for i, t := range s.Tenants {
		if !(t.CapacityFraction >= 0) || !(t.Quota >= 0) {
			return fmt.Errorf("logic: Settings.Tenants[%d]: negative Portion or Quota", i)
		}
	}
	return nil
}
