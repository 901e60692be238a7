package sidecar

import (
	"encoding/json"
	"errors"
	"fernlanding/internal/config"
	"fernlanding/internal/distribution"
	"fernlanding/internal/durable"
	"fmt"
	"log/slog"
	"maps"
	"path/filepath"
	"reflect"
	"strings"
	"sync"
)

// ConfigurationResource is the resource that carries the application's file of a name, by fragments.
func ConfigurationResource(name string) string { return "config/" + name }

var (
	errRemote = errors.New("the configuration comes by relays: its file is taken again once distribution.configuration or the relays differ")
	errEnding = errors.New("the sidecar is ending")
)

// remoteConfiguration puts in force the application's file that relays bring, in place of the one that the sidecar was
// started with. It implements follow.Subscriber: a file that can't be put in force is refused, and what stood stays.
type remoteConfiguration struct {
	sidecar *Sidecar
	log     *slog.Logger

	mu        sync.Mutex
	name      string // of the configuration that is followed; empty: none is
	inForce   distribution.Version
	fragments map[string][]byte // of the file in force; nil: none has come
	halted    <-chan struct{}   // closed when the follower is to end
}

// reset follows the configuration of another name, or one anew. No version of it is in force.
func (c *remoteConfiguration) reset(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.name != name || c.halted != nil { // otherwise it has been recalled and not followed yet
		c.inForce, c.fragments = distribution.Version{}, nil
	}
	c.name = name
}

// version is the one in force; zero: none that relays have brought.
func (c *remoteConfiguration) version() distribution.Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inForce
}

// haltedBy says what ends the follower whose updates come from here on.
func (c *remoteConfiguration) haltedBy(halted <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.halted = halted
}

// ApplyUpdate implements follow.Subscriber.
func (c *remoteConfiguration) ApplyUpdate(u distribution.Update) error {
	c.mu.Lock()
	fragments, halted := c.fragments, c.halted
	c.mu.Unlock()
	fragments, err := changed(fragments, &u)
	if err != nil {
		return err
	}
	app, err := config.Decode(u.Resource, config.Join(fragments))
	if err != nil {
		return firstLine(err)
	}
	if err := c.sidecar.reloadRemote(app, halted); err != nil {
		return firstLine(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inForce, c.fragments = u.Version, fragments
	c.log.Info("new configuration", "services", len(app.Services), "routes", len(app.Routes), "version", u.Version.String())
	c.keep(app.StateDir)
	return nil
}

// UpdateFailed implements follow.Subscriber. What is in force stays.
func (c *remoteConfiguration) UpdateFailed() {}

// changed are the fragments after an update.
func changed(fragments map[string][]byte, u *distribution.Update) (map[string][]byte, error) {
	after := map[string][]byte{}
	if !u.Full() {
		maps.Copy(after, fragments)
	}
	for _, item := range u.Items {
		if item.Deleted {
			delete(after, item.Key)
			continue
		}
		var text string
		if err := json.Unmarshal(item.Value, &text); err != nil {
			return nil, fmt.Errorf("fragment %q: text expected: %w", item.Key, err)
		}
		after[item.Key] = []byte(text)
	}
	return after, nil
}

// firstLine is an error's first line: what comes back to the operator is short.
func firstLine(err error) error {
	line, _, more := strings.Cut(err.Error(), "\n")
	if !more {
		return err
	}
	return errors.New(line)
}

// keptConfiguration is the file in the state directory.
type keptConfiguration struct {
	Name      string               `json:"name"`
	InForce   distribution.Version `json:"in_force"`
	Fragments map[string]string    `json:"fragments"`
}

// configurationFile is where a configuration that relays have brought is kept.
func configurationFile(dir string) string { return filepath.Join(dir, "configuration.json") }

// maxKept is the size of that file in bytes: a configuration's, with what JSON adds.
const maxKept = 2 * config.MaxFile

// keep has the next process begin with what is in force, where there is a state directory. c.mu is held.
func (c *remoteConfiguration) keep(dir string) {
	if dir == "" {
		return
	}
	kept := keptConfiguration{c.name, c.inForce, map[string]string{}}
	for key, text := range c.fragments {
		kept.Fragments[key] = string(text)
	}
	data, err := json.Marshal(kept)
	if err == nil {
		err = durable.WriteFile(configurationFile(dir), data, 0o600, false)
	}
	if err != nil {
		c.log.Warn("the configuration is not kept", "error", err)
	}
}

// recall is the configuration to begin with: the one that an earlier process kept, if it fits the file that this one is
// started with, else that file's.
func (c *remoteConfiguration) recall(file *config.App) *config.App {
	if file.Distribution.Configuration == "" || file.StateDir == "" {
		return file
	}
	app, err := c.load(file)
	if err != nil {
		c.log.Warn("the kept configuration is not begun with", "error", firstLine(err))
	}
	if app == nil {
		return file
	}
	c.log.Info("configuration from before", "version", c.inForce.String())
	return app
}

// load reads the kept configuration; nil: there is none of that name.
func (c *remoteConfiguration) load(file *config.App) (*config.App, error) {
	path := configurationFile(file.StateDir)
	data, err := durable.ReadFile(path, maxKept)
	if err != nil || data == nil {
		return nil, err
	}
	var kept keptConfiguration
	if err := json.Unmarshal(data, &kept); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if kept.Name != file.Distribution.Configuration {
		return nil, nil
	}
	fragments := map[string][]byte{}
	for key, text := range kept.Fragments {
		fragments[key] = []byte(text)
	}
	app, err := config.Decode(path, config.Join(fragments))
	if err != nil {
		return nil, err
	}
	if err := fixedByRelays(file, app); err != nil {
		return nil, err
	}
	c.name, c.inForce, c.fragments = kept.Name, kept.InForce, fragments
	return app, nil
}

// fixed refuses a configuration that differs from another in what can't change while the program runs.
func fixed(from, to *config.App) error {
	switch {
	case to.Kind != from.Kind:
		return fmt.Errorf("wording: %w", errFixed)
	case !reflect.DeepEqual(to.Listeners, from.Listeners):
		return fmt.Errorf("listeners: %w", errFixed)
	case to.Process != from.Process || to.StateDir != from.StateDir || to.ListAge != from.ListAge:
		return fmt.Errorf("process: %w", errFixed)
	}
	return nil
}

// fixedByRelays refuses, beyond that, what can't change by way of relays: the follower that brings a configuration can't be
// replaced by it, and has a name that follows from the application's where it is given none.
func fixedByRelays(from, to *config.App) error {
	if !reflect.DeepEqual(to.Distribution, from.Distribution) || followerName(to) != followerName(from) {
		return fmt.Errorf("distribution: %w", errFixed)
	}
	return fixed(from, to)
}

// reloadRemote has a configuration that relays have brought take hold, unless the follower that has brought it is to end
// before its turn comes.
func (s *Sidecar) reloadRemote(app *config.App, halted <-chan struct{}) error {
	select {
	case s.reloading <- struct{}{}:
	case <-halted: // by a reload that waits for this one's follower
		return errEnding
	}
	defer func() { <-s.reloading }()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := fixedByRelays(s.app, app); err != nil {
		return err
	}
	return s.take(app)
}
