package main

import (
	"context"
	"errors"
	"fernlanding/internal/catalogue"
	"fernlanding/internal/catalogue/dir"
	"fernlanding/internal/check"
	"fernlanding/internal/config"
	"fernlanding/internal/explain"
	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
)

func catalogueFlag() cli.Flag {
	return &cli.StringFlag{Name: "catalogue", Usage: "the catalogue: a `DIR` of TOML files, or one file"}
}

func envFlag() cli.Flag {
	return &cli.StringFlag{Name: "env", Usage: "the environment's `NAME`; needed where the catalogue declares any"}
}

func jsonFlag() cli.Flag { return &cli.BoolFlag{Name: "json", Usage: "print for machines"} }

// noArgs is the fault of arguments where none make sense.
func noArgs(c *cli.Command) error {
	if c.Args().Len() > 0 {
		return fmt.Errorf("%s: unknown argument %q; flags expected", c.Name, c.Args().First())
	}
	return nil
}

func initCommand() *cli.Command {
	return &cli.Command{
		Name: "init", Usage: "write a small catalogue to begin with", Flags: []cli.Flag{catalogueFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			name := c.String("catalogue")
			if err := noArgs(c); err != nil {
				return err
			}
			if name == "" {
				return errors.New("init: -catalogue DIR expected")
			}
			entries, err := os.ReadDir(name)
			if err != nil && !errors.Is(err, fs.ErrNotExist) {
				return fmt.Errorf("init: %w", err)
			}
			if len(entries) > 0 {
				return fmt.Errorf("init: %s is not empty", name)
			}
			if err := os.MkdirAll(name, 0o755); err != nil {
				return fmt.Errorf("init: %w", err)
			}
			for _, f := range catalogue.StarterFiles() {
				if err := os.WriteFile(filepath.Join(name, f.Name), f.Data, 0o644); err != nil {
					return fmt.Errorf("init: %w", err)
				}
				fmt.Fprintln(c.Root().Writer, filepath.Join(name, f.Name))
			}
			return nil
		},
	}
}

// source is a catalogue that has been read.
type source struct {
	name   string
	cat    *catalogue.Catalogue
	faults tomldoc.Diagnostics
}

func load(name string) (*source, error) {
	files, faults, err := dir.Load(name)
	if err != nil {
		return nil, err
	}
	s := &source{name: name}
	var more tomldoc.Diagnostics
	s.cat, more = catalogue.Read(files)
	s.faults = append(faults, more...)
	return s, nil
}

// at puts the catalogue's directory before the names of its files, so that an editor finds them.
func (s *source) at(faults tomldoc.Diagnostics) tomldoc.Diagnostics {
	base := s.name
	if info, err := os.Stat(s.name); err == nil && !info.IsDir() {
		base = filepath.Dir(s.name)
	}
	faults = slices.Clone(faults)
	for i := range faults {
		faults[i].File = filepath.Join(base, faults[i].File)
		if faults[i].See.File != "" {
			faults[i].See.File = filepath.Join(base, faults[i].See.File)
		}
	}
	return faults.Sorted()
}

func generateCommand() *cli.Command {
	return &cli.Command{
		Name: "generate", Usage: "write one file for each application",
		Flags: []cli.Flag{
			catalogueFlag(), envFlag(),
			&cli.StringFlag{Name: "out", Usage: "a `DIR` of its own for the files; what it holds is replaced as a whole"},
			&cli.BoolFlag{Name: "diff", Usage: "write nothing; show what would change, and end with 1 if anything would"},
		},
		Action: generate,
	}
}

func generate(_ context.Context, c *cli.Command) error {
	name, out, log := c.String("catalogue"), c.Root().Writer, c.Root().ErrWriter
	if err := noArgs(c); err != nil {
		return err
	}
	if name == "" || c.String("out") == "" {
		return errors.New("generate: -catalogue DIR and -out DIR expected")
	}
	s, err := load(name)
	if err != nil {
		return err
	}
	deployed, err := dir.Deployed(c.String("out"))
	if err != nil {
		return err
	}
	if s.cat == nil {
		return report(log, s.at(s.faults), false)
	}
	if c.String("env") == "" && len(s.cat.Environments()) > 0 {
		return fmt.Errorf("generate: -env expected, one of %v", s.cat.Environments())
	}
	plan, docs, faults := check.Catalogue(s.cat, c.String("env"), check.Options{Deployed: deployed, Each: spread})
	faults = append(s.faults, faults...)
	if plan == nil || len(faults.Errors()) > 0 {
		return report(log, s.at(faults), false)
	}
	if err := report(log, s.at(faults), false); err != nil {
		return err
	}
	if c.Bool("diff") {
		return diff(out, deployed, docs)
	}
	if err := dir.Write(c.String("out"), plan.Outputs); err != nil {
		return err
	}
	fmt.Fprintf(out, "%d files in %s\n", len(plan.Outputs), c.String("out"))
	return nil
}

