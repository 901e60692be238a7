// Package distribution carries versioned resources, such as endpoint lists, from a source through
// relays to the proxies that follow them. It holds the messages and the state machines, and is
// pure: no I/O, no clock, no goroutine. Time is an argument, and the transports and timers are in
// the packages below this one.
//
// # Terms
//
// A resource is a named set of items, each a JSON value under a key. The source is the one process
// that accepts writes. A relay follows the source, or another relay, and serves what it has
// received. A follower is whoever reads: a proxy, or a relay on behalf of the followers behind it.
//
// Each write gives the resource a new [Version], which is a pair of an epoch and a revision. The
// source raises the epoch at each start and the revision at each write, so that versions stay
// ordered even where a restart has lost writes.
//
// # Reads, sessions and resume
//
// A follower has one long poll (a read) open for all resources that it follows ([FollowRequest]).
// The first read opens a session at the relay and states all positions; each further read states
// what has changed since. A [Position] is the version that the follower has in force, and a later
// one that it has rejected. A relay answers with an [Update] for each resource that has a later
// version: a delta (the items changed since the follower's version) where the [Store] still has
// that part of the history, else a snapshot (all items).
//
// A session is a cache of what its follower said and nothing more. A relay that does not know a
// session answers status 410, and the follower opens a new one with all its positions. Resuming
// after a lost connection, a relay's restart and a failover to another relay are therefore the same
// message.
//
// # Coalescing and urgent items
//
// A relay holds an update back for a short time ([SessionLimits].Coalesce), so that the changes of
// a burst go out as one update. An urgent item, which takes an endpoint out of use, is not held
// back, and whatever else is pending goes with it. [Sessions] computes what is pending when a read
// can be answered, so that there is no backlog for a slow reader.
//
// # In-force reports
//
// A proxy's positions are its report of what is in force. A relay sums up those of the proxies
// behind it in a [ResourceStatus] for each resource and sends it upstream. Such a report is a
// snapshot, not a delta: the last one of each relay counts ([MergeStatus]).
//
// # What survives a restart
//
// The source keeps its resources and its epoch on disk (package statedir). A relay keeps nothing:
// it reads again what its followers ask for. A follower keeps what its subscriber keeps, and states
// it as its first position.
//
// The reasons behind this design are in docs/design/distribution.md.
package distribution
