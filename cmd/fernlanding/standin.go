package main

import (
	"context"
	"flag"
	"io"
	"slices"

	"fernlanding/internal/config"
	"fernlanding/internal/standin"
)

const maxStandins = 256 // backends that the files of one command may name

// runStandins runs a stand-in for each backend that files name, until the context ends. The
// backends must have loopback addresses. A stand-in responds to each request with the request's
// method, target and body. No sidecar runs in this process.
func runStandins(ctx context.Context, args []string, out, log io.Writer) error {
	flags := flag.NewFlagSet("fernlanding standin", flag.ContinueOnError)
	flags.SetOutput(log)
	if err := flags.Parse(args); err != nil {
		return flagError(err)
	}
	if flags.NArg() == 0 {
		return usageErrorf("fernlanding standin: missing FILE of an application")
	}
	addresses, err := backendAddresses(flags.Args())
	if err != nil {
		return usageError{err}
	}
	if len(addresses) == 0 || len(addresses) > maxStandins {
		return usageErrorf("fernlanding standin: files name %d backends: must be 1 to %d",
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

// backendAddresses returns the addresses of the backends that files name, without duplicates.
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
