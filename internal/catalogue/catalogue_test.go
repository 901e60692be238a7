package catalogue

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"

	"fernlanding/internal/config"
	"fernlanding/internal/tomldoc"
)

// The same catalogue gives the same bytes, however its text is divided into files and in whatever order these come; only
// the digest of the sources tells them apart.
func TestOutputDependsOnWhatIsSaidAlone(t *testing.T) {
	start := Start()
	joined := File{Name: "all.toml"}
	for i, f := range start {
		text := string(f.Data)
		if i > 0 {
			text = strings.Replace(text, "catalogue = 1\n", "", 1)
		}
		joined.Data = append(joined.Data, text...)
	}
	// The same tables in another order.
	tables := strings.Split(string(joined.Data[len("catalogue = 1\n"):]), "\n[applications.")
	for i := range tables[1:] {
		tables[i+1] = "[applications." + tables[i+1]
	}
	turned := slices.Clone(tables)
	slices.Reverse(turned)
	var want []Output
	for i, files := range [][]File{start, {start[2], start[0], start[1]}, {joined}, {{Name: "turned.toml", Data: []byte("catalogue = 1\n" + strings.Join(turned, "\n"))}}} {
		for range 3 {
			c, faults := Read(files)
			if len(faults) > 0 {
				t.Fatal(faults)
			}
			p, faults := c.Generate("staging")
			if len(faults) > 0 || len(p.Outputs) != 2 {
				t.Fatal(faults)
			}
			if want == nil {
				want = p.Outputs
			}
			for n, o := range p.Outputs {
				got := bytes.ReplaceAll(o.Data, []byte(c.Digest), []byte("D"))
				first, _ := Read(start)
				if w := bytes.ReplaceAll(want[n].Data, []byte(first.Digest), []byte("D")); !bytes.Equal(got, w) {
					t.Errorf("%d: got\n%s\nwant\n%s", i, got, w)
				}
				if len(o.Origin) != bytes.Count(o.Data, []byte("\n")) {
					t.Errorf("%d places for %d lines", len(o.Origin), bytes.Count(o.Data, []byte("\n")))
				}
			}
		}
	}
}

// An environment's figures reach the files; others do not change.
func TestAnEnvironmentChangesFigures(t *testing.T) {
	c, _ := Read(Start())
	local, _ := c.Generate("local")
	staging, _ := c.Generate("staging")
	a, b := config.Read("a", local.Outputs[0].Data), config.Read("b", staging.Outputs[0].Data)
	changes, heads := config.Diff(a, b)
	var got []string
	for _, ch := range changes {
		got = append(got, ch.String())
	}
	want := []string{
		"~ process.memory_mb = 64, was 128",
		`+ services.tariff.endpoints[tariff-s].name = "tariff-s"`,
		`+ services.tariff.endpoints[tariff-s].address = "127.0.0.1:9101"`,
		"+ services.tariff.endpoints[tariff-s].cell = 1",
		`- services.tariff.endpoints[tariff-1].name = "tariff-1"`,
		`- services.tariff.endpoints[tariff-1].address = "127.0.0.1:9001"`,
		"- services.tariff.endpoints[tariff-1].cell = 1",
		`- services.tariff.endpoints[tariff-2].name = "tariff-2"`,
		`- services.tariff.endpoints[tariff-2].address = "127.0.0.1:9002"`,
		"- services.tariff.endpoints[tariff-2].cell = 1",
	}
	if !slices.Equal(got, want) || !heads {
		t.Errorf("heads %v, got\n%s", heads, strings.Join(got, "\n"))
	}
}

