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

// checkCommand returns the command that checks configuration files or a catalogue.
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

// runCheck checks the files that the arguments name, or the catalogue that -catalogue names.
func runCheck(_ context.Context, c *cli.Command) error {
	name, files := c.String("catalogue"), c.Args().Slice()
	if (name == "") == (len(files) == 0) {
		return errors.New("check: exactly one of FILE... and -catalogue DIR is required")
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

// checkOptions returns the options that the flags set.
func checkOptions(c *cli.Command) (check.Options, error) {
	factor := c.Float("retry-factor")
	if factor != 0 && !(factor >= 1 && factor <= 100) { // negated, so that NaN is rejected
		return check.Options{}, fmt.Errorf("check: invalid -retry-factor %g: must be between 1 and 100", factor)
	}
	options := check.Options{MaxAmplification: factor, ForEach: inParallel}
	directory := c.String("deployed")
	if directory == "" {
		return options, nil
	}
	// Without the call of Stat a missing directory would count as an empty one.
	if _, err := os.Stat(directory); err != nil {
		return check.Options{}, fmt.Errorf("check: %w", err)
	}
	deployed, err := dir.ReadDeployed(directory)
	options.Deployed = deployed
	return options, err
}

// checkFiles checks the configuration files of applications.
func checkFiles(c *cli.Command, names []string, options check.Options) error {
	if c.String("env") != "" {
		return errors.New("check: -env requires -catalogue")
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

// checkCatalogue checks the files generated from a catalogue, for one environment or for all.
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

// checkedEnvironments returns the environment that -env names, or all environments without -env. If
// the catalogue declares no environments, the result is the empty name.
func checkedEnvironments(c *cli.Command, cat *catalogue.Catalogue, options check.Options) ([]string, error) {
	all := cat.Environments()
	if environment := c.String("env"); environment != "" || len(all) == 0 {
		return []string{environment}, nil
	}
	if options.Deployed != nil && len(all) > 1 {
		return nil, fmt.Errorf("check: -deployed applies to one environment: -env is required: one of %v", all)
	}
	return all, nil
}
