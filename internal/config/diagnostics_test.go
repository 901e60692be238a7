package config

import (
	"errors"
	"regexp"
	"strings"
	"testing"

	"fernlanding/internal/tomldoc"
)

// ruleID matches the identifier of a rule in a diagnostic. Which rule objects is tested by
// testdata/bad.
var ruleID = regexp.MustCompile(`[A-Z]+(-[A-Z]+)*: `)

// Each diagnostic is one line with the file, line, column, field, what was found and what was
// expected.
func TestDiagnosticsHaveTheirPlace(t *testing.T) {
	for _, test := range []struct{ before, after, want string }{
		{"version = 1\n", "", `f:1:1: version: version = 2 expected`},
		{
			"version = 1", "version = 9",
			`f:1:11: version: found 9: this program (` + ProgramVersion + `) reads versions 1 to 2; the file is of version 9`,
		},
		{"version = 1", `version = "1"`, `f:1:11: version: found "1": an integer expected`},
		{"cores = 2", "cors = 2", `f:5:8: process.cors: unknown field; cores meant?`},
		{"cores = 2", "cores = -1.5", `f:5:9: process.cores: found -1.5: 0 to 1024 expected`},
		{"sockets = 512", "sockets = 47", `f:7:11: process.sockets: found 47: 47 descriptors are too few`},
		{"sockets = 512", "sockets = 0x7fffffffffffffff", `1 to 16777216 expected`},
		{
			"connections = 20", "connections = 400",
			`descriptors are too few: 32 for the process, 160 for clients and 506 for services`,
		},
		{`"127.0.0.1:8080"`, `"8080"`, `f:10:11: listeners[1].address: found "8080": host:port expected`},
		{
			`discovery = "127.0.0.1:8500"`, `discovery = "a:99999"`,
			`services.billing.discovery: found "a:99999": host:port with a port`,
		},
		{
			`membership = "static"`, `membership = "statc"`,
			`f:13:14: services.tariff.membership: found "statc": one of static, catalog expected`,
		},
		{`membership = "catalog"`, ``, `services.billing.discovery: found "127.0.0.1:8500": goes with membership`},
		{
			`status = "draining"`, `status = 7`,
			`f:17:55: services.tariff.endpoints[2].status: found 7: a string expected`,
		},
		{`name = "t2"`, `name = "t1"`, `f:17:12: services.tariff.endpoints[2].name: found "t1": another endpoint`},
		{
			`repeat = "safe"` + "\n", "",
			`f:19:26: services.tariff.classes.lookup.repeat: "safe", "keyed" or "unsafe" expected`,
		},
		{
			`repeat = "safe"`, `repeat = "mostly"`,
			`f:20:10: services.tariff.classes.lookup.repeat: found "mostly": one of safe, keyed, unsafe expected`,
		},
		{`objective = "200ms"`, `objective = "2s"`, `found "2s": the deadline (1.5s) expected at most`},
		{`deadline = "1.5s"`, `deadline = "90s"`, `found "90s": 1ms to 1m0s expected`},
		{`deadline = "1.5s"`, `deadline = "soon"`, `a time such as`},
		{"worth = 5", `dedup_window = "1s"`, `only keyed classes`},
		{`dedup_window = "7.5s"`, "", `how long its servers recall a key`},
		{`zone = "b"`, `zone = "c"`, `found "c": one of zones expected: a, b`},
		{`quota = 100`, `quota = nan`, `found nan: 0 to 1e+09 expected`},
		{
			`service = "tariff"` + "\n", `service = "tarif"` + "\n",
			`f:53:11: routes[1].service: found "tarif": one of the services expected: tariff meant?`,
		},
		{`class = "post"`, `class = "pots"`, `one of the classes of billing expected: post meant?`},
		{`timeout = "900ms"`, `timeout = "2s"`, `the deadline of class lookup (1.5s) expected at most`},
		{
			`prefix = "/v1/tariffs"`, `prefix = "/v1//tariffs"`,
			`f:47:3: routes[1]: path "/v1//tariffs": requests are matched in canonical form, write "/v1/tariffs"`,
		},
		{
			`prefix = "/v1/tariffs"`, "prefix = \"/v1/tariffs\"\nexact = \"/x\"",
			`one of prefix, exact and template expected`,
		},
		{
			`exact = "/rate"`, `template = "/accounts/{x}/charges"`,
			`"rate": it can't be reached at listener main: "post" takes all its requests before (f:58)`,
		},
		{`name = "rate"`, `name = "post"`, `another route has this name`},
		{`sticky_header = "x-account"`, `sticky_header = "x account"`, `the name of a field expected`},
		{`weight = 95`, `weight = 0`, ``},
		{`weight = 5 `, `weight = -5 `, `found -5: 0 to 1000000 expected`},
		{`service = "billing-next", class = "rate"`, `service = "billing", class = "post"`, `stands twice`},
		{
			`mirror = { service = "tariff", class = "lookup" }`, `mirror = { service = "billing", class = "post" }`,
			`class post of billing is unsafe: copies go to safe classes alone`,
		},
		{
			`class = "post"` + "\n", "class = \"post\"\nmirror = { service = \"tariff\" }\n",
			`routes[2].mirror: the route's class is unsafe: a copy of its requests would let an effect happen twice`,
		},
		{
			`class = "post"` + "\n", "class = \"rate\"\nmirror = { service = \"tariff\" }\n",
			`the route's class is keyed`,
		},
		{`rewrite_prefix = "/tariffs"`, `rewrite_prefix = "/tariffs/../x"`, `a path in canonical form expected`},
		{
			`headers = { x-partner = true`, `headers = { x-partner = false`,
			`f:52:25: routes[1].headers.x-partner: found false: a string, or true`,
		},
		{`[process]`, `[process`, `f:4:9: `},
		{`cores = 2`, "cores = 2\ncores = 3", `f:6:1: cores: it stands in line 5 already`},
		{`cores = 2`, "cores = 1979-05-27", `found a date or time: a float expected`},
		{`[[listeners]]`, "[[listener]]", `f:9:3: listener: unknown field; listeners meant?`},
	} {
		if !strings.Contains(validFile, test.before) {
			t.Fatalf("%q is not in the file", test.before)
		}
		_, err := Decode("f", []byte(strings.Replace(validFile, test.before, test.after, 1)))
		if test.want == "" {
			if err != nil {
				t.Errorf("%q: %v", test.after, err)
			}
			continue
		}
		if err == nil || !strings.Contains(ruleID.ReplaceAllString(err.Error(), ""), test.want) {
			t.Errorf("%q for %q: got %v\nwant %s", test.after, test.before, err, test.want)
		}
	}
}