// diff prints what would change.
func diff(out io.Writer, deployed, docs []*config.Document) error {
	was := map[string]*config.Document{}
	for _, d := range deployed {
		was[d.File] = d
	}
	some, heads := false, 0
	for _, d := range docs {
		old := was[d.File]
		delete(was, d.File)
		if old == nil {
			fmt.Fprintf(out, "%s: added\n", d.File)
			some = true
			continue
		}
		changes, head := config.Diff(old, d)
		if len(changes) == 0 && head {
			heads++
		}
		for i, ch := range changes {
			if some = true; i == 0 {
				fmt.Fprintf(out, "%s:\n", d.File)
			}
			fmt.Fprintf(out, "  %s\n", ch)
		}
	}
	for _, d := range deployed {
		if was[d.File] != nil {
			fmt.Fprintf(out, "%s: removed\n", d.File)
			some = true
		}
	}
	if heads > 0 {
		fmt.Fprintf(out, "%d files differ in their head alone\n", heads)
	}
	if some {
		return errFaults
	}
	return nil
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "say all that is wrong with files or a catalogue, and why", ArgsUsage: "FILE...",
		Flags: []cli.Flag{
			catalogueFlag(),
			&cli.StringFlag{Name: "env", Usage: "one environment's `NAME`; all of them without it"}, jsonFlag(),
			&cli.StringFlag{Name: "deployed", Usage: "a `DIR` of the files that run now: what may not change in one step is compared with them"},
			&cli.FloatFlag{Name: "retry-factor", Usage: "how often attempts may multiply over all tiers (default: the catalogue's, or 1.2)"},
		},
		Action: checkAll,
	}
}

func checkAll(_ context.Context, c *cli.Command) error {
	name, names := c.String("catalogue"), c.Args().Slice()
	if (name == "") == (len(names) == 0) {
		return errors.New("check: either files or -catalogue DIR expected")
	}
	o, err := checkOptions(c)
	if err != nil {
		return err
	}
	if name == "" {
		return checkFiles(c, names, o)
	}
	return checkCatalogue(c, name, o)
}

// checkOptions are what the flags say of what is judged.
func checkOptions(c *cli.Command) (o check.Options, err error) {
	o = check.Options{RetryFactor: c.Float("retry-factor"), Each: spread}
	if o.RetryFactor != 0 && !(o.RetryFactor >= 1 && o.RetryFactor <= 100) {
		return o, fmt.Errorf("check: -retry-factor %g; 1 to 100 expected", o.RetryFactor)
	}
	at := c.String("deployed")
	if at == "" {
		return o, nil
	}
	if _, err := os.Stat(at); err != nil {
		return o, fmt.Errorf("check: %w", err)
	}
	o.Deployed, err = dir.Deployed(at)
	return o, err
}

// checkFiles judges applications' files.
func checkFiles(c *cli.Command, names []string, o check.Options) error {
	if c.String("env") != "" {
		return errors.New("check: -env goes with -catalogue")
	}
	var files []check.File
	for _, n := range names {
		data, err := dir.ReadFile(n)
		if err != nil {
			return fmt.Errorf("check: %w", err)
		}
		files = append(files, check.File{Name: n, Data: data})
	}
	_, faults := check.Files(files, o)
	return report(c.Root().Writer, faults, c.Bool("json"))
}

// checkCatalogue judges what is generated from a catalogue: for one environment, or for all of them.
func checkCatalogue(c *cli.Command, name string, o check.Options) error {
	s, err := load(name)
	if err != nil {
		return err
	}
	faults := s.faults
	if s.cat != nil {
		envs, err := checkedEnvironments(c, s.cat, o)
		if err != nil {
			return err
		}
		for _, env := range envs {
			_, _, more := check.Catalogue(s.cat, env, o)
			faults = append(faults, more...)
		}
	}
	return report(c.Root().Writer, s.at(faults), c.Bool("json"))
}

// checkedEnvironments is the one that -env names, or all; the empty one where the catalogue has none.
func checkedEnvironments(c *cli.Command, cat *catalogue.Catalogue, o check.Options) ([]string, error) {
	all := cat.Environments()
	if env := c.String("env"); env != "" || len(all) == 0 {
		return []string{env}, nil
	}
	if o.Deployed != nil && len(all) > 1 {
		return nil, fmt.Errorf("check: -deployed is of one environment: -env expected, one of %v", all)
	}
	return all, nil
}

// said is a fault for machines.
type said struct {
	File     string   `json:"file"`
	Line     int      `json:"line"`
	Col      int      `json:"col"`
	Rule     rules.ID `json:"rule"`
	Severity string   `json:"severity"`
	Field    string   `json:"field,omitempty"`
	Found    string   `json:"found,omitempty"`
	Expect   string   `json:"expect"`
	See      string   `json:"see,omitempty"`
	Why      string   `json:"why"`
	Instead  string   `json:"instead"`
	Page     string   `json:"page"`
}

