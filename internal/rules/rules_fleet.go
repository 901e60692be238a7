package rules

// fleetRules are the rules about all files together, the rules about the catalogue, and the
// warnings.
var fleetRules = []Rule{
	{
		ID: ClassDisagrees, Group: groupFleet,
		What:    "two files with different repeat rules, scopes, windows or keys of a class",
		Why:     "one application may retry requests that backends would run twice",
		Instead: "write the values that the owner of the service states",
	},
	{
		ID: LimitGrows, Group: groupFleet,
		What:    "a time limit longer than the time limit of the request that causes the call",
		Why:     "the inner call would continue after its caller has given up",
		Instead: "shorten the inner time limit, or list the classes that cause the call in for",
	},
	{
		ID: WindowChain, Group: groupFleet,
		What:    "an outer tier that may retry after the dedup window of an inner tier",
		Why:     "the inner backends no longer know the key and run the request again",
		Instead: "shorten the outer time limits, extend the window, or list the classes that cause the call in for",
	},
	{
		ID: RepeatChain, Group: groupFleet,
		What: "a safe class that may be retried and causes an unsafe call",
		Why:  "each attempt makes the call again, so that a charge would be posted twice",
		Instead: "make the outer class keyed or unsafe, write resend = \"never\" for it, or list the " +
			"classes that cause the call in for",
	},
	{
		ID: ScopeChain, Group: groupFleet,
		What: "a safe class that may be retried and causes a keyed call whose duplicates are dropped " +
			"only within one of several pods",
		Why: "each attempt makes the call again, and the second call may reach another pod, which does " +
			"not know the key",
		Instead: "make the outer class keyed, write resend = \"never\" for it, extend the dedup scope to " +
			"the whole service, or list the classes that cause the call in for",
	},
	{
		ID: RetryFactor, Group: groupFleet,
		What:    "retries that multiply over tiers beyond the allowed factor",
		Why:     "if the last tier is slow, the retries of all tiers together overload it",
		Instead: "lower retry_budget.share at the outer tiers",
	},
	{
		ID: ServiceCycle, Group: groupFleet,
		What:    "services that call each other in a cycle",
		Why:     "one request would circulate until all connection pools on its way are exhausted",
		Instead: "remove the cycle; if only some classes cause the call, list those in for",
	},
	{
		ID: HostClash, Group: groupFleet,
		What:    "listeners of two applications with the same address on one host",
		Why:     "the second sidecar can't start",
		Instead: "use a different port for each listener",
	},
	{
		ID: ShareSum, Group: groupFleet,
		What:    "applications whose shares of a service add up to more than 1",
		Why:     "together they could send more than the capacity of the service",
		Instead: "lower the shares to a sum of at most 1",
	},
	{
		ID: PodDisagrees, Group: groupFleet,
		What:    "applications that place one endpoint in different cells or zones",
		Why:     "one of them would retry at a pod that does not know the key",
		Instead: "generate all files from one catalogue",
	},
	{
		ID: PodMoves, Group: groupFleet,
		What:    "an endpoint that moves to another pod while it serves",
		Why:     "requests whose keys are known only to the old pod would run again in the new pod",
		Instead: "drain the endpoint for the dedup window and add it again under a new name",
	},
	{
		ID: ClassRenamed, Group: groupFleet,
		What:    "a reference to a class by its former name",
		Why:     "the reference would become invalid once the former name is removed",
		Instead: "use the new name",
	},
	{
		ID: AppTwice, Group: groupFleet,
		What:    "two files for one application",
		Why:     "it would be undefined which of them applies",
		Instead: "remove one of them",
	},
	{
		ID: OwnerTwice, Group: groupFleet,
		What:    "a service that two teams own or that is declared in two files",
		Why:     "two owners could state different repeat rules",
		Instead: "declare the service once, for the team that runs it",
	},
	{
		ID: OverlayRepeat, Group: groupSource,
		What:    "an environment that changes the repeat rule of a class",
		Why:     "tests in one environment would not apply to another",
		Instead: "change the rule in the service itself, for all environments",
	},
	{
		ID: OverlayNothing, Group: groupSource,
		What:    "an environment that changes something undeclared",
		Why:     "the change would have no effect or add a service that exists in no other environment",
		Instead: "correct the name, or declare it first",
	},
	{
		ID: UnknownEnv, Group: groupSource,
		What:    "an undeclared environment",
		Why:     "the values of another environment would apply",
		Instead: "use a declared environment",
	},
	{
		ID: IncludeOutside, Group: groupSource,
		What:    "an include outside the directory of the catalogue",
		Why:     "the included file is not reviewed with the catalogue, and digests do not cover it",
		Instead: "move the file into the directory",
	},
	{
		ID: IncludeLoop, Group: groupSource,
		What:    "files that include each other in a cycle or are nested too deeply",
		Why:     "reading them would not end",
		Instead: "include each file once, from one place",
	},
	{
		ID: IncludeMissing, Group: groupSource,
		What:    "an include of a file that can't be read",
		Why:     "the content of the file would be missing without notice",
		Instead: "add the file, or remove the include",
	},
	{
		ID: OldVersion, Group: groupWarning, Severity: Warning,
		What:    "a file in an older version of the format",
		Why:     "the sidecar does not apply the rules of later versions to it",
		Instead: "run fernctl migrate",
	},
	{
		ID: Unused, Group: groupWarning, Severity: Warning,
		What:    "a service or class without a route",
		Why:     "it takes file descriptors and memory but serves no requests",
		Instead: "remove it, or add a route to it",
	},
	{
		ID: ClassFormer, Group: groupWarning, Severity: Warning,
		What:    "a class with its former name in one file and its new name in another",
		Why:     "the class appears in logs under both names until all files use the new one",
		Instead: "generate and deploy the file with the former name again",
	},
	{
		ID: NoHint, Group: groupWarning, Severity: Warning,
		What:    "rejections without Retry-After",
		Why:     "rejected clients would retry at once, all at the same time",
		Instead: `write retry_after = "1s"`,
	},
}
