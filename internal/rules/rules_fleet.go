package rules

// fleetRules are the rules about all files together, the catalogue, and warnings.
var fleetRules = []Rule{
	{
		ID: ClassDisagrees, Group: groupFleet,
		What:    "two parties that disagree about a class's repeat rule, scope, window or key",
		Why:     "one of them sends again what the other may run twice",
		Instead: "write what the owner of the service states",
	},
	{
		ID: LimitGrows, Group: groupFleet,
		What:    "a time limit that grows down the chain",
		Why:     "the inner call works on when its caller has long given up",
		Instead: "shorten the inner limit, or name the classes that cause the call in for",
	},
	{
		ID: WindowChain, Group: groupFleet,
		What:    "an outer tier that may send again after an inner window is over",
		Why:     "the inner backends no longer recall the key and run it again",
		Instead: "shorten the outer limits, widen the window, or name the classes that cause the call in for",
	},
	{
		ID: RepeatChain, Group: groupFleet,
		What: "a safe class that may be sent again and causes an unsafe call",
		Why:  "each run of it makes the call anew: a charge would be posted twice",
		Instead: "make the outer class keyed or unsafe, write resend = \"never\" for it, or name the " +
			"classes that cause the call in for",
	},
	{
		ID: ScopeChain, Group: groupFleet,
		What: "a safe class that may be sent again and causes a keyed call whose repeats one of " +
			"several pods drops",
		Why: "each run of it calls anew, and the second call may go to another pod, which does " +
			"not know the key",
		Instead: "make the outer class keyed, write resend = \"never\" for it, have the whole service " +
			"drop repeats, or name the classes that cause the call in for",
	},
	{
		ID: RetryFactor, Group: groupFleet,
		What:    "retries that multiply over tiers past the stated factor",
		Why:     "when the last tier is slow every tier sends more, and it drowns",
		Instead: "lower retry_budget.share at the outer tiers",
	},
	{
		ID: ServiceCycle, Group: groupFleet,
		What:    "services that call each other in a circle",
		Why:     "one request goes round until every pool on its way is full",
		Instead: "break the circle; a class that never leads on is told by for",
	},
	{
		ID: HostClash, Group: groupFleet,
		What:    "listeners of two applications at one address of one host",
		Why:     "the second sidecar can't start",
		Instead: "give each its own port",
	},
	{
		ID: ShareSum, Group: groupFleet,
		What:    "applications whose shares of a service are over 1 together",
		Why:     "together they may send more than the service was built for",
		Instead: "lower them to 1 together",
	},
	{
		ID: PodDisagrees, Group: groupFleet,
		What:    "applications that place one endpoint in different cells or zones",
		Why:     "one of them sends a repeat to a pod that does not know the key",
		Instead: "generate all files from one catalogue",
	},
	{
		ID: PodMoves, Group: groupFleet,
		What:    "an endpoint that moves between pods while it serves",
		Why:     "keys that its old pod recalls would run again in the new one",
		Instead: "let it drain for the window and come back under a new name",
	},
	{
		ID: ClassRenamed, Group: groupFleet,
		What:    "a reference to a class by its former name",
		Why:     "files in use would lead nowhere once the old name is gone",
		Instead: "use the new name",
	},
	{
		ID: AppTwice, Group: groupFleet,
		What:    "two files of one application",
		Why:     "nobody could tell which holds",
		Instead: "remove one",
	},
	{
		ID: OwnerTwice, Group: groupFleet,
		What:    "a service that two teams own, or that stands in two files",
		Why:     "two owners state two truths about what may run again",
		Instead: "leave it with the team that runs it",
	},
	{
		ID: OverlayRepeat, Group: groupSource,
		What:    "an environment that touches a class's repeat rule",
		Why:     "what is tested would not be what runs",
		Instead: "change the rule in the service itself, for all environments",
	},
	{
		ID: OverlayNothing, Group: groupSource,
		What:    "an environment that changes what does not exist",
		Why:     "it would change nothing, or invent a service that exists nowhere else",
		Instead: "name what is meant, or declare it first",
	},
	{
		ID: UnknownEnv, Group: groupSource,
		What:    "an environment that is not declared",
		Why:     "its figures would be somebody else's",
		Instead: "use a declared one",
	},
	{
		ID: IncludeOutside, Group: groupSource,
		What:    "an include that leaves the catalogue's directory",
		Why:     "its text is not under the catalogue's review, and digests would not see it change",
		Instead: "move the file into the directory",
	},
	{
		ID: IncludeLoop, Group: groupSource,
		What:    "files that include each other in a circle, or too deep",
		Why:     "reading would not end",
		Instead: "include each file once, from one place",
	},
	{
		ID: IncludeMissing, Group: groupSource,
		What:    "an include of a file that can't be read",
		Why:     "what it says would be missing silently",
		Instead: "add the file, or remove the include",
	},
	{
		ID: OldVersion, Group: groupWarning, Severity: Warning,
		What:    "a file of an older version of the format",
		Why:     "rules of later versions do not hold for it in the sidecar",
		Instead: "run fernctl migrate",
	},
	{
		ID: Unused, Group: groupWarning, Severity: Warning,
		What:    "a service or class that no route leads to",
		Why:     "it takes descriptors and memory and serves nobody",
		Instead: "remove it, or add its route",
	},
	{
		ID: ClassFormer, Group: groupWarning, Severity: Warning,
		What:    "a class that one file has under its former name and another under its new one",
		Why:     "its figures in logs fall apart until all have the new name",
		Instead: "generate and deploy the file that has the former name",
	},
	{
		ID: NoHint, Group: groupWarning, Severity: Warning,
		What:    "refusals without a time to come back",
		Why:     "refused clients come back at once, all together",
		Instead: `write retry_after = "1s"`,
	},
}
