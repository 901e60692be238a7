package config

import (
	"errors"
	"fernlanding/internal/route"
	"fernlanding/logic"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"
)

const good = `version = 1
name = "roaming"

[process]
cores = 2
memory_mb = 128
sockets = 512

[[listeners]]
address = "127.0.0.1:8080"

[services.tariff]
membership = "static"
trusted = true
endpoints = [
  { name = "t1", address = "127.0.0.1:9001" },
  { name = "t2", address = "127.0.0.1:9002", status = "draining", weight = 2 },
]
[services.tariff.classes.lookup]
repeat = "safe"
objective = "200ms"
deadline = "1.5s"

[services.billing]
membership = "catalog"
discovery = "127.0.0.1:8500"
zones = ["a", "b"]
zone = "b"
connections = 20
[services.billing.classes.post]
repeat = "unsafe"
worth = 5
[services.billing.classes.rate]
repeat = "keyed"
dedup_scope = "cell"
dedup_window = "7.5s"
[services.billing.tenants.acme]
portion = 0.4
quota = 100

[services.billing-next]
endpoints = [{ address = "127.0.0.1:9003" }]
[services.billing-next.classes.rate]
repeat = "keyed"
dedup_window = "5s"

[[routes]]
name = "lookup"
hosts = ["tariff.example.org", "*.tariff.example.org"]
prefix = "/v1/tariffs"
methods = ["GET"]
headers = { x-partner = true, X-Tier = "gold" }
service = "tariff"
rewrite_prefix = "/tariffs"
timeout = "900ms"
mirror = { service = "tariff", class = "lookup" }

[[routes]]
name = "post"
template = "/accounts/{id}/charges"
service = "billing"
class = "post"

[[routes]]
name = "rate"
exact = "/rate"
sticky_header = "x-account"
split = [
  { service = "billing", class = "rate", weight = 95 },
  { service = "billing-next", class = "rate", weight = 5 },
]
`

func TestAGoodFileIsRead(t *testing.T) {
	a, err := Decode("app.toml", []byte(good))
	if err != nil {
		t.Fatal(err)
	}
	if a.Name != "roaming" || a.Process != (Process{2, 128, 512}) || a.Listeners[0] != (Listener{"main", "127.0.0.1:8080"}) {
		t.Errorf("got %+v", a)
	}
	tariff, billing := a.Service("tariff"), a.Service("billing")
	if !tariff.Trusted || tariff.Source.Kind != Static || len(tariff.Source.Endpoints) != 2 || tariff.Source.Endpoints[1].Weight != 2 {
		t.Errorf("got %+v", tariff)
	}
	if k := tariff.Balancer.Classes[0]; k.Idempotency != logic.Idempotent || k.LatencyObjective != 200_000 || k.Deadline != 1_500_000 {
		t.Errorf("got %+v", k)
	}
	if k := billing.Balancer.Classes[billing.Class("rate")]; k.Idempotency != logic.IdempotentByKey || k.DedupScope != logic.DedupCell || k.DedupWindow != 7_500_000 {
		t.Errorf("got %+v", k)
	}
	if billing.Balancer.Zone != 1 || billing.Source.Address != "127.0.0.1:8500" || billing.Tenants[0] != "acme" || billing.Balancer.Tenants[0].Quota != 100 {
		t.Errorf("got %+v", billing)
	}
	r := a.Routes[0]
	if r.Timeout != 900*time.Millisecond || r.To[0] != (Target{"tariff", "lookup", 1}) || r.Rewrite != "/tariffs" || *r.Mirror != (Target{"tariff", "lookup", 0}) ||
		r.Match.Kind != route.Prefix || len(r.Match.Headers) != 2 || !r.Match.Headers[0].Any || r.Match.Headers[1].Value != "gold" {
		t.Errorf("got %+v", r)
	}
	if r := a.Routes[2]; len(r.To) != 2 || r.To[1].Weight != 5 || r.Sticky != "X-Account" || r.Match.Kind != route.Exact {
		t.Errorf("got %+v", r)
	}
	if _, numbers, err := a.Table("main"); err != nil || len(numbers) != 3 {
		t.Errorf("got %v, %v", numbers, err)
	}
	d, err := a.Descriptors()
	if err != nil || d.Total != 480 || d.Floors[0] != 160 || d.Floors[2] != 20 {
		t.Errorf("got %+v, %v", d, err)
	}
}

