package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/httpapi"
)

const (
	// rolloutRequestTimeout bounds a request to the source or a relay.
	rolloutRequestTimeout = 3 * time.Second
	// statusInterval is the interval at which "rollout wait" polls the status.
	statusInterval = 100 * time.Millisecond
)

// rolloutCommand returns the commands that write resources and report where versions are in force.
func rolloutCommand() *cli.Command {
	to := &cli.StringFlag{Name: "to", Usage: "the source at `ADDR`, host:port", Required: true}
	from := &cli.StringFlag{Name: "from", Usage: "ask the source or relay at `ADDR`, host:port", Required: true}
	return &cli.Command{
		Name: "rollout", Usage: "write a resource, and see where it is in force",
		Action: func(context.Context, *cli.Command) error {
			return errors.New("rollout: a command is required: one of put, config, status and wait")
		},
		Commands: []*cli.Command{
			{
				Name: "put", Usage: "write the items in FILE to RESOURCE", ArgsUsage: "RESOURCE FILE",
				Action: rolloutPut, Flags: []cli.Flag{to},
			},
			rolloutConfigCommand(to),
			{
				Name: "status", Usage: "who lacks the latest version of RESOURCE, and why", ArgsUsage: "RESOURCE",
				Action: rolloutStatus, Flags: []cli.Flag{from, jsonFlag()},
			},
			{
				Name: "wait", Usage: "wait until VERSION of RESOURCE is in force everywhere",
				ArgsUsage: "RESOURCE VERSION", Action: rolloutWait,
				Flags: []cli.Flag{
					from, &cli.DurationFlag{Name: "timeout", Value: 30 * time.Second, Usage: "wait for `TIME` at most"},
					&cli.IntFlag{
						Name: "proxies", Value: 1,
						Usage: "in force at `N` proxies at least: fewer are known while relays start anew",
					},
				},
			},
		},
	}
}

// rolloutArgs returns the arguments of a command, after a check of their number and of the first,
// which is the name of a resource.
func rolloutArgs(c *cli.Command, count int) ([]string, error) {
	if c.Args().Len() != count {
		return nil, fmt.Errorf("rollout %s: got %d arguments, want %s", c.Name, c.Args().Len(), c.ArgsUsage)
	}
	args := c.Args().Slice()
	if err := distribution.ValidateName("resource", args[0]); err != nil {
		return nil, fmt.Errorf("rollout %s: %w", c.Name, err)
	}
	return args, nil
}

// rolloutPut writes the items of a file. The file holds a PutRequest, whose resource may be absent.
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

// writePut sends a write to the source and prints the new version or, on a conflict, why nothing
// was written.
func writePut(ctx context.Context, c *cli.Command, put *distribution.PutRequest) error {
	client := httpapi.NewClient(nil)
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, rolloutRequestTimeout)
	defer cancel()
	version, err := client.Put(ctx, c.String("to"), put)
	var conflict *distribution.ConflictError
	if errors.As(err, &conflict) {
		if _, err := fmt.Fprintf(c.Root().Writer, "not written: %v\n", conflict); err != nil {
			return err
		}
		return errFindings
	}
	if err != nil {
		return fmt.Errorf("rollout %s: %w", c.Name, err)
	}
	_, err = fmt.Fprintln(c.Root().Writer, version)
	return err
}

// readPut reads and validates a file with a write to a resource.
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
		return nil, fmt.Errorf("%s: invalid resource %q: must be %q or absent", name, put.Resource, resource)
	}
	put.Resource = resource
	if err := put.Validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return put, nil
}

// rolloutStatus prints how far the latest version of a resource is in force.
func rolloutStatus(ctx context.Context, c *cli.Command) error {
	args, err := rolloutArgs(c, 1)
	if err != nil {
		return err
	}
	client := httpapi.NewClient(nil)
	defer client.Close()
	status, err := getStatus(ctx, client, c.String("from"), args[0])
	if err != nil {
		return fmt.Errorf("rollout status: %w", err)
	}
	if len(status.Counts) == 0 {
		return fmt.Errorf("rollout status: resource %s: no version found and no followers", args[0])
	}
	text := describeStatus(status)
	if c.Bool("json") {
		data, err := json.Marshal(status)
		if err != nil {
			return err
		}
		text = string(data) + "\n"
	}
	if _, err := io.WriteString(c.Root().Writer, text); err != nil {
		return err
	}
	progress := status.Progress(status.Counts[0].Version)
	if !progress.Done() {
		return errFindings
	}
	return nil
}

