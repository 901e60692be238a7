// Package distribution defines the messages and state machines that distribute versioned resources,
// such as endpoint lists, from a source through relays to the proxies that follow them. The package
// performs no I/O, reads no clock and starts no goroutine: time is an argument, and the transports
// and timers are in its subpackages.
//
// # Terms
//
// A resource is a named set of items, each a JSON value under a key. The source is the one process
// that accepts writes. A relay follows the source or another relay and serves the resources that it
// has received. A follower is a process that reads resources: a proxy, or a relay on behalf of the
// followers behind it.
//
// Each write gives the resource a new [Version], which is a pair of an epoch and a revision. The
// source raises the epoch at each start and increments the revision at each write, so that versions
// remain ordered even if a restart has lost writes.
//
// # Reads, sessions and resume
//
// A follower keeps one long poll (a read, [FollowRequest]) open for all resources that it follows.
// The first read opens a session at the relay and contains all positions. Each further read
// contains the positions that have changed since. A [Position] consists of the version that the
// follower has in force and of a later version that the follower has rejected, if any. A relay
// responds with an [Update] for each resource that has a later version. The update is a delta (the
// items changed since the follower's version) if the [Store] still has that part of the history,
// and a snapshot (all items) otherwise.
//
// A session only caches what its follower has sent. A relay that does not know a session responds
// with status 410, and the follower opens a new session with all its positions. Resuming after a
// lost connection, after a restart of the relay and after a failover to another relay therefore use
// the same message.
//
// # Coalescing and urgent items
//
// A relay delays an update for a short time ([SessionLimits].Coalesce), so that the changes of a
// burst are sent as one update. An urgent item, which takes an endpoint out of use, is not delayed,
// and all other pending updates are sent with it. [Sessions] computes the pending updates when a
// read can be answered, so that a slow reader has no backlog.
//
// # In-force reports
//
// The positions of a proxy report which versions the proxy has in force. A relay sums up the
// positions of the proxies behind it in a [ResourceStatus] for each resource and sends the status
// upstream. Such a report is a snapshot, not a delta: the last report of each relay counts
// ([MergeStatus]).
//
// # Persistence
//
// The source keeps its resources and its epoch on disk (package statedir). A relay persists nothing
// and reads the resources of its followers again after a restart. The first position that a
// follower sends for a resource is the version that its subscriber has kept.
//
// The reasons for this design are in docs/design/distribution.md.
package distribution