// ruleID is a rule's id in a fault. Which rule it is stands in testdata/bad.
var ruleID = regexp.MustCompile(`[A-Z]+(-[A-Z]+)*: `)

// Each fault is one line that names file, line, column, field, what was found and what was expected.
func TestFaultsNameTheirPlace(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{"version = 1\n", "", `f:1:1: version: version = 2 expected`},
		{"version = 1", "version = 9", `f:1:11: version: found 9: this program (` + Program + `) reads versions 1 to 2; the file is of version 9`},
		{"version = 1", `version = "1"`, `f:1:11: version: found "1": an integer expected`},
		{"cores = 2", "cors = 2", `f:5:8: process.cors: unknown field; cores meant?`},
		{"cores = 2", "cores = -1.5", `f:5:9: process.cores: found -1.5: 0 to 1024 expected`},
		{"sockets = 512", "sockets = 47", `f:7:11: process.sockets: found 47: 47 descriptors are too few`},
		{"sockets = 512", "sockets = 0x7fffffffffffffff", `1 to 16777216 expected`},
		{"connections = 20", "connections = 400", `descriptors are too few: 32 for the process, 160 for clients and 506 for services`},
		{`"127.0.0.1:8080"`, `"8080"`, `f:10:11: listeners[1].address: found "8080": host:port expected`},
		{`discovery = "127.0.0.1:8500"`, `discovery = "a:99999"`, `services.billing.discovery: found "a:99999": host:port with a port`},
		{`membership = "static"`, `membership = "statc"`, `f:13:14: services.tariff.membership: found "statc": one of static, catalog expected`},
		{`membership = "catalog"`, ``, `services.billing.discovery: found "127.0.0.1:8500": goes with membership`},
		{`status = "draining"`, `status = 7`, `f:17:55: services.tariff.endpoints[2].status: found 7: a string expected`},
		{`name = "t2"`, `name = "t1"`, `f:17:12: services.tariff.endpoints[2].name: found "t1": another endpoint`},
		{`repeat = "safe"` + "\n", "", `f:19:26: services.tariff.classes.lookup.repeat: "safe", "keyed" or "unsafe" expected`},
		{`repeat = "safe"`, `repeat = "mostly"`, `f:20:10: services.tariff.classes.lookup.repeat: found "mostly": one of safe, keyed, unsafe expected`},
		{`objective = "200ms"`, `objective = "2s"`, `found "2s": the deadline (1.5s) expected at most`},
		{`deadline = "1.5s"`, `deadline = "90s"`, `found "90s": 1ms to 1m0s expected`},
		{`deadline = "1.5s"`, `deadline = "soon"`, `a time such as`},
		{"worth = 5", `dedup_window = "1s"`, `only keyed classes`},
		{`dedup_window = "7.5s"`, "", `how long its servers recall a key`},
		{`zone = "b"`, `zone = "c"`, `found "c": one of zones expected: a, b`},
		{`quota = 100`, `quota = nan`, `found nan: 0 to 1e+09 expected`},
		{`service = "tariff"` + "\n", `service = "tarif"` + "\n", `f:53:11: routes[1].service: found "tarif": one of the services expected: tariff meant?`},
		{`class = "post"`, `class = "pots"`, `one of the classes of billing expected: post meant?`},
		{`timeout = "900ms"`, `timeout = "2s"`, `the deadline of class lookup (1.5s) expected at most`},
		{`prefix = "/v1/tariffs"`, `prefix = "/v1//tariffs"`, `f:47:3: routes[1]: path "/v1//tariffs": requests are matched in canonical form, write "/v1/tariffs"`},
		{`prefix = "/v1/tariffs"`, "prefix = \"/v1/tariffs\"\nexact = \"/x\"", `one of prefix, exact and template expected`},
		{`exact = "/rate"`, `template = "/accounts/{x}/charges"`, `"rate": it can't be reached at listener main: "post" takes all its requests before (f:58)`},
		{`name = "rate"`, `name = "post"`, `another route has this name`},
		{`sticky_header = "x-account"`, `sticky_header = "x account"`, `the name of a field expected`},
		{`weight = 95`, `weight = 0`, ``},
		{`weight = 5 `, `weight = -5 `, `found -5: 0 to 1000000 expected`},
		{`service = "billing-next", class = "rate"`, `service = "billing", class = "post"`, `stands twice`},
		{`mirror = { service = "tariff", class = "lookup" }`, `mirror = { service = "billing", class = "post" }`, `class post of billing is unsafe: copies go to safe classes alone`},
		{`class = "post"` + "\n", "class = \"post\"\nmirror = { service = \"tariff\" }\n", `routes[2].mirror: the route's class is unsafe: a copy of its requests would let an effect happen twice`},
		{`class = "post"` + "\n", "class = \"rate\"\nmirror = { service = \"tariff\" }\n", `the route's class is keyed`},
		{`rewrite_prefix = "/tariffs"`, `rewrite_prefix = "/tariffs/../x"`, `a path in canonical form expected`},
		{`headers = { x-partner = true`, `headers = { x-partner = false`, `f:52:25: routes[1].headers.x-partner: found false: a string, or true`},
		{`[process]`, `[process`, `f:4:9: `},
		{`cores = 2`, "cores = 2\ncores = 3", `f:6:1: cores: it stands in line 5 already`},
		{`cores = 2`, "cores = 1979-05-27", `found a date or time: a float expected`},
		{`[[listeners]]`, "[[listener]]", `f:9:3: listener: unknown field; listeners meant?`},
	} {
		if !strings.Contains(good, c.old) {
			t.Fatalf("%q does not stand in the file", c.old)
		}
		_, err := Decode("f", []byte(strings.Replace(good, c.old, c.new, 1)))
		if err != nil {
			err = errors.New(ruleID.ReplaceAllString(err.Error(), ""))
		}
		if c.want == "" {
			if err != nil {
				t.Errorf("%q: %v", c.new, err)
			}
			continue
		}
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q for %q: got %v\nwant %s", c.new, c.old, err, c.want)
		}
	}
}