// getStatus returns the status of a resource at a source or relay.
func getStatus(
	ctx context.Context, client *httpapi.Client, address, resource string,
) (*distribution.ResourceStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, rolloutRequestTimeout)
	defer cancel()
	return client.Status(ctx, address, resource)
}

// describeStatus returns a status as text, with the latest version first.
func describeStatus(status *distribution.ResourceStatus) string {
	latest := status.Counts[0].Version
	progress := status.Progress(latest)
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %d of %d proxies have the latest version, %v\n",
		status.Resource, progress.InForce, progress.Proxies, latest)
	for _, count := range status.Counts[1:] {
		fmt.Fprintf(&b, "version %v: %d proxies\n", count.Version, count.Proxies)
	}
	b.WriteString(describeLaggards(status.Rejections, status.Laggards))
	return b.String()
}

// describeLaggards returns as text which proxies lack a version. A proxy that has rejected the
// version is listed with its reason.
func describeLaggards(rejections []distribution.Rejection, laggards []distribution.Laggard) string {
	var b strings.Builder
	rejected := make(map[string]bool)
	for _, rejection := range rejections {
		rejected[rejection.Follower] = true
		fmt.Fprintf(&b, "%s refuses version %v: %s\n", rejection.Follower, rejection.Version, rejection.Reason)
	}
	for _, laggard := range laggards {
		switch {
		case rejected[laggard.Follower]:
		case laggard.InForce.IsZero():
			fmt.Fprintf(&b, "%s has none yet\n", laggard.Follower)
		default:
			fmt.Fprintf(&b, "%s still has version %v\n", laggard.Follower, laggard.InForce)
		}
	}
	return b.String()
}

// rolloutWait waits until a version is in force and prints the last progress.
func rolloutWait(ctx context.Context, c *cli.Command) error {
	args, err := rolloutArgs(c, 2)
	if err != nil {
		return err
	}
	version, err := distribution.ParseVersion(args[1])
	if err != nil {
		return fmt.Errorf("rollout wait: %w", err)
	}
	wait := versionWait{address: c.String("from"), resource: args[0], version: version, minProxies: c.Int("proxies")}
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	progress, err := wait.run(ctx)
	if err != nil {
		return fmt.Errorf("rollout wait: %w", err)
	}
	text := fmt.Sprintf("%s: %d of %d proxies have version %v or a later one\n",
		args[0], progress.InForce, progress.Proxies, version)
	done := wait.isDone(progress)
	if !done {
		text += describeLaggards(progress.Rejections, progress.Laggards)
	}
	if _, err := io.WriteString(c.Root().Writer, text); err != nil {
		return err
	}
	if !done {
		return errFindings
	}
	return nil
}

// versionWait waits until a version of a resource is in force at all known proxies, and at no fewer
// than minProxies.
type versionWait struct {
	address    string // address of the source or of a relay
	resource   string
	version    distribution.Version
	minProxies int
}

// isDone reports whether the version is in force at all known proxies and at no fewer than
// minProxies.
func (w *versionWait) isDone(p *distribution.Progress) bool {
	return p.Done() && p.Proxies >= w.minProxies
}

// run polls until the version is in force, a proxy has rejected the version, or the context ends,
// and returns the last progress. run returns an error if no status could be read at the end.
func (w *versionWait) run(ctx context.Context) (*distribution.Progress, error) {
	client := httpapi.NewClient(nil)
	defer client.Close()
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	var last *distribution.Progress
	var lastErr error
	for {
		status, err := getStatus(ctx, client, w.address, w.resource)
		switch {
		case err == nil:
			progress := status.Progress(w.version)
			last, lastErr = &progress, nil
			if w.isDone(last) || len(last.Rejections) > 0 {
				return last, nil
			}
		case ctx.Err() == nil || last == nil:
			lastErr = err
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return last, lastErr
		}
	}
}
