package main

import (
	"context"
	"flag"
	"io"
	"slices"

	"fernlanding/internal/config"
	"fernlanding/internal/standin"
)

const maxStandins = 256

// runStandins runs a stand-in for each backend that files name, each of which has a loopback
// address, until the context ends. They answer each request with what it contains. No sidecar runs
// in this process.
func runStandins(ctx context.Context, args []string, out, log io.Writer) error {
	flags := flag.NewFlagSet("fernlanding standin", flag.ContinueOnError)
	flags.SetOutput(log)
	if err := flags.Parse(args); err != nil {
		return flagError(err)
	}
	if flags.NArg() == 0 {
		return usageErrorf("fernlanding standin: the FILE of an application expected")
	}
	addresses, err := backendAddresses(flags.Args())
	if err != nil {
		return usageError{err}
	}
	if len(addresses) == 0 || len(addresses) > maxStandins {
		return usageErrorf("fernlanding standin: the files name %d backends; 1 to %d expected",
			len(addresses), maxStandins)
	}
	for _, address := range addresses {
		backend, err := standin.NewBackendAt(address, standin.Echo)
		if err != nil {
			return err
		}
		defer backend.Close()
		printf(out, "backend  http://%s\n", address)
	}
	printf(out, "\nInterrupt to end.\n")
	<-ctx.Done()
	return nil
}

// backendAddresses returns the addresses of the backends that files name, each once.
func backendAddresses(files []string) ([]string, error) {
	var addresses []string
	for _, file := range files {
		data, err := readFile(file)
		if err != nil {
			return nil, err
		}
		app, err := config.Decode(file, data)
		if err != nil {
			return nil, err
		}
		for _, service := range app.Services {
			for _, endpoint := range service.Source.Endpoints {
				if !slices.Contains(addresses, endpoint.Address) {
					addresses = append(addresses, endpoint.Address)
				}
			}
		}
	}
	return addresses, nil
}
