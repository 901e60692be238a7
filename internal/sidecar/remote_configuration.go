package sidecar

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"strings"
	"sync"

	"fernlanding/internal/config"
	"fernlanding/internal/distribution"
)

// ConfigurationResource returns the name of the resource that carries an application's
// configuration, by fragments.
func ConfigurationResource(name string) string { return "config/" + name }

// remoteConfiguration applies the application's configuration that relays bring, in place of the
// one that the sidecar was started with. It implements follow.Subscriber: a configuration that
// can't be applied is rejected, and the one in force stays.
type remoteConfiguration struct {
	sidecar *Sidecar
	log     *slog.Logger

	mu              sync.Mutex // guards what follows
	name            string     // of the configuration that is followed; empty: none is
	inForce         distribution.Version
	fragments       map[string][]byte // of the configuration in force; nil: relays have brought none
	followerStopped <-chan struct{}   // closed when the follower is to end; nil: none has run
}

// reset follows the configuration of another name, or the same from the beginning: no version of it
// is in force.
func (c *remoteConfiguration) reset(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.name != name || c.followerStopped != nil { // otherwise it has been restored and not followed yet
		c.inForce, c.fragments = distribution.Version{}, nil
	}
	c.name = name
}

// version returns the version in force; zero: relays have brought none.
func (c *remoteConfiguration) version() distribution.Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inForce
}

// setFollowerStopped sets what is closed when the follower is to end whose updates come from here
// on.
func (c *remoteConfiguration) setFollowerStopped(stopped <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.followerStopped = stopped
}

// ApplyUpdate implements follow.Subscriber. An error has one line, since it goes back to the
// operator.
func (c *remoteConfiguration) ApplyUpdate(update distribution.Update) error {
	c.mu.Lock()
	fragments, followerStopped := c.fragments, c.followerStopped
	c.mu.Unlock()
	fragments, err := applyItems(fragments, &update)
	if err != nil {
		return err
	}
	app, err := config.Decode(update.Resource, config.Join(fragments))
	if err != nil {
		return firstLine(err)
	}
	if err := c.sidecar.reloadRemote(app, followerStopped); err != nil {
		return firstLine(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inForce, c.fragments = update.Version, fragments
	c.log.Info(
		"configuration applied",
		"services", len(app.Services), "routes", len(app.Routes), "version", update.Version.String(),
	)
	c.saveLocked(app.StateDir)
	return nil
}

// UpdateFailed implements follow.Subscriber. What is in force stays.
func (c *remoteConfiguration) UpdateFailed() {}

// applyItems returns the fragments after an update; those before it stay as they are.
func applyItems(fragments map[string][]byte, update *distribution.Update) (map[string][]byte, error) {
	after := map[string][]byte{}
	if !update.IsSnapshot() {
		maps.Copy(after, fragments)
	}
	for _, item := range update.Items {
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

// firstLine returns an error with the first line of another's text.
func firstLine(err error) error {
	line, _, hasMore := strings.Cut(err.Error(), "\n")
	if !hasMore {
		return err
	}
	return errors.New(line)
}
