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

// The generated files do not depend on how the text of a catalogue is divided into files, or on the
// order of the files. Only the digest of the sources differs.
func TestOutputIsIndependentOfFileLayout(t *testing.T) {
	start := StarterFiles()
	joined := File{Name: "all.toml"}
	for i, f := range start {
		text := string(f.Data)
		if i > 0 {
			text = strings.Replace(text, "catalogue = 1\n", "", 1)
		}
		joined.Data = append(joined.Data, text...)
	}
	// The same tables in the reverse order.
	tables := strings.Split(string(joined.Data[len("catalogue = 1\n"):]), "\n[applications.")
	for i := range tables[1:] {
		tables[i+1] = "[applications." + tables[i+1]
	}
	reversed := slices.Clone(tables)
	slices.Reverse(reversed)
	var want []Output
	reversedFile := File{Name: "reversed.toml", Data: []byte("catalogue = 1\n" + strings.Join(reversed, "\n"))}
	for i, files := range [][]File{start, {start[2], start[0], start[1]}, {joined}, {reversedFile}} {
		for range 3 {
			c, diagnostics := Read(files)
			if len(diagnostics) > 0 {
				t.Fatal(diagnostics)
			}
			p, diagnostics := c.Generate("staging")
			if len(diagnostics) > 0 || len(p.Outputs) != 2 {
				t.Fatal(diagnostics)
			}
			if want == nil {
				want = p.Outputs
			}
			for n, o := range p.Outputs {
				got := bytes.ReplaceAll(o.Data, []byte(c.Digest), []byte("D"))
				first, _ := Read(start)
				if w := bytes.ReplaceAll(want[n].Data, []byte(first.Digest), []byte("D")); !bytes.Equal(got, w) {
					t.Errorf("layout %d: got\n%s\nwant\n%s", i, got, w)
				}
				if len(o.Origin) != bytes.Count(o.Data, []byte("\n")) {
					t.Errorf("got %d origins, want one for each of %d lines", len(o.Origin),
						bytes.Count(o.Data, []byte("\n")))
				}
			}
		}
	}
}

// changeTexts returns the text of each change.
func changeTexts(changes []config.Change) []string {
	var texts []string
	for _, change := range changes {
		texts = append(texts, change.String())
	}
	return texts
}

// The generated files have the values that an environment overrides, and no other value changes.
func TestEnvironmentOverridesValues(t *testing.T) {
	c, _ := Read(StarterFiles())
	local, _ := c.Generate("local")
	staging, _ := c.Generate("staging")
	changes, headsDiffer := config.Diff(
		config.Read("a", local.Outputs[0].Data), config.Read("b", staging.Outputs[0].Data))
	got := changeTexts(changes)
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
	if !slices.Equal(got, want) || !headsDiffer {
		t.Errorf("headers differ: got %v, want true; got changes\n%s", headsDiffer, strings.Join(got, "\n"))
	}
}

// A class that is renamed with its former name is reported as a rename, not as a removal and an
// addition.
func TestDiffReportsRenamedClassAsOneChange(t *testing.T) {
	files := StarterFiles()
	old, _ := Read(files)
	files[0].Data = bytes.ReplaceAll(files[0].Data, []byte("[services.billing.classes.usage-rate]\n"),
		[]byte("[services.billing.classes.rate]\nformerly = [\"usage-rate\"]\n"))
	files[1].Data = bytes.ReplaceAll(files[1].Data, []byte("classes.usage-rate"), []byte("classes.rate"))
	renamed, _ := Read(files)
	before, _ := old.Generate("local")
	after, diagnostics := renamed.Generate("local")
	if len(diagnostics) > 0 {
		t.Fatal(diagnostics)
	}
	changes, _ := config.Diff(config.Read("a", before.Outputs[0].Data), config.Read("a", after.Outputs[0].Data))
	got := changeTexts(changes)
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
		t.Errorf("got changes\n%s", strings.Join(got, "\n"))
	}
}

