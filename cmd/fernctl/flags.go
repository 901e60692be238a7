package main

import (
	"fmt"

	"github.com/urfave/cli/v3"
)

// catalogueFlag returns the flag that names the catalogue.
func catalogueFlag() cli.Flag {
	return &cli.StringFlag{Name: "catalogue", Usage: "the catalogue: a `DIR` of TOML files, or one file"}
}

// jsonFlag returns the flag that selects JSON output.
func jsonFlag() cli.Flag { return &cli.BoolFlag{Name: "json", Usage: "print for machines"} }

// noArgs returns an error if a command that takes only flags has a positional argument.
func noArgs(c *cli.Command) error {
	if c.Args().Len() > 0 {
		return fmt.Errorf("%s: unexpected argument %q", c.Name, c.Args().First())
	}
	return nil
}
