// Package rules is the register of what a configuration may not say: every rule with its id, the reason why it is one,
// and what to write instead. It is pure. The table in docs/operate/configuration.md is made from it.
package rules

import (
	"fmt"
	"slices"
	"strings"
)

// ID names a rule. Ids are stable: a rule that goes leaves its id unused.
type ID string

// Severity says what a breach means.
type Severity int

// The severities.
const (
	Error   Severity = iota // refused
	Warning                 // said, and accepted
)

// String is "error" or "warning".
func (s Severity) String() string {
	if s == Warning {
		return "warning"
	}
	return "error"
}

// Rule is one rule.
type Rule struct {
	ID       ID
	Group    string // under which the table lists it
	Severity Severity
	// Since is the version of the application's format from which on the sidecar itself refuses a breach; 0: the
	// sidecar never sees it or always refuses it. Files of earlier versions stay readable, and the tool alone objects.
	Since   int
	What    string // is refused
	Why     string // it matters
	Instead string // to write
}

// Anchor is where the rule stands in the operators' page, as GitHub and others name headings.
func (r Rule) Anchor() string { return strings.ToLower(string(r.ID)) }

// Page is the operators' page that has every rule.
const Page = "docs/operate/configuration.md"

// The groups of rules.
const (
	groupFile    = "The file"
	groupField   = "Fields"
	groupRef     = "References"
	groupRoute   = "Routes"
	groupRepeat  = "What may run again"
	groupTime    = "Time"
	groupLimit   = "Limits"
	groupFleet   = "The whole fleet"
	groupSource  = "The catalogue"
	groupWarning = "Warnings"
)

// The rules.
const (
	FileSize        ID = "FILE-SIZE"
	FileBOM         ID = "FILE-BOM"
	FileCRLF        ID = "FILE-CRLF"
	FileControl     ID = "FILE-CONTROL"
	FileDepth       ID = "FILE-DEPTH"
	Syntax          ID = "SYNTAX"
	Version         ID = "VERSION"
	DoubleField     ID = "DOUBLE-FIELD"
	UnknownField    ID = "UNKNOWN-FIELD"
	FieldVersion    ID = "FIELD-VERSION"
	WrongType       ID = "WRONG-TYPE"
	Range           ID = "RANGE"
	Duration        ID = "DURATION"
	Word            ID = "WORD"
	Missing         ID = "MISSING"
	Name            ID = "NAME"
	DoubleName      ID = "DOUBLE-NAME"
	Address         ID = "ADDRESS"
	Exclusive       ID = "EXCLUSIVE"
	TooMany         ID = "TOO-MANY"
	UnknownService  ID = "UNKNOWN-SERVICE"
	UnknownClass    ID = "UNKNOWN-CLASS"
	UnknownZone     ID = "UNKNOWN-ZONE"
	UnknownTenant   ID = "UNKNOWN-TENANT"
	UnknownListener ID = "UNKNOWN-LISTENER"
	RouteMatch      ID = "ROUTE-MATCH"
	RouteDead       ID = "ROUTE-DEAD"
	Rewrite         ID = "REWRITE"
	SplitWeights    ID = "SPLIT-WEIGHTS"
	SplitRepeat     ID = "SPLIT-REPEAT"
	SplitScope      ID = "SPLIT-SCOPE"
	Mirror          ID = "MIRROR"
	UnsafeResend    ID = "UNSAFE-RESEND"
	UnsafeEarly     ID = "UNSAFE-EARLY"
	Hedge           ID = "HEDGE"
	KeyedScope      ID = "KEYED-SCOPE"
	KeyedWindow     ID = "KEYED-WINDOW"
	KeyedKey        ID = "KEYED-KEY"
	KeyedFields     ID = "KEYED-FIELDS"
	RefusalCode     ID = "REFUSAL-CODE"
	Objective       ID = "OBJECTIVE"
	LimitObjective  ID = "LIMIT-OBJECTIVE"
	LimitDeadline   ID = "LIMIT-DEADLINE"
	DrainGrace      ID = "DRAIN-GRACE"
	ColdMultiple    ID = "COLD-MULTIPLE"
	TenantShares    ID = "TENANT-SHARES"
	ListenerClash   ID = "LISTENER-CLASH"
	Sockets         ID = "SOCKETS"
	Memory          ID = "MEMORY"
	ClassDisagrees  ID = "CLASS-DISAGREES"
	LimitGrows      ID = "LIMIT-GROWS"
	WindowChain     ID = "WINDOW-CHAIN"
	RepeatChain     ID = "REPEAT-CHAIN"
	ScopeChain      ID = "SCOPE-CHAIN"
	RetryFactor     ID = "RETRY-FACTOR"
	ServiceCycle    ID = "SERVICE-CYCLE"
	HostClash       ID = "HOST-CLASH"
	ShareSum        ID = "SHARE-SUM"
	PodDisagrees    ID = "POD-DISAGREES"
	PodMoves        ID = "POD-MOVES"
	ClassRenamed    ID = "CLASS-RENAMED"
	AppTwice        ID = "APP-TWICE"
	OwnerTwice      ID = "OWNER-TWICE"
	OverlayRepeat   ID = "OVERLAY-REPEAT"
	OverlayNothing  ID = "OVERLAY-NOTHING"
	UnknownEnv      ID = "UNKNOWN-ENVIRONMENT"
	IncludeOutside  ID = "INCLUDE-OUTSIDE"
	IncludeLoop     ID = "INCLUDE-LOOP"
	IncludeMissing  ID = "INCLUDE-MISSING"
	OldVersion      ID = "OLD-VERSION"
	Unused          ID = "UNUSED"
	NoHint          ID = "NO-HINT"
	ClassFormer     ID = "CLASS-FORMER"
)

