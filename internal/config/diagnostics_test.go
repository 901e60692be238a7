package config

import (
	"errors"
	"regexp"
	"strings"
	"testing"

	"fernlanding/internal/tomldoc"
)

// ruleID matches the identifier of a rule in a diagnostic. The cases of testdata/bad test the
// identifiers.
var ruleID = regexp.MustCompile(`[A-Z]+(-[A-Z]+)*: `)

// TestDiagnosticsHaveTheirPlace checks that each diagnostic is one line with the file, line,
// column, field, invalid value and reason.
func TestDiagnosticsHaveTheirPlace(t *testing.T) {
	for _, test := range []struct{ before, after, want string }{
		{"version = 1\n", "", `f:1:1: version: missing field "version": must be version = 2`},
		{
			"version = 1", "version = 9",
			`f:1:11: version: invalid value 9: program version ` + ProgramVersion + ` supports format versions 1 to 2`,
		},
		{"version = 1", `version = "1"`, `f:1:11: version: invalid value "1": must be an integer`},
		{"cores = 2", "cors = 2", `f:5:8: process.cors: unknown field "cors"; did you mean "cores"?`},
		{"cores = 2", "cores = -1.5", `f:5:9: process.cores: invalid value -1.5: must be from 0 to 1024`},
		{"sockets = 512", "sockets = 47", `f:7:11: process.sockets: invalid value 47: 47 file descriptors are too few`},
		{"sockets = 512", "sockets = 0x7fffffffffffffff", `must be from 1 to 16777216`},
		{
			"connections = 20", "connections = 400",
			`descriptors are too few: the process needs 32, clients 160 and services 506`,
		},
		{`"127.0.0.1:8080"`, `"8080"`, `f:10:11: listeners[1].address: invalid value "8080": must be host:port`},
		{
			`discovery = "127.0.0.1:8500"`, `discovery = "a:99999"`,
			`services.billing.discovery: invalid value "a:99999": must be host:port with a port`,
		},
		{
			`membership = "static"`, `membership = "statc"`,
			`f:13:14: services.tariff.membership: invalid value "statc": must be one of static, catalog`,
		},
		{
			`membership = "catalog"`, ``,
			`services.billing.discovery: invalid value "127.0.0.1:8500": requires membership`,
		},
		{
			`status = "draining"`, `status = 7`,
			`f:17:55: services.tariff.endpoints[2].status: invalid value 7: must be a string`,
		},
		{
			`name = "t2"`, `name = "t1"`,
			`f:17:12: services.tariff.endpoints[2].name: invalid value "t1": already the name of another endpoint`,
		},
		{
			`repeat = "safe"` + "\n", "",
			`f:19:26: services.tariff.classes.lookup.repeat: missing field "repeat": ` +
				`must be "safe", "keyed" or "unsafe"`,
		},
		{
			`repeat = "safe"`, `repeat = "mostly"`,
			`f:20:10: services.tariff.classes.lookup.repeat: invalid value "mostly": ` +
				`must be one of safe, keyed, unsafe`,
		},
		{`objective = "200ms"`, `objective = "2s"`, `invalid value "2s": must be at most the deadline of 1.5s`},
		{`deadline = "1.5s"`, `deadline = "90s"`, `invalid value "90s": must be from 1ms to 1m0s`},
		{`deadline = "1.5s"`, `deadline = "soon"`, `must be a duration such as`},
		{"worth = 5", `dedup_window = "1s"`, `applies only to keyed classes`},
		{`dedup_window = "7.5s"`, "", `missing field "dedup_window": a keyed class must state the time`},
		{`zone = "b"`, `zone = "c"`, `invalid value "c": must be one of zones: a, b`},
		{`quota = 100`, `quota = nan`, `invalid value nan: must be from 0 to 1e+09`},
		{
			`service = "tariff"` + "\n", `service = "tarif"` + "\n",
			`f:53:11: routes[1].service: invalid value "tarif": must be one of the services; did you mean "tariff"?`,
		},
		{`class = "post"`, `class = "pots"`, `must be one of the classes of billing; did you mean "post"?`},
		{`timeout = "900ms"`, `timeout = "2s"`, `must be at most the deadline of 1.5s of class lookup`},
		{
			`prefix = "/v1/tariffs"`, `prefix = "/v1//tariffs"`,
			`f:47:3: routes[1]: path "/v1//tariffs": requests are matched in canonical form, write "/v1/tariffs"`,
		},
		{
			`prefix = "/v1/tariffs"`, "prefix = \"/v1/tariffs\"\nexact = \"/x\"",
			`prefix, exact and template are mutually exclusive`,
		},
		{
			`exact = "/rate"`, `template = "/accounts/{x}/charges"`,
			`routes[3]: route "rate" can't be reached at listener main: ` +
				`earlier route "post" matches all its requests (f:58)`,
		},
		{`name = "rate"`, `name = "post"`, `already the name of another route`},
		{`sticky_header = "x-account"`, `sticky_header = "x account"`, `must be the name of a header field`},
		{`weight = 95`, `weight = 0`, ``},
		{`weight = 5 `, `weight = -5 `, `invalid value -5: must be from 0 to 1000000`},
		{`service = "billing-next", class = "rate"`, `service = "billing", class = "post"`, `stands twice`},
		{
			`mirror = { service = "tariff", class = "lookup" }`, `mirror = { service = "billing", class = "post" }`,
			`class post of billing is unsafe: only safe classes may get copies`,
		},
		{
			`class = "post"` + "\n", "class = \"post\"\nmirror = { service = \"tariff\" }\n",
			`routes[2].mirror: class of the route is unsafe: a copy of a request would have the effect twice`,
		},
		{
			`class = "post"` + "\n", "class = \"rate\"\nmirror = { service = \"tariff\" }\n",
			`class of the route is keyed`,
		},
		{`rewrite_prefix = "/tariffs"`, `rewrite_prefix = "/tariffs/../x"`, `must be a path in canonical form`},
		{
			`headers = { x-partner = true`, `headers = { x-partner = false`,
			`f:52:25: routes[1].headers.x-partner: invalid value false: must be a string, or true`,
		},
		{`[process]`, `[process`, `f:4:9: `},
		{`cores = 2`, "cores = 2\ncores = 3", `f:6:1: cores: duplicate key "cores": already defined in line 5`},
		{`cores = 2`, "cores = 1979-05-27", `value is a date or time: must be a float`},
		{`[[listeners]]`, "[[listener]]", `f:9:3: listener: unknown field "listener"; did you mean "listeners"?`},
	} {
		if !strings.Contains(validFile, test.before) {
			t.Fatalf("invalid test case: %q is not in the file", test.before)
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

// TestSplitAcrossIdempotenciesIsRejected checks that the arms of a split must have the same
// idempotency. Otherwise a retry that is assigned to the other arm could run twice.
func TestSplitAcrossIdempotenciesIsRejected(t *testing.T) {
	text := strings.Replace(validFile,
		"[services.billing-next.classes.rate]\nrepeat = \"keyed\"\ndedup_window = \"5s\"",
		"[services.billing-next.classes.rate]\nrepeat = \"safe\"", 1)
	want := "rate of billing is keyed, rate of billing-next is safe"
	if _, err := Decode("f", []byte(text)); err == nil || !strings.Contains(err.Error(), want) {
		t.Errorf("got %v", err)
	}
}

// TestAllViolationsAreReportedAtOnce checks that all violations are reported, in the order of the
// file.
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
			t.Errorf("diagnostics out of order: %v", err)
		}
		if f.Line == 0 || f.Col == 0 || f.File != "f" || strings.Contains(f.Error(), "\n") {
			t.Errorf("got %+v", f)
		}
	}
}
