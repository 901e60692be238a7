package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"fernlanding/internal/config"
	"fernlanding/internal/distribution"
	"fernlanding/internal/sidecar"

	"github.com/urfave/cli/v3"
)

// rolloutConfigCommand returns the command that writes a configuration to the source that the flag
// "to" names.
func rolloutConfigCommand(to cli.Flag) *cli.Command {
	expected := &cli.StringFlag{Name: "expected", Usage: "only where `VERSION` stands; 0.0: where none does"}
	return &cli.Command{
		Name: "config", Usage: "write the application's configuration in FILE for the sidecars that follow it",
		ArgsUsage: "FILE", Action: rolloutConfig, Flags: []cli.Flag{to, expected},
	}
}

// rolloutConfig writes a configuration as the resource that its distribution.configuration names.
func rolloutConfig(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return fmt.Errorf("rollout config: got %d arguments, want %s", c.Args().Len(), c.ArgsUsage)
	}
	name := c.Args().First()
	data, err := readBounded(name)
	if err != nil {
		return fmt.Errorf("rollout config: %w", err)
	}
	app, err := config.Decode(name, data)
	if err != nil {
		if _, err := fmt.Fprintln(c.Root().Writer, err); err != nil {
			return err
		}
		return errFindings
	}
	put, err := configurationPut(name, app, data)
	if err != nil {
		return fmt.Errorf("rollout config: %w", err)
	}
	if text := c.String("expected"); text != "" {
		version, err := distribution.ParseVersion(text)
		if err != nil {
			return fmt.Errorf("rollout config: -expected: %w", err)
		}
		put.Expected = &version
	}
	return writePut(ctx, c, put)
}

// configurationPut returns the write that replaces a configuration. The configuration is divided
// into fragments if the joined fragments are equivalent to the file, and is a single item
// otherwise.
func configurationPut(name string, app *config.App, data []byte) (*distribution.PutRequest, error) {
	if app.Distribution.Configuration == "" {
		return nil, fmt.Errorf("%s: missing distribution.configuration: the name that sidecars follow", name)
	}
	fragments := config.Fragments(data)
	joined, err := config.Decode(name, config.Join(fragments))
	if err != nil || !config.Equivalent(joined, app) {
		fragments = config.SingleFragment(data)
	}
	resource := sidecar.ConfigurationResource(app.Distribution.Configuration)
	put := &distribution.PutRequest{Resource: resource, Replace: true}
	for _, key := range slices.Sorted(maps.Keys(fragments)) {
		value, err := json.Marshal(string(fragments[key]))
		if err != nil {
			return nil, err
		}
		put.Items = append(put.Items, distribution.Item{Key: key, Value: value})
	}
	if err := put.Validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return put, nil
}
