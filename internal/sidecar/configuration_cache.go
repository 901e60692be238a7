package sidecar

import (
	"encoding/json"
	"fmt"
	"path/filepath"

	"fernlanding/internal/config"
	"fernlanding/internal/distribution"
	"fernlanding/internal/durable"
)

// maxCachedBytes limits the file of a cached configuration. The factor 2 is for the JSON encoding.
const maxCachedBytes = 2 * config.MaxFile

// cachedConfiguration is the content of the file in the state directory that caches the remote
// configuration.
type cachedConfiguration struct {
	Name      string               `json:"name"`
	Version   distribution.Version `json:"in_force"`
	Fragments map[string]string    `json:"fragments"`
}

// configurationCachePath returns the path of the cached configuration in the state directory dir.
func configurationCachePath(dir string) string { return filepath.Join(dir, "configuration.json") }

// saveLocked caches the applied configuration for the next process. It does nothing if dir, the
// state directory, is empty. c.mu must be held.
func (c *remoteConfiguration) saveLocked(dir string) {
	if dir == "" {
		return
	}
	cached := cachedConfiguration{Name: c.name, Version: c.applied, Fragments: map[string]string{}}
	for key, text := range c.fragments {
		cached.Fragments[key] = string(text)
	}
	data, err := json.Marshal(cached)
	if err == nil {
		err = durable.WriteFile(configurationCachePath(dir), data, 0o600, false)
	}
	if err != nil {
		c.log.Warn("configuration not cached", "error", err)
	}
}

// restore returns the initial configuration. This is the configuration that an earlier process has
// cached, if it is compatible with the file that this process is started with. Otherwise it is the
// configuration of the file.
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
	c.log.Info("cached configuration restored", "version", c.applied.String())
	return app
}

// load reads the cached configuration. It returns nil if there is none under the name of the remote
// configuration that the file specifies.
func (c *remoteConfiguration) load(file *config.App) (*config.App, error) {
	path := configurationCachePath(file.StateDir)
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
	c.name, c.applied, c.fragments = cached.Name, cached.Version, fragments
	return app, nil
}