var all = []Rule{
	{FileSize, groupFile, Error, 0, "a file over its bound", "a file this large is a mistake or an attack, and reading it would take the memory of requests", "split the catalogue into files, or routes by template"},
	{FileBOM, groupFile, Error, 0, "a byte order mark", "the mark is part of the first key for some readers and not for others", "save the file as UTF-8 without a mark"},
	{FileCRLF, groupFile, Error, 2, "lines that end with CR LF", "its digest differs between machines though nothing has changed", "end lines with LF alone"},
	{FileControl, groupFile, Error, 0, "control characters or bytes that are not UTF-8", "what an editor shows is not what the program reads", "remove them, or write an escape in a string"},
	{FileDepth, groupFile, Error, 0, "values nested too deep", "reading them would exhaust the stack", "nothing here nests deeper than 8 levels"},
	{Syntax, groupFile, Error, 0, "text that is not TOML", "what follows the fault can't be told", "mend what the line says; the format is TOML 1.0"},
	{Version, groupFile, Error, 0, "a missing, unknown or newer version", "a newer file may mean something else by a word that this program knows", "start a program that reads the file, or write the version that the file is in"},
	{DoubleField, groupFile, Error, 0, "a field that stands twice", "one of the two would be ignored", "keep the one that is meant"},

	{UnknownField, groupField, Error, 0, "a field that is not known", "a misspelt limit is no limit", "use the name that is meant"},
	{FieldVersion, groupField, Error, 0, "a field of a later version of the format", "this version gives it no meaning", "run fernctl migrate"},
	{WrongType, groupField, Error, 0, "a value of another type", "a guess at what is meant may be wrong", "write the type that is expected"},
	{Range, groupField, Error, 0, "a number or time out of its range", "beyond it the figure makes no sense or breaks a bound that others rely on", "write a figure in the range"},
	{Duration, groupField, Error, 0, "a time without a unit or of no known form", "30 may be seconds or milliseconds", `write a unit: "250ms", "7.5s"`},
	{Word, groupField, Error, 0, "a word that is none of those expected", "what is not known can't be carried out", "use one of the words"},
	{Missing, groupField, Error, 0, "a needed field that is missing", "there is no default that is right for everybody", "add it"},
	{Name, groupField, Error, 0, "a name that is none", "names stand in logs, headers and file names", "use 1 to 64 letters, digits and signs"},
	{DoubleName, groupField, Error, 0, "a name that stands twice in one list", "records and connections are kept by name", "give each its own"},
	{Address, groupField, Error, 0, "an address that is none", "nothing can be reached there", "write host:port"},
	{Exclusive, groupField, Error, 0, "fields that exclude each other", "only one of them could hold", "keep the one that is meant"},
	{TooMany, groupField, Error, 0, "more entries than a file may have", "the process could not hold them", "divide the application, or use prefixes and templates"},

	{UnknownService, groupRef, Error, 0, "a service that nobody declares", "its requests would lead nowhere", "declare it, or use the name that is meant"},
	{UnknownClass, groupRef, Error, 0, "a class that its service does not have", "without its class nobody knows whether a request may run twice", "use a class of the service"},
	{UnknownZone, groupRef, Error, 0, "a zone that the service does not name", "its backends could not be told apart when a zone is lost", "name it in zones"},
	{UnknownTenant, groupRef, Error, 0, "a tenant that the service does not name", "its share would be nobody's", "name it in the service's tenants"},
	{UnknownListener, groupRef, Error, 0, "a listener that is not declared", "no request would reach the route", "declare it, or use the name that is meant"},

	{RouteMatch, groupRoute, Error, 0, "a host, path, method or field that can match nothing as written", "requests are matched in canonical form", "write the canonical form"},
	{RouteDead, groupRoute, Error, 0, "a route that no request can reach", "it says that something holds which does not", "move it before the one that takes its requests, or remove it"},
	{Rewrite, groupRoute, Error, 0, "a prefix put in where none is taken off, or not in canonical form", "the backend would get another path than was meant", "use it with prefix, in canonical form"},
	{SplitWeights, groupRoute, Error, 0, "weights of a split that make no sense", "nobody could tell where requests go", "give each side once, with a weight; one must be above 0"},
	{SplitRepeat, groupRoute, Error, 0, "a split whose sides disagree on what may be repeated", "a request's rule would depend on chance", "split over classes of one repeat rule"},
	{SplitScope, groupRoute, Error, 2, "a split that may send one key to two scopes", "each scope would run it once: the effect happens twice", "split a keyed class by its key alone, over sides of equal scope, window and key"},
	{Mirror, groupRoute, Error, 0, "a copy of requests of, or to, a class that is not safe", "a copy runs beside the request: the effect happens twice", "mirror safe classes to safe classes, or take the mirror out"},

	{UnsafeResend, groupRepeat, Error, 0, "an unsafe class with an allowance to be sent again", "it may have run: a charge would be posted twice", `write resend = "never" or leave it out`},
	{UnsafeEarly, groupRepeat, Error, 0, "early data for a class that is not safe", "early data can be replayed by anybody who has recorded it (RFC 8446, section 8)", "leave early_data out: such requests get 425 and come again after the handshake"},
	{Hedge, groupRepeat, Error, 0, "a hedge", "two attempts of a request at once are never made: each loads a backend, and both may run", "leave it out; a slow attempt is given up and the next begun by the module"},
	{KeyedScope, groupRepeat, Error, 0, "a keyed class sent again outside the scope that drops its repeats", "a backend that does not know the key runs it again", `write resend = "scope" or "never"`},
	{KeyedWindow, groupRepeat, Error, 2, "a keyed class whose time limit outlasts the window", "a repeat after the window runs again", "shorten the time limit, or have the backends recall longer"},
	{KeyedKey, groupRepeat, Error, 2, "a keyed class without a source of its key", "without a key no backend can tell a repeat", `write key = "Idempotency-Key", or the field that carries it`},
	{KeyedFields, groupRepeat, Error, 0, "fields of a keyed class on one that is not", "they promise a protection that does not exist", `remove them, or write repeat = "keyed"`},
	{RefusalCode, groupRepeat, Error, 0, "an answer's code that promises more than is true", "a client that reads 503 or 429 sends again at once: what may have run would run twice", "use 503 or 429 for refused, 500, 502 or 504 for what may have run"},

	{Objective, groupTime, Error, 0, "an objective beyond the deadline", "no request could ever be late and served", "shorten the objective"},
	{LimitObjective, groupTime, Error, 2, "a caller's time limit under its callee's objective", "calls that go as promised would be given up", "raise the limit to the objective at least"},
	{LimitDeadline, groupTime, Error, 0, "a time limit beyond the class's deadline", "the deadline holds anyway, so the limit says what is not so", "shorten it"},
	{DrainGrace, groupTime, Error, 2, "a drain grace over 250 ms", "a backend that drains may end 250 ms after it said so: requests sent later are lost", `write "250ms" or less`},
	{ColdMultiple, groupTime, Error, 0, "a cold backend that takes less than sidecars send it", "one that is pushed over stays down", "start backends warmer, or state the multiple that they bear"},

	{TenantShares, groupLimit, Error, 2, "tenants whose portions are over 1 together", "what one is promised would be another's", "lower them to 1 together"},
	{ListenerClash, groupLimit, Error, 2, "two listeners at one address", "the second can't open, and the sidecar does not start", "give each its own port"},
	{Sockets, groupLimit, Error, 0, "more descriptors for pools than the process has", "the last connections would fail under load", "raise process.sockets, or lower connections"},
	{Memory, groupLimit, Error, 0, "bodies larger than the process has memory for", "one request could take what all share", "raise process.memory_mb, or lower max_body and max_answer"},

	{ClassDisagrees, groupFleet, Error, 0, "two parties that disagree about a class's repeat rule, scope, window or key", "one of them sends again what the other may run twice", "write what the owner of the service states"},
	{LimitGrows, groupFleet, Error, 0, "a time limit that grows down the chain", "the inner call works on when its caller has long given up", "shorten the inner limit, or name the classes that cause the call in for"},
	{WindowChain, groupFleet, Error, 0, "an outer tier that may send again after an inner window is over", "the inner backends no longer recall the key and run it again", "shorten the outer limits, widen the window, or name the classes that cause the call in for"},
	{RepeatChain, groupFleet, Error, 0, "a safe class that may be sent again and causes an unsafe call", "each run of it makes the call anew: a charge would be posted twice", "make the outer class keyed or unsafe, write resend = \"never\" for it, or name the classes that cause the call in for"},
	{ScopeChain, groupFleet, Error, 0, "a safe class that may be sent again and causes a keyed call whose repeats one of several pods drops", "each run of it calls anew, and the second call may go to another pod, which does not know the key", "make the outer class keyed, write resend = \"never\" for it, have the whole service drop repeats, or name the classes that cause the call in for"},
	{RetryFactor, groupFleet, Error, 0, "retries that multiply over tiers past the stated factor", "when the last tier is slow every tier sends more, and it drowns", "lower retry_budget.share at the outer tiers"},
	{ServiceCycle, groupFleet, Error, 0, "services that call each other in a circle", "one request goes round until every pool on its way is full", "break the circle; a class that never leads on is told by for"},
	{HostClash, groupFleet, Error, 0, "listeners of two applications at one address of one host", "the second sidecar can't start", "give each its own port"},
	{ShareSum, groupFleet, Error, 0, "applications whose shares of a service are over 1 together", "together they may send more than the service was built for", "lower them to 1 together"},
	{PodDisagrees, groupFleet, Error, 0, "applications that place one endpoint in different cells or zones", "one of them sends a repeat to a pod that does not know the key", "generate all files from one catalogue"},
	{PodMoves, groupFleet, Error, 0, "an endpoint that moves between pods while it serves", "keys that its old pod recalls would run again in the new one", "let it drain for the window and come back under a new name"},
	{ClassRenamed, groupFleet, Error, 0, "a reference to a class by its former name", "files in use would lead nowhere once the old name is gone", "use the new name"},
	{AppTwice, groupFleet, Error, 0, "two files of one application", "nobody could tell which holds", "remove one"},
	{OwnerTwice, groupFleet, Error, 0, "a service that two teams own, or that stands in two files", "two owners state two truths about what may run again", "leave it with the team that runs it"},

	{OverlayRepeat, groupSource, Error, 0, "an environment that touches a class's repeat rule", "what is tested would not be what runs", "change the rule in the service itself, for all environments"},
	{OverlayNothing, groupSource, Error, 0, "an environment that changes what does not exist", "it would change nothing, or invent a service that exists nowhere else", "name what is meant, or declare it first"},
	{UnknownEnv, groupSource, Error, 0, "an environment that is not declared", "its figures would be somebody else's", "use a declared one"},
	{IncludeOutside, groupSource, Error, 0, "an include that leaves the catalogue's directory", "its text is not under the catalogue's review, and digests would not see it change", "move the file into the directory"},
	{IncludeLoop, groupSource, Error, 0, "files that include each other in a circle, or too deep", "reading would not end", "include each file once, from one place"},
	{IncludeMissing, groupSource, Error, 0, "an include of a file that can't be read", "what it says would be missing silently", "add the file, or remove the include"},

	{OldVersion, groupWarning, Warning, 0, "a file of an older version of the format", "rules of later versions do not hold for it in the sidecar", "run fernctl migrate"},
	{Unused, groupWarning, Warning, 0, "a service or class that no route leads to", "it takes descriptors and memory and serves nobody", "remove it, or add its route"},
	{ClassFormer, groupWarning, Warning, 0, "a class that one file has under its former name and another under its new one", "its figures in logs fall apart until all have the new name", "generate and deploy the file that has the former name"},
	{NoHint, groupWarning, Warning, 0, "refusals without a time to come back", "refused clients come back at once, all together", `write retry_after = "1s"`},
}

