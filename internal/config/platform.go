package config

import (
	"encoding/json"
	"errors"
	"fernlanding/internal/membership"
	"fernlanding/internal/settings"
	"fmt"
	"strconv"
)

// PlatformService is the name of the platform's one service.
const PlatformService = "tier"

// DecodePlatform reads the file that the platform's LB_CONFIG names. listen and discovery stand in for addresses that
// it lacks. Fields that it does not know are the platform's own and are ignored.
func DecodePlatform(file string, data []byte, listen, discovery string) (*App, error) {
	var raw struct {
		Name      string `json:"name"`
		Listen    string `json:"listen"`
		Discovery string `json:"discovery"`
		Seed      string `json:"seed"`
		Limits    struct {
			Cores    float64 `json:"cores"`
			MemoryMB float64 `json:"memory_mb"`
			Sockets  int     `json:"sockets"`
		} `json:"limits"`
		Known    json.RawMessage `json:"known"`
		Settings json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	if raw.Listen == "" {
		raw.Listen = listen
	}
	if raw.Discovery == "" {
		raw.Discovery = discovery
	}
	if raw.Listen == "" || raw.Discovery == "" {
		return nil, errors.New("listen or discovery is missing")
	}
	seed, err := strconv.ParseUint(raw.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed: %w", err)
	}
	l := raw.Limits
	if l.Sockets < 0 || l.Cores < 0 || l.MemoryMB < 0 {
		return nil, errors.New("limits: negative")
	}
	if l.Sockets == 0 {
		l.Sockets = defaultSockets
	}
	if len(raw.Settings) == 0 {
		return nil, errors.New("settings is missing")
	}
	site, err := settings.Decode(raw.Settings)
	if err == nil {
		err = site.CheckSockets()
	}
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s := &Service{
		Name: PlatformService, Deployment: *site, MaxBody: 64 << 10, MaxResponse: 1 << 20,
		Source: Source{Kind: Catalog, Address: raw.Discovery},
	}
	if len(raw.Known) > 0 && string(raw.Known) != "null" {
		if s.KnownList, err = membership.Parse(raw.Known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	return &App{
		Name: raw.Name, Kind: Platform, Seed: seed,
		Process:   Process{Cores: l.Cores, MemoryMB: l.MemoryMB, Sockets: l.Sockets},
		Listeners: []Listener{{Name: "main", Address: raw.Listen}}, Services: []*Service{s},
	}, nil
}
