package main

import "github.com/urfave/cli/v3"

func scaleCommand() *cli.Command {
	return &cli.Command{Name: "scale", Usage: "measure what a sidecar costs", Commands: []*cli.Command{scaleLatencyCommand()}}
}
