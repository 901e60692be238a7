package config

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"fernlanding/internal/route"
	"fernlanding/internal/tomldoc"
	"fernlanding/logic"
)

// validFile is a valid file of version 1 with all kinds of tables.
const validFile = `version = 1
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

// TestValidFileIsDecoded checks the decoding of all tables of a valid file.
func TestValidFileIsDecoded(t *testing.T) {
	a, err := Decode("app.toml", []byte(validFile))
	if err != nil {
		t.Fatal(err)
	}
	if a.Name != "roaming" || a.Process != (Process{Cores: 2, MemoryMB: 128, Sockets: 512}) ||
		a.Listeners[0] != (Listener{Name: "main", Address: "127.0.0.1:8080"}) {
		t.Errorf("got %+v", a)
	}
	tariff, billing := a.Service("tariff"), a.Service("billing")
	if !tariff.Trusted || tariff.Source.Kind != Static || len(tariff.Source.Endpoints) != 2 ||
		tariff.Source.Endpoints[1].Weight != 2 {
		t.Errorf("got %+v", tariff)
	}
	lookup := tariff.Balancer.Classes[0]
	if lookup.Idempotency != logic.Idempotent || lookup.LatencyObjective != 200_000 || lookup.Deadline != 1_500_000 {
		t.Errorf("got %+v", lookup)
	}
	rate := billing.Balancer.Classes[billing.Class("rate")]
	if rate.Idempotency != logic.IdempotentByKey || rate.DedupScope != logic.DedupCell ||
		rate.DedupWindow != 7_500_000 {
		t.Errorf("got %+v", rate)
	}
	if billing.Balancer.Zone != 1 || billing.Source.Address != "127.0.0.1:8500" ||
		billing.Tenants[0] != "acme" || billing.Balancer.Tenants[0].Quota != 100 {
		t.Errorf("got %+v", billing)
	}
	testRoutesOfValidFile(t, a)
	d, err := a.Descriptors()
	if err != nil || d.Total != 480 || d.Floors[0] != 160 || d.Floors[2] != 20 {
		t.Errorf("got %+v, %v", d, err)
	}
}

// testRoutesOfValidFile checks the routes of validFile.
func testRoutesOfValidFile(t *testing.T, a *App) {
	t.Helper()
	r := a.Routes[0]
	if r.Timeout != 900*time.Millisecond || r.Targets[0] != (Target{Service: "tariff", Class: "lookup", Weight: 1}) ||
		r.RewritePrefix != "/tariffs" || *r.Mirror != (Target{Service: "tariff", Class: "lookup"}) {
		t.Errorf("got %+v", r)
	}
	if r.Match.Kind != route.Prefix || len(r.Match.Headers) != 2 || !r.Match.Headers[0].Any ||
		r.Match.Headers[1].Value != "gold" {
		t.Errorf("got %+v", r.Match)
	}
	r = a.Routes[2]
	if len(r.Targets) != 2 || r.Targets[1].Weight != 5 || r.StickyHeader != "X-Account" || r.Match.Kind != route.Exact {
		t.Errorf("got %+v", r)
	}
	if _, indexes, err := a.Table("main"); err != nil || len(indexes) != 3 {
		t.Errorf("got %v, %v", indexes, err)
	}
}

// TestFileLimits checks that a file that exceeds a limit is rejected.
func TestFileLimits(t *testing.T) {
	if _, err := Decode("f", make([]byte, MaxFile+1)); err == nil {
		t.Error("file over the size limit accepted")
	}
	var b strings.Builder
	b.WriteString(validFile[:strings.Index(validFile, "[[routes]]")])
	for i := range MaxRoutes + 1 {
		fmt.Fprintf(&b, "[[routes]]\nname=\"r%d\"\nexact=\"/r%d\"\nservice=\"tariff\"\n", i, i)
	}
	_, err := Decode("f", []byte(b.String()))
	if err == nil || !strings.Contains(err.Error(), "list of 20001 routes exceeds the limit of 20000") {
		t.Errorf("got %.300v", err)
	}
}

// TestExamplesAreValid checks that the example files for operators are valid.
func TestExamplesAreValid(t *testing.T) {
	paths, err := filepath.Glob("../../deploy/*.example.toml")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no example files: %v", err)
	}
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(path, data); err != nil {
			t.Error(err)
		}
	}
}

// FuzzDecode checks that decoding returns either a consistent App or complete diagnostics.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(validFile))
	f.Add([]byte("version = 1\nservices.a.classes.b.repeat = 'safe'\n[[routes]]\n[[routes.split]]\n"))
	f.Add([]byte("listeners = [1, {address = 'x'}]\nservices = {a = 1}\nprocess = []"))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := Decode("f", data)
		if err == nil {
			checkConsistent(t, a)
			return
		}
		var faults tomldoc.Diagnostics
		if !errors.As(err, &faults) || len(faults) == 0 {
			t.Fatalf("got error %T %v, want diagnostics", err, err)
		}
		for _, fault := range faults {
			if strings.ContainsAny(fault.Error(), "\n\r") || fault.Expect == "" {
				t.Fatalf("incomplete diagnostic %q", fault.Error())
			}
		}
	})
}

// checkConsistent checks that a sidecar can use an App.
func checkConsistent(t *testing.T, a *App) {
	t.Helper()
	for _, l := range a.Listeners {
		if _, _, err := a.Table(l.Name); err != nil {
			t.Fatalf("routing table does not compile: %v", err)
		}
	}
	for _, s := range a.Services {
		if _, err := logic.New(s.Balancer, 1); err != nil {
			t.Fatalf("module rejects the settings: %v", err)
		}
	}
	if _, err := a.Descriptors(); err != nil {
		t.Fatal(err)
	}
}
