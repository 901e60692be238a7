package rules

// classRules are the rules about what may run again, times and limits.
var classRules = []Rule{
	{
		ID: UnsafeResend, Group: groupRepeat,
		What:    "an unsafe class with an allowance to be sent again",
		Why:     "it may have run: a charge would be posted twice",
		Instead: `write resend = "never" or leave it out`,
	},
	{
		ID: UnsafeEarly, Group: groupRepeat,
		What:    "early data for a class that is not safe",
		Why:     "early data can be replayed by anybody who has recorded it (RFC 8446, section 8)",
		Instead: "leave early_data out: such requests get 425 and come again after the handshake",
	},
	{
		ID: Hedge, Group: groupRepeat,
		What:    "a hedge",
		Why:     "two attempts of a request at once are never made: each loads a backend, and both may run",
		Instead: "leave it out; a slow attempt is given up and the next begun by the module",
	},
	{
		ID: KeyedScope, Group: groupRepeat,
		What:    "a keyed class sent again outside the scope that drops its repeats",
		Why:     "a backend that does not know the key runs it again",
		Instead: `write resend = "scope" or "never"`,
	},
	{
		ID: KeyedWindow, Group: groupRepeat, Since: 2,
		What:    "a keyed class whose time limit outlasts the window",
		Why:     "a repeat after the window runs again",
		Instead: "shorten the time limit, or have the backends recall longer",
	},
	{
		ID: KeyedKey, Group: groupRepeat, Since: 2,
		What:    "a keyed class without a source of its key",
		Why:     "without a key no backend can tell a repeat",
		Instead: `write key = "Idempotency-Key", or the field that carries it`,
	},
	{
		ID: KeyedFields, Group: groupRepeat,
		What:    "fields of a keyed class on one that is not",
		Why:     "they promise a protection that does not exist",
		Instead: `remove them, or write repeat = "keyed"`,
	},
	{
		ID: RefusalCode, Group: groupRepeat,
		What:    "an answer's code that promises more than is true",
		Why:     "a client that reads 503 or 429 sends again at once: what may have run would run twice",
		Instead: "use 503 or 429 for refused, 500, 502 or 504 for what may have run",
	},
	{
		ID: Objective, Group: groupTime,
		What:    "an objective beyond the deadline",
		Why:     "no request could ever be late and served",
		Instead: "shorten the objective",
	},
	{
		ID: LimitObjective, Group: groupTime, Since: 2,
		What:    "a caller's time limit under its callee's objective",
		Why:     "calls that go as promised would be given up",
		Instead: "raise the limit to the objective at least",
	},
	{
		ID: LimitDeadline, Group: groupTime,
		What:    "a time limit beyond the class's deadline",
		Why:     "the deadline holds anyway, so the limit says what is not so",
		Instead: "shorten it",
	},
	{
		ID: DrainGrace, Group: groupTime, Since: 2,
		What:    "a drain grace over 250 ms",
		Why:     "a backend that drains may end 250 ms after it said so: requests sent later are lost",
		Instead: `write "250ms" or less`,
	},
	{
		ID: ColdMultiple, Group: groupTime,
		What:    "a cold backend that takes less than sidecars send it",
		Why:     "one that is pushed over stays down",
		Instead: "start backends warmer, or state the multiple that they bear",
	},
	{
		ID: TenantShares, Group: groupLimit, Since: 2,
		What:    "tenants whose portions are over 1 together",
		Why:     "what one is promised would be another's",
		Instead: "lower them to 1 together",
	},
	{
		ID: ListenerClash, Group: groupLimit, Since: 2,
		What:    "two listeners at one address",
		Why:     "the second can't open, and the sidecar does not start",
		Instead: "give each its own port",
	},
	{
		ID: Sockets, Group: groupLimit,
		What:    "more descriptors for pools than the process has",
		Why:     "the last connections would fail under load",
		Instead: "raise process.sockets, or lower connections",
	},
	{
		ID: Memory, Group: groupLimit,
		What:    "bodies larger than the process has memory for",
		Why:     "one request could take what all share",
		Instead: "raise process.memory_mb, or lower max_body and max_answer",
	},
}
