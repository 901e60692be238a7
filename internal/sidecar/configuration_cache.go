package sidecar

import (
	"encoding/json"
	"fmt"
	"path/filepath"

	"fernlanding/internal/config"
	"fernlanding/internal/distribution"
	"fernlanding/internal/durable"
)

// maxCachedBytes bounds the file of a cached configuration: a configuration, with what JSON adds.
const maxCachedBytes = 2 * config.MaxFile

// cachedConfiguration is the file in the state directory that holds the configuration that relays
// have brought.
type cachedConfiguration struct {
	Name      string               `json:"name"`
	InForce   distribution.Version `json:"in_force"`
	Fragments map[string]string    `json:"fragments"`
}

// configurationFile returns the path of that file.
func configurationFile(dir string) string { return filepath.Join(dir, "configuration.json") }

// saveLocked caches the configuration in force for the next process, where there is a state
// directory. c.mu is held.
func (c *remoteConfiguration) saveLocked(dir string) {
	if dir == "" {
		return
	}
	cached := cachedConfiguration{Name: c.name, InForce: c.inForce, Fragments: map[string]string{}}
	for key, text := range c.fragments {
		cached.Fragments[key] = string(text)
	}
	data, err := json.Marshal(cached)
	if err == nil {
		err = durable.WriteFile(configurationFile(dir), data, 0o600, false)
	}
	if err != nil {
		c.log.Warn("configuration not cached", "error", err)
	}
}

// restore returns the configuration to begin with: the one that an earlier process has cached, if
// it fits the file that this process is started with, else that file's.
func (c *remoteConfiguration) restore(file *config.App) *config.App {
	if file.Distribution.Configuration == "" || file.StateDir == "" {
		return file
	}
	app, err := c.load(file)
	if err != nil {
		c.log.Warn("cached configuration not used", "error", firstLine(err))
	}
	if app == nil {
		return file
	}
	c.log.Info("cached configuration restored", "version", c.inForce.String())
	return app
}

// load reads the cached configuration. It returns nil if there is none of the name that the file
// follows.
func (c *remoteConfiguration) load(file *config.App) (*config.App, error) {
	path := configurationFile(file.StateDir)
	data, err := durable.ReadFile(path, maxCachedBytes)
	if err != nil || data == nil {
		return nil, err
	}
	var cached cachedConfiguration
	if err := json.Unmarshal(data, &cached); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if cached.Name != file.Distribution.Configuration {
		return nil, nil
	}
	fragments := map[string][]byte{}
	for key, text := range cached.Fragments {
		fragments[key] = []byte(text)
	}
	app, err := config.Decode(path, config.Join(fragments))
	if err != nil {
		return nil, err
	}
	if err := checkRemoteReload(file, app); err != nil {
		return nil, err
	}
	c.name, c.inForce, c.fragments = cached.Name, cached.InForce, fragments
	return app, nil
}
