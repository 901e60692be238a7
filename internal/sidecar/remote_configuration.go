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
// configuration. Each item of the resource is a fragment of the configuration.
func ConfigurationResource(name string) string { return "config/" + name }

// remoteConfiguration applies the application's configuration from relays, which replaces the
// configuration that the sidecar was started with. It implements follow.Subscriber: a configuration
// that can't be applied is rejected, and the active configuration stays.
type remoteConfiguration struct {
	sidecar *Sidecar
	log     *slog.Logger

	mu              sync.Mutex           // guards the fields below
	name            string               // of the followed configuration; empty if none is followed
	applied         distribution.Version // version of fragments; zero if fragments is nil
	fragments       map[string][]byte    // of the applied configuration; nil if none came from relays
	followerStopped <-chan struct{}      // closed when the follower is being stopped; nil before the first follower
}

// reset sets the name of the followed configuration and discards the applied version. It keeps the
// version of a restored configuration of the same name before the first follower has run.
func (c *remoteConfiguration) reset(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.name != name || c.followerStopped != nil {
		c.applied, c.fragments = distribution.Version{}, nil
	}
	c.name = name
}

// version returns the applied version, or the zero version if no configuration came from relays.
func (c *remoteConfiguration) version() distribution.Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.applied
}

// setFollowerStopped sets the channel that is closed when the current follower is being stopped.
func (c *remoteConfiguration) setFollowerStopped(stopped <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.followerStopped = stopped
}

// ApplyUpdate implements follow.Subscriber. Its errors have one line, since they are reported to
// the operator.
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
	c.applied, c.fragments = update.Version, fragments
	c.log.Info(
		"configuration applied",
		"services", len(app.Services), "routes", len(app.Routes), "version", update.Version.String(),
	)
	c.saveLocked(app.StateDir)
	return nil
}

// UpdateFailed implements follow.Subscriber. The active configuration stays.
func (c *remoteConfiguration) UpdateFailed() {}

// applyItems returns the fragments after an update. It does not modify fragments.
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
			return nil, fmt.Errorf("fragment %q: value is not a string: %w", item.Key, err)
		}
		after[item.Key] = []byte(text)
	}
	return after, nil
}

// firstLine returns err, reduced to the first line of its text.
func firstLine(err error) error {
	line, _, hasMore := strings.Cut(err.Error(), "\n")
	if !hasMore {
		return err
	}
	return errors.New(line)
}