var byID = func() map[ID]int {
	m := map[ID]int{}
	for i, r := range all {
		m[r.ID] = i
	}
	return m
}()

// All is every rule, by group.
func All() []Rule { return slices.Clone(all) }

// Get returns a rule; of an id that is not registered, one that says so.
func Get(id ID) Rule {
	if i, ok := byID[id]; ok {
		return all[i]
	}
	return Rule{ID: id, What: "not registered", Why: "not registered", Instead: "not registered"}
}

// Markdown is the table of all rules, as it stands in the operators' page.
func Markdown() string {
	var b strings.Builder
	group := ""
	for _, r := range all {
		if r.Group != group {
			group = r.Group
			fmt.Fprintf(&b, "### %s\n\n", group)
		}
		fmt.Fprintf(&b, "#### %s\n\n", r.ID)
		var notes []string
		if r.Severity == Warning {
			notes = append(notes, "a warning")
		}
		if r.Since > 0 {
			notes = append(notes, fmt.Sprintf("refused by the sidecar from format %d on, by `fernctl check` in all", r.Since))
		}
		note := ""
		if len(notes) > 0 {
			note = " (" + strings.Join(notes, "; ") + ")"
		}
		fmt.Fprintf(&b, "%s: %s%s. Why: %s. Instead: %s.\n\n", map[Severity]string{Error: "Refused", Warning: "Said"}[r.Severity], r.What, note, r.Why, r.Instead)
	}
	return b.String()
}
