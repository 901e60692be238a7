package main

import (
	"context"
	"errors"

	"github.com/urfave/cli/v3"
)

// scaleCommand is what a fleet costs by its size: fits and predictions over results of sweeps.
func scaleCommand() *cli.Command {
	return &cli.Command{Name: "scale", Usage: "what a fleet costs by its size",
		Action: func(context.Context, *cli.Command) error {
			return errors.New("scale: one of fit and predict expected")
		},
		Commands: []*cli.Command{scaleFitCommand(), scalePredictCommand()}}
}
