package distribution

// Stats are the counters of a source or a relay, since its start but for those that say what is now.
type Stats struct {
	Name             string `json:"name"`
	Sessions         int    `json:"sessions"`           // now
	WaitingReads     int    `json:"waiting_reads"`      // now
	Resources        int    `json:"resources"`          // now
	StoreBytes       int64  `json:"store_bytes"`        // of keys and values, now
	CacheBytes       int64  `json:"cache_bytes"`        // of encoded updates, now
	BytesIn          int64  `json:"bytes_in"`           // on followers' connections
	BytesOut         int64  `json:"bytes_out"`          // on followers' connections
	MessagesIn       int64  `json:"messages_in"`        // reads and writes
	MessagesOut      int64  `json:"messages_out"`       // their answers
	Puts             int64  `json:"puts"`               // that changed a resource
	FullUpdates      int64  `json:"whole_updates"`      // sent
	DeltaUpdates     int64  `json:"delta_updates"`      // sent
	Encodings        int64  `json:"encodings"`          // of updates, each shared by all followers that get the same
	CoalescedUpdates int64  `json:"coalesced_updates"`  // that went together with an earlier one
	RejectedUpdates  int64  `json:"refused_updates"`    // by followers
	RejectedSessions int64  `json:"refused_sessions"`   // turned away over a bound
	UnknownSessions  int64  `json:"unknown_sessions"`   // answered 410
	EndedSessions    int64  `json:"ended_sessions"`     // that did not read any more
	UrgentHeldUs     int64  `json:"urgent_held_us"`     // the longest time that an urgent item was held, microseconds
	SourceAgeMs      int64  `json:"source_age_ms"`      // since the source was last heard, now
	UpstreamBytesIn  int64  `json:"upstream_bytes_in"`  // of a relay
	UpstreamBytesOut int64  `json:"upstream_bytes_out"` // of a relay
	UpstreamMessages int64  `json:"upstream_messages"`  // of a relay: requests to its upstream
	UpstreamSwitches int64  `json:"upstream_switches"`  // of a relay, from one upstream to another
}
