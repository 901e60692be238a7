package main

import (
	"context"
	"errors"
	"fmt"

	"github.com/urfave/cli/v3"

	"fernlanding/internal/catalogue/dir"
	"fernlanding/internal/config"
	"fernlanding/internal/tomldoc"
)

// migrateCommand returns the command that migrates a configuration file to the newest format.
func migrateCommand() *cli.Command {
	return &cli.Command{
		Name: "migrate", Usage: "write an older file in the newest format, and say what changed", ArgsUsage: "FILE",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "write", Usage: "replace the file; without it the new one is printed"},
		},
		Action: migrate,
	}
}

// migrate prints the migrated file or, with -write, replaces the original file.
func migrate(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return fmt.Errorf("migrate: got %d arguments, want one FILE", c.Args().Len())
	}
	name, log := c.Args().First(), c.Root().ErrWriter
	data, err := dir.ReadFile(name)
	if err != nil {
		return fmt.Errorf("migrate: %w", err)
	}
	migrated, steps, err := config.Migrate(name, data)
	var diagnostics tomldoc.Diagnostics
	if errors.As(err, &diagnostics) {
		printf(log, "%s: version %d refuses what it says; nothing that means the same can be written:\n",
			name, config.FormatVersion)
		return printDiagnostics(log, diagnostics)
	}
	if err != nil {
		return fmt.Errorf("migrate: %w", err)
	}
	for _, step := range steps {
		printf(log, "%v\n", step)
	}
	if len(steps) == 0 {
		printf(log, "%s: is of version %d\n", name, config.FormatVersion)
	}
	if !c.Bool("write") {
		_, err := c.Root().Writer.Write(migrated)
		return err
	}
	if len(steps) == 0 {
		return nil
	}
	return dir.ReplaceFile(name, migrated)
}