// The sides of a split must agree on what may be repeated: a retry that falls to the other side would run twice.
func TestASplitAcrossRepeatRulesIsAFault(t *testing.T) {
	text := strings.Replace(good, "[services.billing-next.classes.rate]\nrepeat = \"keyed\"\ndedup_window = \"5s\"",
		"[services.billing-next.classes.rate]\nrepeat = \"safe\"", 1)
	if _, err := Decode("f", []byte(text)); err == nil || !strings.Contains(err.Error(), "rate of billing is keyed, rate of billing-next is safe") {
		t.Errorf("got %v", err)
	}
}

// All that is wrong is said at once, in the order of the file.
func TestAllFaultsAreSaidAtOnce(t *testing.T) {
	text := strings.NewReplacer("cores = 2", "cores = true", "worth = 5", "wort = 5", `exact = "/rate"`, `exact = "rate"`,
		`methods = ["GET"]`, `methods = ["get", 7]`, `"*.tariff.example.org"`, `"*.tariff..org"`).Replace(good)
	_, err := Decode("f", []byte(text))
	var faults Diagnostics
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

func TestBoundsOfAFile(t *testing.T) {
	if _, err := Decode("f", make([]byte, MaxFile+1)); err == nil {
		t.Error("a file over the bound is no fault")
	}
	var b strings.Builder
	b.WriteString(good[:strings.Index(good, "[[routes]]")])
	for i := range MaxRoutes + 1 {
		fmt.Fprintf(&b, "[[routes]]\nname=\"r%d\"\nexact=\"/r%d\"\nservice=\"tariff\"\n", i, i)
	}
	if _, err := Decode("f", []byte(b.String())); err == nil || !strings.Contains(err.Error(), "20000 expected at most") {
		t.Errorf("got %.300v", err)
	}
}

const platform = `{"name":"n3","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",` +
	`"limits":{"cores":1.0,"memory_mb":192,"sockets":512},"known":{"index":4,"snapshot":true,"endpoints":[]},` +
	`"later":1,"settings":{"contract":{},"failure_domains":["a"],"limits":{"dial_timeout_us":1,"idle_close_us":1,` +
	`"try_limit":3},"membership_mode":"automatic","profiles":[{"give_up_us":8,"name":"look","objective_us":4,` +
	`"repeat":"idempotent","worth":1}],"siblings":1}}`

func TestThePlatformsFileIsRead(t *testing.T) {
	a, err := DecodePlatform("f", []byte(platform), "", "")
	if err != nil {
		t.Fatal(err)
	}
	s := a.Services[0]
	if a.Kind != Platform || a.Listeners[0].Address != "127.0.0.1:0" || a.Seed != 0x8c1f30d27a5be964 ||
		a.Process != (Process{1, 192, 512}) || s.Source.Address != "127.0.0.1:1" || s.KnownList.Version != 4 || s.Classes[0] != "look" ||
		s.PassAllStatuses || s.Trusted {
		t.Errorf("got %+v, %+v", a, s)
	}
	named := strings.Replace(platform, `"later":1,`, `"distribution":{"relays":["127.0.0.1:1"]},"membership":"relay",`, 1)
	if a, err := DecodePlatform("f", []byte(named), "", ""); err != nil || len(a.Distribution.Relays) > 0 || a.Services[0].Source.Kind != Catalog {
		t.Errorf("relays on the platform: %+v, %v", a, err)
	}
	bare := strings.Replace(platform, `"listen":"127.0.0.1:0",`, "", 1)
	if a, err := DecodePlatform("f", []byte(bare), "127.0.0.1:9", ""); err != nil || a.Listeners[0].Address != "127.0.0.1:9" {
		t.Errorf("got %+v, %v", a, err)
	}
}

func TestABadPlatformsFileIsOneLine(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{platform, ``, "unexpected end"},
		{`"listen":"127.0.0.1:0",`, ``, "listen or discovery"},
		{`8c1f30d27a5be964`, `sesame`, "seed"},
		{`"sockets":512`, `"sockets":-1`, "limits"},
		{`"endpoints":[]`, `"endpoints":[{}]`, "known"},
		{`"name":"look",`, ``, "profiles[0].name"},
		{`"settings"`, `"setting"`, "settings is missing"},
		{`"automatic"`, `"never"`, "membership_mode"},
	} {
		_, err := DecodePlatform("f", []byte(strings.Replace(platform, c.old, c.new, 1)), "", "")
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q for %q: got %v", c.new, c.old, err)
		}
	}
}