// A file with endpoint lists from relays has the addresses of the relays and requires a program
// version that supports them. Files without relays require an older version.
func TestRelaysRequireNewerProgram(t *testing.T) {
	files := StarterFiles()
	plain, _ := Read(files)
	before, _ := plain.Generate("local")
	for _, o := range before.Outputs {
		if !bytes.Contains(o.Data, []byte("requires = \"0.3\"\n")) || bytes.Contains(o.Data, []byte("distribution")) {
			t.Errorf("without relays: got\n%s", o.Data)
		}
	}
	name := before.Outputs[0].Application
	files = append(files, File{Name: "relays.toml", Data: fmt.Appendf(nil, `catalogue = 1
[environments.local.applications.%s.distribution]
relays = ["127.0.0.1:7401"]
`, name)})
	relayed, diagnostics := Read(files)
	if len(diagnostics) > 0 {
		t.Fatal(diagnostics)
	}
	after, _ := relayed.Generate("local")
	doc := config.Read("f", after.Outputs[0].Data)
	if doc.App == nil || doc.App.Provenance.Requires != minProgramVersionRelay ||
		!slices.Equal(doc.App.Distribution.Relays, []string{"127.0.0.1:7401"}) {
		t.Errorf("with relays: got\n%s\ndiagnostics %v", after.Outputs[0].Data, doc.Diagnostics)
	}
}

// Any input gives a plan or diagnostics with a place. The generated files are valid TOML whatever
// the strings of the catalogue contain.
func FuzzCatalogue(f *testing.F) {
	for _, s := range StarterFiles() {
		f.Add(s.Data, "staging")
	}
	f.Add([]byte("catalogue = 1\n[services.\"a\\\"b\\n\"]\nteam = \"x\\u0007\"\n"+
		"[services.\"a\\\"b\\n\".classes.\"]\"]\nrepeat = \"safe\"\nroutes = [{ headers = { \"a b\" = \"\\\"\" } }]\n"+
		"[applications.x]\nserves = [1]\n[applications.x.calls.\"a\\\"b\\n\"]\nshare = nan\n"), "")
	f.Add([]byte("catalogue = 1\n[services.s]\nteam='t'\npods={p={cell=1,endpoints=[1,{address='x'}]}}\n"+
		"classes={c=5,d={routes=[7,{prefix=3}]}}\n[applications.a]\nlisteners=[1]\nprocess=5\n"+
		"calls={s={split=[{service='s'},9],classes={d={mirror={service='s'}}}}}\n"), "")
	f.Fuzz(func(t *testing.T, data []byte, env string) {
		c, diagnostics := Read([]File{{Name: "f.toml", Data: data}, StarterFiles()[2]})
		if c == nil {
			if len(diagnostics) == 0 {
				t.Fatal("got neither a catalogue nor a diagnostic")
			}
			return
		}
		p, more := c.Generate(env)
		for _, f := range append(diagnostics, more...) {
			if strings.ContainsAny(f.Report(), "\n\r") || f.File == "" && f.Rule != "" && f.Line > 0 {
				t.Fatalf("invalid report: %q", f.Report())
			}
		}
		if p == nil {
			return
		}
		for _, o := range append(p.Outputs, p.Uncalled...) {
			root, diagnostics := tomldoc.Parse(o.Name, o.Data)
			for _, f := range diagnostics {
				if root == nil && f.Rule != "FILE-SIZE" && f.Rule != "FILE-DEPTH" && f.Rule != "DOUBLE-FIELD" {
					t.Fatalf("generated file is not valid TOML: %v\n%s", diagnostics, o.Data)
				}
			}
			if n := bytes.Count(o.Data, []byte("\n")); n != len(o.Origin) {
				t.Fatalf("got %d origins, want one for each of %d lines", len(o.Origin), n)
			}
			_ = fmt.Sprint(config.Read(o.Name, o.Data).Diagnostics)
		}
	})
}
