// Command fernlanding is one real proxy: it balances calls to the backends of a tier.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"syscall"

	"fernlanding/internal/membership"
	"fernlanding/internal/settings"
	"fernlanding/internal/sidecar"
)

const (
	memoryPart     = 0.6 // of the limit: the runtime collects harder from there on
	defaultSockets = 1024
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintf(os.Stderr, "fernlanding: %v\n", err)
		os.Exit(1)
	}
}

func run() error {
	// Caught before all else and to the end: unhandled, either would end the process with what it holds.
	hups := make(chan os.Signal, 1) // one more than the one being handled: the file is read after the last
	signal.Notify(hups, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	cfg, lim, err := load(os.Getenv)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	cfg.Log = log
	if lim.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(lim.MemoryMB * memoryPart * (1 << 20)))
	}
	if lim.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(lim.Cores)))
	}
	p, err := sidecar.New(cfg)
	if err != nil {
		return err
	}
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		for {
			select {
			case <-hups:
				renew(os.Getenv, p.Renew, log)
			case <-ended:
				return
			}
		}
	}()
	return p.Run(ctx)
}

// renew reads the configuration again after SIGHUP and passes the address of discovery on; the rest of it
// holds from the next start. A file that makes no sense changes nothing.
func renew(env func(string) string, discovery func(string), log *slog.Logger) {
	cfg, _, err := load(env)
	if err != nil {
		log.Error("new configuration not taken", "error", err)
		return
	}
	log.Info("new configuration", "discovery", cfg.Discovery)
	discovery(cfg.Discovery)
}

type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// load reads the file that LB_CONFIG names; LB_LISTEN and LB_DISCOVERY stand in for what it lacks.
func load(env func(string) string) (sidecar.Config, limits, error) {
	var cfg sidecar.Config
	path := env("LB_CONFIG")
	if path == "" {
		return cfg, limits{}, errors.New("LB_CONFIG is not set")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return cfg, limits{}, err
	}
	var file struct {
		Listen    string          `json:"listen"`
		Discovery string          `json:"discovery"`
		Seed      string          `json:"seed"`
		Limits    limits          `json:"limits"`
		Known     json.RawMessage `json:"known"`
		Settings  json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(data, &file); err != nil {
		return cfg, file.Limits, fmt.Errorf("%s: %w", path, err)
	}
	cfg.Listen, cfg.Discovery, cfg.Sockets = file.Listen, file.Discovery, file.Limits.Sockets
	cfg.MemoryMB = file.Limits.MemoryMB
	if cfg.Listen == "" {
		cfg.Listen = env("LB_LISTEN")
	}
	if cfg.Discovery == "" {
		cfg.Discovery = env("LB_DISCOVERY")
	}
	if cfg.Listen == "" || cfg.Discovery == "" {
		return cfg, file.Limits, errors.New("listen or discovery is missing")
	}
	if cfg.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return cfg, file.Limits, fmt.Errorf("seed: %w", err)
	}
	if cfg.Sockets < 0 || file.Limits.Cores < 0 || file.Limits.MemoryMB < 0 {
		return cfg, file.Limits, errors.New("limits: negative")
	}
	if cfg.Sockets == 0 {
		cfg.Sockets = defaultSockets
	}
	if len(file.Settings) == 0 {
		return cfg, file.Limits, errors.New("settings is missing")
	}
	if cfg.Site, err = settings.Decode(file.Settings); err == nil {
		err = cfg.Site.CheckSockets()
	}
	if err != nil {
		return cfg, file.Limits, fmt.Errorf("settings: %w", err)
	}
	if len(file.Known) > 0 && string(file.Known) != "null" {
		if cfg.Known, err = membership.Parse(file.Known); err != nil {
			return cfg, file.Limits, fmt.Errorf("known: %w", err)
		}
	}
	return cfg, file.Limits, nil
}
