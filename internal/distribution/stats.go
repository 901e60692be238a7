package distribution

// Stats are the metrics of a source or a relay: counters since its start, and gauges.
type Stats struct {
	Name             string `json:"name"`
	Sessions         int    `json:"sessions"`           // gauge
	WaitingReads     int    `json:"waiting_reads"`      // gauge
	Resources        int    `json:"resources"`          // gauge
	StoreBytes       int64  `json:"store_bytes"`        // gauge: keys and values
	CacheBytes       int64  `json:"cache_bytes"`        // gauge: encoded updates
	BytesIn          int64  `json:"bytes_in"`           // on followers' connections
	BytesOut         int64  `json:"bytes_out"`          // on followers' connections
	MessagesIn       int64  `json:"messages_in"`        // reads and writes
	MessagesOut      int64  `json:"messages_out"`       // their responses
	Puts             int64  `json:"puts"`               // writes that changed a resource
	SnapshotUpdates  int64  `json:"whole_updates"`      // snapshots sent
	DeltaUpdates     int64  `json:"delta_updates"`      // deltas sent
	Encodings        int64  `json:"encodings"`          // of updates; all followers that get the same update share one
	CoalescedUpdates int64  `json:"coalesced_updates"`  // sent together with an earlier one of the same resource
	RejectedUpdates  int64  `json:"refused_updates"`    // rejected by followers
	RejectedSessions int64  `json:"refused_sessions"`   // not opened because of a limit
	UnknownSessions  int64  `json:"unknown_sessions"`   // reads answered with status 410
	ExpiredSessions  int64  `json:"ended_sessions"`     // expired without a read
	UrgentHeldUs     int64  `json:"urgent_held_us"`     // the longest time that an urgent item waited, in microseconds
	SourceAgeMs      int64  `json:"source_age_ms"`      // gauge: milliseconds since the source was last heard from
	UpstreamBytesIn  int64  `json:"upstream_bytes_in"`  // of a relay
	UpstreamBytesOut int64  `json:"upstream_bytes_out"` // of a relay
	UpstreamMessages int64  `json:"upstream_messages"`  // of a relay: requests to its upstream
	UpstreamSwitches int64  `json:"upstream_switches"`  // of a relay: changes from one upstream to another
}
