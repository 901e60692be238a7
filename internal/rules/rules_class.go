package rules

// classRules are the rules about idempotency and retries, times and limits.
var classRules = []Rule{
	{
		ID: UnsafeResend, Group: groupRepeat,
		What:    "an unsafe class that allows retries",
		Why:     "the request may have run, so that a charge would be posted twice",
		Instead: `write resend = "never" or remove the field`,
	},
	{
		ID: UnsafeEarly, Group: groupRepeat,
		What:    "early data for a class that is not safe",
		Why:     "early data can be replayed by anyone who has recorded it (RFC 8446, section 8)",
		Instead: "remove early_data; such requests get status 425 and clients retry them after the handshake",
	},
	{
		ID: Hedge, Group: groupRepeat,
		What: "hedged requests",
		Why: "concurrent attempts of a request are not supported, because each loads a backend and " +
			"both may run",
		Instead: "remove hedge; a slow attempt is cancelled and the next one started by the module",
	},
	{
		ID: KeyedScope, Group: groupRepeat,
		What:    "a keyed class that allows retries outside the dedup scope",
		Why:     "a backend that does not know the key runs the request again",
		Instead: `write resend = "scope" or "never"`,
	},
	{
		ID: KeyedWindow, Group: groupRepeat, Since: 2,
		What:    "a keyed class whose time limit is longer than the dedup window",
		Why:     "a retry after the window runs again",
		Instead: "shorten the time limit, or extend the dedup window of the backends",
	},
	{
		ID: KeyedKey, Group: groupRepeat, Since: 2,
		What:    "a keyed class without a valid key field",
		Why:     "without a key backends can't recognize duplicates",
		Instead: `write key = "Idempotency-Key", or another field that carries the key`,
	},
	{
		ID: KeyedFields, Group: groupRepeat,
		What:    "a deduplication field in a class that is not keyed",
		Why:     "the field would promise a protection that does not exist",
		Instead: `remove the field, or write repeat = "keyed"`,
	},
	{
		ID: RefusalCode, Group: groupRepeat,
		What:    "a status code that wrongly states that a request has not run",
		Why:     "clients retry at once after 503 or 429, so a request that may have run would run twice",
		Instead: "use 503 or 429 for refused, and 500, 502 or 504 for requests that may have run",
	},
	{
		ID: Objective, Group: groupTime,
		What:    "an objective longer than the deadline",
		Why:     "no response could be both late and within the deadline",
		Instead: "shorten the objective",
	},
	{
		ID: LimitObjective, Group: groupTime, Since: 2,
		What:    "a time limit of the caller that is shorter than the objective of the called class",
		Why:     "calls that meet the objective would be cancelled",
		Instead: "extend the time limit to at least the objective",
	},
	{
		ID: LimitDeadline, Group: groupTime,
		What:    "a time limit longer than the deadline of the class",
		Why:     "the deadline applies first, so the time limit would have no effect",
		Instead: "shorten the time limit",
	},
	{
		ID: DrainGrace, Group: groupTime, Since: 2,
		What:    "a drain grace over 250 ms",
		Why:     "a draining backend may stop 250 ms after its notification, and later requests are lost",
		Instead: `write "250ms" or less`,
	},
	{
		ID: ColdMultiple, Group: groupTime,
		What:    "a cold backend that can take less load than sidecars may send it",
		Why:     "a backend that is overloaded while it warms up does not recover",
		Instead: "warm backends up before they serve, or state the multiple of load that they can take",
	},
	{
		ID: TenantShares, Group: groupLimit, Since: 2,
		What:    "tenants whose portions add up to more than 1",
		Why:     "capacity would be promised to more than one tenant",
		Instead: "lower the portions to a sum of at most 1",
	},
	{
		ID: ListenerClash, Group: groupLimit, Since: 2,
		What:    "two listeners with the same address",
		Why:     "the second listener can't open, and the sidecar does not start",
		Instead: "use a different port for each listener",
	},
	{
		ID: Sockets, Group: groupLimit,
		What:    "more file descriptors for connections than the process has",
		Why:     "new connections would fail under load",
		Instead: "raise process.sockets, or lower connections",
	},
	{
		ID: Memory, Group: groupLimit,
		What:    "bodies larger than the memory of the process allows",
		Why:     "one request could take the memory that all requests share",
		Instead: "raise process.memory_mb, or lower max_body and max_answer",
	},
}