// The examples that operators are given are good.
func TestTheExamplesAreGood(t *testing.T) {
	paths, err := filepath.Glob("../../deploy/*.example.toml")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no examples: %v", err)
	}
	for _, p := range paths {
		data, err := os.ReadFile(p)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(p, data); err != nil {
			t.Error(err)
		}
	}
}

// A file of any bytes gives an App that holds together or faults that name a place, and nothing else.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(good))
	f.Add([]byte("version = 1\nservices.a.classes.b.repeat = 'safe'\n[[routes]]\n[[routes.split]]\n"))
	f.Add([]byte("listeners = [1, {address = 'x'}]\nservices = {a = 1}\nprocess = []"))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := Decode("f", data)
		if err == nil {
			for _, l := range a.Listeners {
				if _, _, err := a.Table(l.Name); err != nil {
					t.Fatalf("a table that does not compile: %v", err)
				}
			}
			for _, s := range a.Services {
				if _, err := logic.New(s.Balancer, 1); err != nil {
					t.Fatalf("settings that the module does not take: %v", err)
				}
			}
			if _, err := a.Descriptors(); err != nil {
				t.Fatal(err)
			}
			return
		}
		var faults Diagnostics
		if !errors.As(err, &faults) || len(faults) == 0 {
			t.Fatalf("%T %v", err, err)
		}
		for _, one := range faults {
			if strings.ContainsAny(one.Error(), "\n\r") || one.Expect == "" {
				t.Fatalf("%q", one.Error())
			}
		}
	})
}

func FuzzDecodePlatform(f *testing.F) {
	f.Add([]byte(platform))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := DecodePlatform("f", data, "127.0.0.1:0", "127.0.0.1:1")
		if err == nil && len(a.Services) != 1 {
			t.Fatal("not one service")
		}
	})
}
