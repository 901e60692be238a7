package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"

	"github.com/urfave/cli/v3"

	"fernlanding/internal/catalogue"
	"fernlanding/internal/catalogue/dir"
	"fernlanding/internal/check"
	"fernlanding/internal/config"
	"fernlanding/internal/tomldoc"
)

// initCommand returns the command that writes the starter catalogue.
func initCommand() *cli.Command {
	return &cli.Command{
		Name: "init", Usage: "write a small catalogue to begin with", Flags: []cli.Flag{catalogueFlag()},
		Action: initCatalogue,
	}
}

// initCatalogue writes the starter catalogue to an empty directory.
func initCatalogue(_ context.Context, c *cli.Command) error {
	directory := c.String("catalogue")
	if err := noArgs(c); err != nil {
		return err
	}
	if directory == "" {
		return errors.New("init: -catalogue DIR is required")
	}
	entries, err := os.ReadDir(directory)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("init: %w", err)
	}
	if len(entries) > 0 {
		return fmt.Errorf("init: %s is not empty", directory)
	}
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return fmt.Errorf("init: %w", err)
	}
	for _, file := range catalogue.StarterFiles() {
		name := filepath.Join(directory, file.Name)
		if err := os.WriteFile(name, file.Data, 0o644); err != nil {
			return fmt.Errorf("init: %w", err)
		}
		printf(c.Root().Writer, "%s\n", name)
	}
	return nil
}

// catalogueSource is a catalogue as read from disk, with its diagnostics.
type catalogueSource struct {
	name        string               // name of the directory or file
	catalogue   *catalogue.Catalogue // nil if the catalogue could not be read
	diagnostics tomldoc.Diagnostics
}

// loadCatalogue reads the catalogue in a directory or in a single file.
func loadCatalogue(name string) (*catalogueSource, error) {
	files, includes, err := dir.Load(name)
	if err != nil {
		return nil, err
	}
	cat, diagnostics := catalogue.Read(files)
	return &catalogueSource{name: name, catalogue: cat, diagnostics: append(includes, diagnostics...)}, nil
}

// withPaths returns the diagnostics sorted, with file names prefixed by the catalogue's directory,
// so that an editor can open them.
func (s *catalogueSource) withPaths(diagnostics tomldoc.Diagnostics) tomldoc.Diagnostics {
	directory := s.name
	if info, err := os.Stat(s.name); err == nil && !info.IsDir() {
		directory = filepath.Dir(s.name)
	}
	diagnostics = slices.Clone(diagnostics)
	for i := range diagnostics {
		d := &diagnostics[i]
		d.File = filepath.Join(directory, d.File)
		if d.See.File != "" {
			d.See.File = filepath.Join(directory, d.See.File)
		}
	}
	return diagnostics.Sorted()
}

// generateCommand returns the command that generates the configuration files of the applications.
func generateCommand() *cli.Command {
	return &cli.Command{
		Name: "generate", Usage: "write one file for each application",
		Flags: []cli.Flag{
			catalogueFlag(),
			&cli.StringFlag{
				Name: "env", Usage: "the environment's `NAME`; needed where the catalogue declares any",
			},
			&cli.StringFlag{
				Name: "out", Usage: "a `DIR` of its own for the files; what it holds is replaced as a whole",
			},
			&cli.BoolFlag{
				Name: "diff", Usage: "write nothing; show what would change, and end with 1 if anything would",
			},
		},
		Action: generate,
	}
}

// generate writes the applications' files or, with -diff, prints what would change.
func generate(_ context.Context, c *cli.Command) error {
	name, out, environment := c.String("catalogue"), c.String("out"), c.String("env")
	if err := noArgs(c); err != nil {
		return err
	}
	if name == "" || out == "" {
		return errors.New("generate: -catalogue DIR and -out DIR are required")
	}
	source, err := loadCatalogue(name)
	if err != nil {
		return err
	}
	deployed, err := dir.ReadDeployed(out)
	if err != nil {
		return err
	}
	if source.catalogue == nil {
		return printDiagnostics(c.Root().ErrWriter, source.withPaths(source.diagnostics))
	}
	if environment == "" && len(source.catalogue.Environments()) > 0 {
		return fmt.Errorf("generate: -env is required: one of %v", source.catalogue.Environments())
	}
	options := check.Options{Deployed: deployed, ForEach: inParallel}
	plan, docs, diagnostics := check.Catalogue(source.catalogue, environment, options)
	diagnostics = append(source.diagnostics, diagnostics...)
	if err := printDiagnostics(c.Root().ErrWriter, source.withPaths(diagnostics)); err != nil || plan == nil {
		return err
	}
	if c.Bool("diff") {
		return printDiff(c.Root().Writer, deployed, docs)
	}
	if err := dir.Write(out, plan.Outputs); err != nil {
		return err
	}
	printf(c.Root().Writer, "%d files in %s\n", len(plan.Outputs), out)
	return nil
}

// printDiff prints how the generated files differ from the deployed ones. printDiff returns
// errFindings if anything besides the heads of files differs.
func printDiff(out io.Writer, deployed, generated []*config.Document) error {
	removed := map[string]*config.Document{}
	for _, doc := range deployed {
		removed[doc.File] = doc
	}
	hasChanges, headsOnly := false, 0
	for _, doc := range generated {
		old := removed[doc.File]
		delete(removed, doc.File)
		changed, headDiffers := printFileDiff(out, old, doc)
		hasChanges = hasChanges || changed
		if headDiffers && !changed {
			headsOnly++
		}
	}
	for _, doc := range deployed {
		if removed[doc.File] != nil {
			printf(out, "%s: removed\n", doc.File)
			hasChanges = true
		}
	}
	if headsOnly > 0 {
		printf(out, "%d files differ in their head alone\n", headsOnly)
	}
	if hasChanges {
		return errFindings
	}
	return nil
}

// printFileDiff prints how a generated file differs from the deployed file, which is nil if the
// file is new. The results report whether the contents differ and whether the heads differ. A
// difference of the heads is not printed.
func printFileDiff(out io.Writer, deployed, generated *config.Document) (changed, headDiffers bool) {
	if deployed == nil {
		printf(out, "%s: added\n", generated.File)
		return true, false
	}
	changes, headDiffers := config.Diff(deployed, generated)
	if len(changes) > 0 {
		printf(out, "%s:\n", generated.File)
	}
	for _, change := range changes {
		printf(out, "  %s\n", change)
	}
	return len(changes) > 0, headDiffers
}
