package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"fernlanding/internal/membership"
	"fernlanding/internal/settings"
)

// PlatformService is the name of the platform's single service.
const PlatformService = "tier"

// DecodePlatform decodes the file that the platform's LB_CONFIG names. listen and discovery are the
// defaults of addresses that the file lacks. Unknown fields are for other programs of the platform
// and are ignored.
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
		return nil, errors.New("missing field \"listen\" or \"discovery\"")
	}
	seed, err := strconv.ParseUint(raw.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("invalid seed: %w", err)
	}
	process, err := platformProcess(raw.Limits.Cores, raw.Limits.MemoryMB, raw.Limits.Sockets)
	if err != nil {
		return nil, err
	}
	service, err := platformService(raw.Settings, raw.Known)
	if err != nil {
		return nil, err
	}
	service.Source = Source{Kind: Catalog, Address: raw.Discovery}
	return &App{
		Name: raw.Name, Kind: Platform, Seed: seed, Process: process,
		Listeners: []Listener{{Name: "main", Address: raw.Listen}}, Services: []*Service{service},
	}, nil
}

// platformProcess returns the limits of the process.
func platformProcess(cores, memoryMB float64, sockets int) (Process, error) {
	if sockets < 0 || cores < 0 || memoryMB < 0 {
		return Process{}, errors.New("invalid limits: must not be negative")
	}
	if sockets == 0 {
		sockets = defaultSockets
	}
	return Process{Cores: cores, MemoryMB: memoryMB, Sockets: sockets}, nil
}

// platformService returns the platform's single service, without the source of its endpoint list.
func platformService(settingsText, known json.RawMessage) (*Service, error) {
	if len(settingsText) == 0 {
		return nil, errors.New("missing field \"settings\"")
	}
	deployment, err := settings.Decode(settingsText)
	if err == nil {
		err = deployment.CheckSockets()
	}
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s := &Service{Name: PlatformService, Deployment: *deployment, MaxBody: 64 << 10, MaxResponse: 1 << 20}
	if len(known) > 0 && string(known) != "null" {
		s.KnownList, err = membership.Parse(known)
		if err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	return s, nil
}
