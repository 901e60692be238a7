package main

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"fernlanding/internal/catalogue/dir"
	"fernlanding/internal/config"
	"fernlanding/internal/explain"
)

// explainCommand returns the command that explains what a sidecar would do with a request.
func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "say what a sidecar would do with a request, and which line says so",
		ArgsUsage: "FILE METHOD URL",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "H", Usage: "a `FIELD` of the request, \"Name: value\"; may be repeated"},
			&cli.StringFlag{
				Name: "listener", Usage: "the `NAME` of the listener that it comes to; the first without it",
			},
			jsonFlag(),
		},
		// The value of a header field may contain commas.
		DisableSliceFlagSeparator: true,
		Action:                    runExplain,
	}
}

// runExplain prints the explanation of the request that the arguments and flags describe.
func runExplain(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 3 {
		return fmt.Errorf("explain: got %d arguments, want FILE METHOD URL", c.Args().Len())
	}
	name, method, target := c.Args().Get(0), c.Args().Get(1), c.Args().Get(2)
	data, err := dir.ReadFile(name)
	if err != nil {
		return fmt.Errorf("explain: %w", err)
	}
	request, err := explain.ParseRequest(method, target, c.StringSlice("H"))
	if err != nil {
		return fmt.Errorf("explain: %w", err)
	}
	doc := config.Read(name, data)
	if doc.App == nil {
		return printDiagnostics(c.Root().ErrWriter, doc.Diagnostics)
	}
	explanation, err := explain.Explain(doc, c.String("listener"), request)
	if err != nil {
		return fmt.Errorf("explain: %w", err)
	}
	if c.Bool("json") {
		return writeJSON(c.Root().Writer, explanation)
	}
	w := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', 0)
	for _, line := range explanation.Lines {
		where := line.Location
		if line.IsDefault {
			where = "default (" + where + ")"
		}
		printf(w, "%s\t%s\t%s\n", line.Part, where, line.Text)
	}
	return w.Flush()
}
