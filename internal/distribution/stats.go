package distribution

// Stats are the metrics of a source or a relay: gauges, and counters since the process start.
type Stats struct {
	Name             string `json:"name"`
	Sessions         int    `json:"sessions"`           // gauge
	WaitingReads     int    `json:"waiting_reads"`      // gauge
	Resources        int    `json:"resources"`          // gauge
	StoreBytes       int64  `json:"store_bytes"`        // gauge: size of keys and values
	CacheBytes       int64  `json:"cache_bytes"`        // gauge: size of cached encoded updates
	BytesIn          int64  `json:"bytes_in"`           // received on followers' connections
	BytesOut         int64  `json:"bytes_out"`          // sent on followers' connections
	MessagesIn       int64  `json:"messages_in"`        // reads and writes received
	MessagesOut      int64  `json:"messages_out"`       // responses to reads and writes
	Puts             int64  `json:"puts"`               // writes that changed a resource
	SnapshotUpdates  int64  `json:"whole_updates"`      // snapshots sent
	DeltaUpdates     int64  `json:"delta_updates"`      // deltas sent
	Encodings        int64  `json:"encodings"`          // encoded updates; followers of the same update share one
	CoalescedUpdates int64  `json:"coalesced_updates"`  // updates sent with an earlier one of the same resource
	RejectedUpdates  int64  `json:"refused_updates"`    // updates rejected by proxies
	RejectedSessions int64  `json:"refused_sessions"`   // sessions not opened because of a limit
	UnknownSessions  int64  `json:"unknown_sessions"`   // reads answered with status 410
	ExpiredSessions  int64  `json:"ended_sessions"`     // expired without a read
	UrgentHeldUs     int64  `json:"urgent_held_us"`     // longest delay of an urgent item, in microseconds
	SourceAgeMs      int64  `json:"source_age_ms"`      // gauge: time since the source responded, in milliseconds
	UpstreamBytesIn  int64  `json:"upstream_bytes_in"`  // received by a relay from its upstreams
	UpstreamBytesOut int64  `json:"upstream_bytes_out"` // sent by a relay to its upstreams
	UpstreamMessages int64  `json:"upstream_messages"`  // requests of a relay to its upstreams
	UpstreamSwitches int64  `json:"upstream_switches"`  // switches of a relay from one upstream to another
}
