package main

import (
	"context"
	"encoding/json"
	"errors"
	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/httpapi"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"
)

const (
	askTimeout = 3 * time.Second
	askEvery   = 100 * time.Millisecond
)

func rolloutCommand() *cli.Command {
	to := &cli.StringFlag{Name: "to", Usage: "the source at `ADDR`, host:port", Required: true}
	from := &cli.StringFlag{Name: "from", Usage: "ask the source or relay at `ADDR`, host:port", Required: true}
	return &cli.Command{
		Name: "rollout", Usage: "write a resource, and see where it is in force",
		Action: func(context.Context, *cli.Command) error {
			return errors.New("rollout: one of put, config, status and wait expected")
		},
		Commands: []*cli.Command{
			{Name: "put", Usage: "write the items in FILE to RESOURCE", ArgsUsage: "RESOURCE FILE", Action: rolloutPut, Flags: []cli.Flag{to}},
			rolloutConfigCommand(to),
			{Name: "status", Usage: "who lacks the latest version of RESOURCE, and why", ArgsUsage: "RESOURCE", Action: rolloutStatus, Flags: []cli.Flag{from, jsonFlag()}},
			{
				Name: "wait", Usage: "wait until VERSION of RESOURCE is in force everywhere", ArgsUsage: "RESOURCE VERSION", Action: rolloutWait,
				Flags: []cli.Flag{
					from, &cli.DurationFlag{Name: "timeout", Value: 30 * time.Second, Usage: "wait for `TIME` at most"},
					&cli.IntFlag{Name: "proxies", Value: 1, Usage: "in force at `N` proxies at least: fewer are known while relays start anew"},
				},
			},
		},
	}
}

// rolloutArgs are a command's arguments, the first of them the name of a resource.
func rolloutArgs(c *cli.Command, count int) ([]string, error) {
	if c.Args().Len() != count {
		return nil, fmt.Errorf("rollout %s: %s expected", c.Name, c.ArgsUsage)
	}
	args := c.Args().Slice()
	if err := distribution.ValidateName("resource", args[0]); err != nil {
		return nil, fmt.Errorf("rollout %s: %w", c.Name, err)
	}
	return args, nil
}

// rolloutPut writes a file's items. The file is a PutRequest without its resource.
func rolloutPut(ctx context.Context, c *cli.Command) error {
	args, err := rolloutArgs(c, 2)
	if err != nil {
		return err
	}
	put, err := readPut(args[0], args[1])
	if err != nil {
		return fmt.Errorf("rollout put: %w", err)
	}
	return writePut(ctx, c, put)
}

// writePut writes to the source, and prints the version.
func writePut(ctx context.Context, c *cli.Command, put *distribution.PutRequest) error {
	client := httpapi.NewClient(nil)
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	version, err := client.Put(ctx, c.String("to"), put)
	var conflict *distribution.ConflictError
	if errors.As(err, &conflict) {
		fmt.Fprintf(c.Root().Writer, "not written: %v\n", conflict)
		return errFaults
	}
	if err != nil {
		return fmt.Errorf("rollout %s: %w", c.Name, err)
	}
	fmt.Fprintln(c.Root().Writer, version)
	return nil
}

// readPut reads a file of items.
func readPut(resource, name string) (*distribution.PutRequest, error) {
	data, err := readBounded(name)
	if err != nil {
		return nil, err
	}
	put := new(distribution.PutRequest)
	if err := json.Unmarshal(data, put); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if put.Resource != "" && put.Resource != resource {
		return nil, fmt.Errorf("%s: resource: %q found, %q or none expected", name, put.Resource, resource)
	}
	put.Resource = resource
	if err := put.Validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return put, nil
}

func rolloutStatus(ctx context.Context, c *cli.Command) error {
	args, err := rolloutArgs(c, 1)
	if err != nil {
		return err
	}
	client := httpapi.NewClient(nil)
	defer client.Close()
	status, err := askStatus(ctx, client, c.String("from"), args[0])
	if err != nil {
		return fmt.Errorf("rollout status: %w", err)
	}
	if len(status.Counts) == 0 {
		return fmt.Errorf("rollout status: %s: no version found, and nobody who follows it", args[0])
	}
	if c.Bool("json") {
		data, err := json.Marshal(status)
		if err != nil {
			return err
		}
		fmt.Fprintf(c.Root().Writer, "%s\n", data)
	} else {
		printStatus(c.Root().Writer, status)
	}
	if progress := status.Progress(status.Counts[0].Version); !progress.Done() {
		return errFaults
	}
	return nil
}

func askStatus(ctx context.Context, client *httpapi.Client, address, resource string) (*distribution.ResourceStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return client.Status(ctx, address, resource)
}

// printStatus tells people a status: the latest version first.
func printStatus(w io.Writer, status *distribution.ResourceStatus) {
	latest := status.Counts[0].Version
	progress := status.Progress(latest)
	fmt.Fprintf(w, "%s: %d of %d proxies have the latest version, %v\n", status.Resource, progress.InForce, progress.Proxies, latest)
	for _, count := range status.Counts[1:] {
		fmt.Fprintf(w, "version %v: %d proxies\n", count.Version, count.Proxies)
	}
	printLaggards(w, status.Rejections, status.Laggards)
}

// printLaggards tells who lacks a version, and why: with a reason where it was refused.
func printLaggards(w io.Writer, refusals []distribution.Rejection, behind []distribution.Laggard) {
	refused := make(map[string]bool)
	for _, r := range refusals {
		refused[r.Follower] = true
		fmt.Fprintf(w, "%s refuses version %v: %s\n", r.Follower, r.Version, r.Reason)
	}
	for _, l := range behind {
		switch {
		case refused[l.Follower]:
		case l.InForce.IsZero():
			fmt.Fprintf(w, "%s has none yet\n", l.Follower)
		default:
			fmt.Fprintf(w, "%s still has version %v\n", l.Follower, l.InForce)
		}
	}
}

func rolloutWait(ctx context.Context, c *cli.Command) error {
	args, err := rolloutArgs(c, 2)
	if err != nil {
		return err
	}
	version, err := distribution.ParseVersion(args[1])
	if err != nil {
		return fmt.Errorf("rollout wait: %w", err)
	}
	client := httpapi.NewClient(nil)
	defer client.Close()
	done := func(p *distribution.Progress) bool { return p.Done() && p.Proxies >= int(c.Int("proxies")) }
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	progress, err := awaitVersion(ctx, client, c.String("from"), args[0], version, done)
	if err != nil {
		return fmt.Errorf("rollout wait: %w", err)
	}
	fmt.Fprintf(c.Root().Writer, "%s: %d of %d proxies have version %v or a later one\n", args[0], progress.InForce, progress.Proxies, version)
	if done(progress) {
		return nil
	}
	printLaggards(c.Root().Writer, progress.Rejections, progress.Laggards)
	return errFaults
}

// awaitVersion asks until a version is in force as it is to be, somebody has refused it, or the context ends. An error: it
// could not be asked at the end.
func awaitVersion(ctx context.Context, client *httpapi.Client, address, resource string, version distribution.Version,
	done func(*distribution.Progress) bool,
) (*distribution.Progress, error) {
	ticker := time.NewTicker(askEvery)
	defer ticker.Stop()
	var last *distribution.Progress
	var failed error
	for {
		status, err := askStatus(ctx, client, address, resource)
		switch {
		case err == nil:
			progress := status.Progress(version)
			last, failed = &progress, nil
			if done(last) || len(last.Rejections) > 0 {
				return last, nil
			}
		case ctx.Err() == nil || last == nil:
			failed = err
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return last, failed
		}
	}
}