// A renamed class is one change, not a class less and another more.
func TestARenamedClassIsOneChange(t *testing.T) {
	files := Start()
	old, _ := Read(files)
	files[0].Data = bytes.ReplaceAll(files[0].Data, []byte("[services.billing.classes.usage-rate]\n"), []byte("[services.billing.classes.rate]\nformerly = [\"usage-rate\"]\n"))
	files[1].Data = bytes.ReplaceAll(files[1].Data, []byte("classes.usage-rate"), []byte("classes.rate"))
	fresh, _ := Read(files)
	p, _ := old.Generate("local")
	q, faults := fresh.Generate("local")
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	changes, _ := config.Diff(config.Read("a", p.Outputs[0].Data), config.Read("a", q.Outputs[0].Data))
	var got []string
	for _, ch := range changes {
		got = append(got, ch.String())
	}
	want := []string{
		"~ services.billing.classes.usage-rate renamed to services.billing.classes.rate",
		`+ services.billing.classes.rate.formerly[1] = "usage-rate"`,
		`+ routes[billing.rate].name = "billing.rate"`,
		`+ routes[billing.rate].exact = "/usage"`,
		`+ routes[billing.rate].methods[1] = "POST"`,
		`+ routes[billing.rate].service = "billing"`,
		`+ routes[billing.rate].class = "rate"`,
		`- routes[billing.usage-rate].name = "billing.usage-rate"`,
		`- routes[billing.usage-rate].exact = "/usage"`,
		`- routes[billing.usage-rate].methods[1] = "POST"`,
		`- routes[billing.usage-rate].service = "billing"`,
		`- routes[billing.usage-rate].class = "usage-rate"`,
	}
	if !slices.Equal(got, want) {
		t.Errorf("got\n%s", strings.Join(got, "\n"))
	}
}

// A file whose lists come by relays has them, and asks for a program that knows them; others ask for what they did.
func TestRelaysAskForTheirProgram(t *testing.T) {
	files := Start()
	plain, _ := Read(files)
	before, _ := plain.Generate("local")
	for _, o := range before.Outputs {
		if !bytes.Contains(o.Data, []byte("requires = \"0.3\"\n")) || bytes.Contains(o.Data, []byte("distribution")) {
			t.Errorf("without relays:\n%s", o.Data)
		}
	}
	name := before.Outputs[0].Application
	files = append(files, File{Name: "relays.toml", Data: fmt.Appendf(nil, "catalogue = 1\n[environments.local.applications.%s.distribution]\nrelays = [\"127.0.0.1:7401\"]\n", name)})
	relayed, faults := Read(files)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	after, _ := relayed.Generate("local")
	d := config.Read("f", after.Outputs[0].Data)
	if d.App == nil || d.App.Head.Requires != RequiresRelay || !slices.Equal(d.App.Distribution.Relays, []string{"127.0.0.1:7401"}) {
		t.Errorf("with relays:\n%s\n%v", after.Outputs[0].Data, d.Diagnostics)
	}
}

// Any text gives a plan or faults that name a place, and what is generated reads as TOML whatever stands in strings.
func FuzzCatalogue(f *testing.F) {
	for _, s := range Start() {
		f.Add(s.Data, "staging")
	}
	f.Add([]byte("catalogue = 1\n[services.\"a\\\"b\\n\"]\nteam = \"x\\u0007\"\n[services.\"a\\\"b\\n\".classes.\"]\"]\nrepeat = \"safe\"\nroutes = [{ headers = { \"a b\" = \"\\\"\" } }]\n[applications.x]\nserves = [1]\n[applications.x.calls.\"a\\\"b\\n\"]\nshare = nan\n"), "")
	f.Add([]byte("catalogue = 1\n[services.s]\nteam='t'\npods={p={cell=1,endpoints=[1,{address='x'}]}}\nclasses={c=5,d={routes=[7,{prefix=3}]}}\n[applications.a]\nlisteners=[1]\nprocess=5\ncalls={s={split=[{service='s'},9],classes={d={mirror={service='s'}}}}}\n"), "")
	f.Fuzz(func(t *testing.T, data []byte, env string) {
		c, faults := Read([]File{{Name: "f.toml", Data: data}, Start()[2]})
		if c == nil {
			if len(faults) == 0 {
				t.Fatal("nothing, and no fault")
			}
			return
		}
		p, more := c.Generate(env)
		for _, f := range append(faults, more...) {
			if strings.ContainsAny(f.Report(), "\n\r") || f.Place.File == "" && f.Rule != "" && f.Place.Line > 0 {
				t.Fatalf("%q", f.Report())
			}
		}
		if p == nil {
			return
		}
		for _, o := range append(p.Outputs, p.Probes...) {
			root, faults := tomldoc.Parse(o.Name, o.Data)
			for _, f := range faults {
				if root == nil && f.Rule != "FILE-SIZE" && f.Rule != "FILE-DEPTH" && f.Rule != "DOUBLE-FIELD" {
					t.Fatalf("%v\n%s", faults, o.Data)
				}
			}
			if n := bytes.Count(o.Data, []byte("\n")); n != len(o.Origin) {
				t.Fatalf("%d lines, %d places", n, len(o.Origin))
			}
			_ = fmt.Sprint(config.Read(o.Name, o.Data).Diagnostics)
		}
	})
}
