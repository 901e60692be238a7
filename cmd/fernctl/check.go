package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"fernlanding/internal/catalogue"
	"fernlanding/internal/catalogue/dir"
	"fernlanding/internal/check"
)

// checkCommand returns the command that checks files or a catalogue.
func checkCommand() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "say all that is wrong with files or a catalogue, and why", ArgsUsage: "FILE...",
		Flags: []cli.Flag{
			catalogueFlag(),
			&cli.StringFlag{Name: "env", Usage: "one environment's `NAME`; all of them without it"},
			jsonFlag(),
			&cli.StringFlag{
				Name: "deployed",
				Usage: "a `DIR` of the files that run now: what may not change in one step is compared " +
					"with them",
			},
			&cli.FloatFlag{
				Name: "retry-factor",
				Usage: "how often attempts may multiply over all tiers (default: the catalogue's, " +
					"or 1.2)",
			},
		},
		Action: runCheck,
	}
}

// runCheck checks the files of the arguments, or the catalogue of the flag.
func runCheck(_ context.Context, c *cli.Command) error {
	name, files := c.String("catalogue"), c.Args().Slice()
	if (name == "") == (len(files) == 0) {
		return errors.New("check: either files or -catalogue DIR expected")
	}
	options, err := checkOptions(c)
	if err != nil {
		return err
	}
	if name == "" {
		return checkFiles(c, files, options)
	}
	return checkCatalogue(c, name, options)
}

// checkOptions returns the options that the flags state.
func checkOptions(c *cli.Command) (check.Options, error) {
	factor := c.Float("retry-factor")
	if factor != 0 && !(factor >= 1 && factor <= 100) { // negated, so that NaN is rejected
		return check.Options{}, fmt.Errorf("check: -retry-factor %g; 1 to 100 expected", factor)
	}
	options := check.Options{MaxAmplification: factor, ForEach: inParallel}
	directory := c.String("deployed")
	if directory == "" {
		return options, nil
	}
	// Without this a missing directory would count as an empty one.
	if _, err := os.Stat(directory); err != nil {
		return check.Options{}, fmt.Errorf("check: %w", err)
	}
	deployed, err := dir.ReadDeployed(directory)
	options.Deployed = deployed
	return options, err
}

// checkFiles checks applications' files.
func checkFiles(c *cli.Command, names []string, options check.Options) error {
	if c.String("env") != "" {
		return errors.New("check: -env goes with -catalogue")
	}
	var files []check.File
	for _, name := range names {
		data, err := dir.ReadFile(name)
		if err != nil {
			return fmt.Errorf("check: %w", err)
		}
		files = append(files, check.File{Name: name, Data: data})
	}
	_, diagnostics := check.Files(files, options)
	return reportDiagnostics(c, diagnostics)
}

// checkCatalogue checks what is generated from a catalogue, for one environment or for all of them.
func checkCatalogue(c *cli.Command, name string, options check.Options) error {
	source, err := loadCatalogue(name)
	if err != nil {
		return err
	}
	diagnostics := source.diagnostics
	if source.catalogue != nil {
		environments, err := checkedEnvironments(c, source.catalogue, options)
		if err != nil {
			return err
		}
		for _, environment := range environments {
			_, _, found := check.Catalogue(source.catalogue, environment, options)
			diagnostics = append(diagnostics, found...)
		}
	}
	return reportDiagnostics(c, source.withPaths(diagnostics))
}

// checkedEnvironments returns the environment that -env names, or all; the empty one where the
// catalogue has none.
func checkedEnvironments(c *cli.Command, cat *catalogue.Catalogue, options check.Options) ([]string, error) {
	all := cat.Environments()
	if environment := c.String("env"); environment != "" || len(all) == 0 {
		return []string{environment}, nil
	}
	if options.Deployed != nil && len(all) > 1 {
		return nil, fmt.Errorf("check: -deployed is of one environment: -env expected, one of %v", all)
	}
	return all, nil
}