// The arms of a split must agree on idempotency: a retry that is assigned to the other arm would
// run twice.
func TestSplitAcrossIdempotenciesIsRejected(t *testing.T) {
	text := strings.Replace(validFile,
		"[services.billing-next.classes.rate]\nrepeat = \"keyed\"\ndedup_window = \"5s\"",
		"[services.billing-next.classes.rate]\nrepeat = \"safe\"", 1)
	want := "rate of billing is keyed, rate of billing-next is safe"
	if _, err := Decode("f", []byte(text)); err == nil || !strings.Contains(err.Error(), want) {
		t.Errorf("got %v", err)
	}
}

// All violations are reported at once, in the order of the file.
func TestAllViolationsAreReportedAtOnce(t *testing.T) {
	text := strings.NewReplacer("cores = 2", "cores = true", "worth = 5", "wort = 5",
		`exact = "/rate"`, `exact = "rate"`,
		`methods = ["GET"]`, `methods = ["get", 7]`, `"*.tariff.example.org"`, `"*.tariff..org"`).Replace(validFile)
	_, err := Decode("f", []byte(text))
	var faults tomldoc.Diagnostics
	if !errors.As(err, &faults) || len(faults) != 6 {
		t.Fatalf("got %v", err)
	}
	for i, f := range faults {
		if i > 0 && f.Line < faults[i-1].Line {
			t.Errorf("out of order: %v", err)
		}
		if f.Line == 0 || f.Col == 0 || f.File != "f" || strings.Contains(f.Error(), "\n") {
			t.Errorf("got %+v", f)
		}
	}
}