// report prints faults and is errFaults if any is an error.
func report(out io.Writer, faults tomldoc.Diagnostics, machines bool) error {
	if machines {
		all := []said{}
		for _, f := range faults {
			r := rules.Get(f.Rule)
			one := said{f.File, f.Line, f.Col, f.Rule, r.Severity.String(), f.Field, f.Found, f.Expect, "", r.Why, r.Instead, rules.Page + "#" + r.Anchor()}
			if f.See.File != "" {
				one.See = f.See.String()
			}
			all = append(all, one)
		}
		if err := asJSON(out, all); err != nil {
			return err
		}
	} else {
		for _, f := range faults {
			fmt.Fprintln(out, f.Report())
		}
	}
	if len(faults.Errors()) > 0 {
		return errFaults
	}
	return nil
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "say what a sidecar would do with a request, and which line says so", ArgsUsage: "FILE METHOD URL",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "H", Usage: "a `FIELD` of the request, \"Name: value\"; may be repeated"},
			&cli.StringFlag{Name: "listener", Usage: "the `NAME` of the listener that it comes to; the first without it"}, jsonFlag(),
		},
		// A field's value may hold commas.
		DisableSliceFlagSeparator: true,
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() != 3 {
				return fmt.Errorf("explain: FILE METHOD URL expected, found %d arguments", c.Args().Len())
			}
			name := c.Args().Get(0)
			data, err := dir.ReadFile(name)
			if err != nil {
				return fmt.Errorf("explain: %w", err)
			}
			r, err := explain.ParseRequest(c.Args().Get(1), c.Args().Get(2), c.StringSlice("H"))
			if err != nil {
				return fmt.Errorf("explain: %w", err)
			}
			d := config.Read(name, data)
			if d.App == nil {
				return report(c.Root().ErrWriter, d.Diagnostics, false)
			}
			a, err := explain.Explain(d, c.String("listener"), r)
			if err != nil {
				return fmt.Errorf("explain: %w", err)
			}
			if c.Bool("json") {
				return asJSON(c.Root().Writer, a)
			}
			w := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', 0)
			for _, l := range a.Lines {
				where := l.Where
				if l.IsDefault {
					where = "default (" + where + ")"
				}
				fmt.Fprintf(w, "%s\t%s\t%s\n", l.Part, where, l.Text)
			}
			return w.Flush()
		},
	}
}

func migrateCommand() *cli.Command {
	return &cli.Command{
		Name: "migrate", Usage: "write an older file in the newest format, and say what changed", ArgsUsage: "FILE",
		Flags: []cli.Flag{&cli.BoolFlag{Name: "write", Usage: "replace the file; without it the new one is printed"}},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return fmt.Errorf("migrate: one FILE expected, found %d arguments", c.Args().Len())
			}
			name, log := c.Args().First(), c.Root().ErrWriter
			data, err := dir.ReadFile(name)
			if err != nil {
				return fmt.Errorf("migrate: %w", err)
			}
			fresh, steps, err := config.Migrate(name, data)
			var faults tomldoc.Diagnostics
			if errors.As(err, &faults) {
				fmt.Fprintf(log, "%s: version %d refuses what it says; nothing that means the same can be written:\n", name, config.Version)
				return report(log, faults, false)
			}
			if err != nil {
				return fmt.Errorf("migrate: %w", err)
			}
			for _, s := range steps {
				fmt.Fprintln(log, s)
			}
			if len(steps) == 0 {
				fmt.Fprintf(log, "%s: is of version %d\n", name, config.Version)
			}
			if !c.Bool("write") {
				_, err = c.Root().Writer.Write(fresh)
				return err
			}
			if len(steps) == 0 {
				return nil
			}
			return dir.Replace(name, fresh)
		},
	}
}

func rulesCommand() *cli.Command {
	return &cli.Command{
		Name: "rules", Usage: "list every rule with its reason",
		Flags: []cli.Flag{jsonFlag(), &cli.BoolFlag{Name: "markdown", Usage: "as the operators' page has them"}},
		Action: func(_ context.Context, c *cli.Command) error {
			out := c.Root().Writer
			if err := noArgs(c); err != nil {
				return err
			}
			if c.Bool("markdown") {
				_, err := io.WriteString(out, rules.Markdown())
				return err
			}
			type rule struct {
				ID       rules.ID `json:"id"`
				Group    string   `json:"group"`
				Severity string   `json:"severity"`
				Since    int      `json:"since_version,omitempty"`
				What     string   `json:"what"`
				Why      string   `json:"why"`
				Instead  string   `json:"instead"`
				Page     string   `json:"page"`
			}
			var all []rule
			for _, r := range rules.All() {
				all = append(all, rule{r.ID, r.Group, r.Severity.String(), r.Since, r.What, r.Why, r.Instead, rules.Page + "#" + r.Anchor()})
			}
			if c.Bool("json") {
				return asJSON(out, all)
			}
			w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
			for _, r := range all {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", r.ID, r.Severity, r.What, r.Page)
				fmt.Fprintf(w, "\t\twhy: %s\t\n\t\tinstead: %s\t\n", r.Why, r.Instead)
			}
			return w.Flush()
		},
	}
}
