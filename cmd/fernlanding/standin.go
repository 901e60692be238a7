package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"slices"

	"fernlanding/internal/config"
	"fernlanding/internal/standin"
)

const mostStandins = 256

// backends starts a stand-in for each backend on a loopback address that files name, until it is interrupted. They answer
// each request with what they got. Nothing of a sidecar is in this process.
func backends(ctx context.Context, args []string, out, log io.Writer) error {
	flags := flag.NewFlagSet("fernlanding standin", flag.ContinueOnError)
	flags.SetOutput(log)
	if err := flags.Parse(args); err != nil {
		return asUsage(err)
	}
	if flags.NArg() == 0 {
		return usageError{errors.New("fernlanding standin: the FILE of an application expected")}
	}
	var addresses []string
	for _, name := range flags.Args() {
		data, err := read(name)
		if err != nil {
			return usageError{err}
		}
		app, err := config.Decode(name, data)
		if err != nil {
			return usageError{err}
		}
		for _, s := range app.Services {
			for _, e := range s.Source.Endpoints {
				if !slices.Contains(addresses, e.Address) {
					addresses = append(addresses, e.Address)
				}
			}
		}
	}
	if len(addresses) == 0 || len(addresses) > mostStandins {
		return usageError{fmt.Errorf("fernlanding standin: the files name %d backends; 1 to %d expected", len(addresses), mostStandins)}
	}
	for _, a := range addresses {
		b, err := standin.NewBackendAt(a, standin.Echo)
		if err != nil {
			return err
		}
		defer b.Close()
		fmt.Fprintf(out, "backend  http://%s\n", a)
	}
	fmt.Fprintln(out, "\nInterrupt to end.")
	<-ctx.Done()
	return nil
}
