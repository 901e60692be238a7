// Package consul follows a list of backends over blocking reads of a health API, as Consul publishes it: GET
// /v1/health/service/NAME?index=N&wait=T answers when the index is beyond N or the time is over, with the index in
// X-Consul-Index ("Blocking Queries" of its documentation).
package consul

import (
	"context"
	"encoding/json"
	"errors"
	"fernlanding/internal/membership"
	"fernlanding/internal/membership/reconcile"
	"fernlanding/internal/membership/staleness"
	"fernlanding/internal/sleep"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

const (
	hold       = 2 * time.Second        // that a read waits for news
	patience   = time.Second            // beyond that: a connection can fall silent, and nothing else shows it
	retryFirst = 100 * time.Millisecond // after a failure; the first is drawn from nothing to this
	retryMost  = 2 * time.Second
	idle       = 50 * time.Millisecond // after an answer that was no news, lest wake-ups without change become a storm
	maxList    = 16 << 20
)

// The reasons for which an answer is no news.
var (
	errLeader = errors.New("read without a leader")
	errIndex  = errors.New("no index")
)

// Config is what a Source is told.
type Config struct {
	Address string // of the API, host:port
	Service string
	Token   string                                                               // sent as X-Consul-Token; may be empty
	Dial    func(ctx context.Context, network, address string) (net.Conn, error) // nil: the usual one
	Log     *slog.Logger
}

// Source is a source.
type Source struct {
	cfg    Config
	client *http.Client
	teller *staleness.Notifier
}

// New returns a source.
func New(cfg Config) *Source {
	return &Source{
		cfg: cfg, teller: staleness.NewNotifier("health reads", cfg.Log),
		client: &http.Client{Transport: &http.Transport{DialContext: cfg.Dial, MaxConnsPerHost: 2, DisableCompression: true}},
	}
}

// Health implements membership.Source.
func (s *Source) Health() membership.Health { return s.teller.Health() }

// Run implements membership.Source. An index that falls is no news: the next read begins anew, and what it says holds.
// Many sources that lose one registry come back at times of their own.
func (s *Source) Run(ctx context.Context, sink membership.Sink) {
	defer s.client.CloseIdleConnections()
	index, wait, missed := uint64(0), retryFirst, false
	for ctx.Err() == nil {
		next, entries, err := s.read(ctx, index)
		if ctx.Err() != nil {
			return
		}
		if err == nil && next < index {
			s.cfg.Log.Warn("health reads: the index fell, reading anew", "from", index, "to", next)
			s.teller.Failed()
			index = 0
			if !sleep.For(ctx, rand.N(idle)) {
				return
			}
			continue
		}
		var fresh bool
		if err == nil {
			fresh, err = s.teller.Update(sink, entries)
		}
		if err != nil {
			s.teller.Failed()
			if s.cfg.Log.Warn("health reads: the last list stands", "error", err); !missed {
				missed = true
				sink.UpdateFailed()
			}
			if !sleep.For(ctx, rand.N(wait)) {
				return
			}
			wait = min(2*wait, retryMost)
			continue
		}
		index, wait, missed = next, retryFirst, false
		if !fresh && !sleep.For(ctx, idle) {
			return
		}
	}
}

// read makes one read. Index 0 does not wait.
func (s *Source) read(ctx context.Context, index uint64) (next uint64, entries []reconcile.Entry, err error) {
	u := "http://" + s.cfg.Address + "/v1/health/service/" + url.PathEscape(s.cfg.Service)
	limit := patience
	if index > 0 {
		u += fmt.Sprintf("?index=%d&wait=%dms", index, hold.Milliseconds())
		limit += hold + hold/16 // the registry spreads its answers by a sixteenth
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return 0, nil, fmt.Errorf("ask: %w", err)
	}
	if s.cfg.Token != "" {
		req.Header.Set("X-Consul-Token", s.cfg.Token)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, nil, fmt.Errorf("ask: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, nil, fmt.Errorf("ask: status %s", resp.Status)
	}
	if resp.Header.Get("X-Consul-Knownleader") == "false" {
		return 0, nil, errLeader
	}
	if next, err = strconv.ParseUint(resp.Header.Get("X-Consul-Index"), 10, 64); err != nil || next == 0 {
		return 0, nil, fmt.Errorf("%w: %q", errIndex, resp.Header.Get("X-Consul-Index"))
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxList+1))
	if err != nil {
		return 0, nil, fmt.Errorf("read: %w", err)
	}
	if len(data) > maxList {
		return 0, nil, fmt.Errorf("read: over %d bytes", maxList)
	}
	entries, err = parse(data)
	return next, entries, err
}

// instance is one entry of the API's answer.
type instance struct {
	Node struct {
		Address    string
		Datacenter string
	}
	Service struct {
		ID      string
		Address string
		Port    int
		Meta    map[string]string
		Weights struct{ Passing, Warning *float64 }
	}
	Checks []struct{ Status string }
}

// parse reads an answer. Entries are judged one by one where the list is.
func parse(data []byte) (entries []reconcile.Entry, err error) {
	var raw []json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	if raw == nil {
		return nil, errors.New("list: null")
	}
	for n, r := range raw {
		var i instance
		key := fmt.Sprintf("/(entry %d)", n+1)
		if err := json.Unmarshal(r, &i); err != nil {
			entries = append(entries, reconcile.Entry{Key: key, Value: []byte(`{"address":7}`)}) // is skipped as it stands
			continue
		}
		if i.Service.ID != "" {
			key = "/" + i.Service.ID
		}
		entries = append(entries, reconcile.Entry{Key: key, Value: i.value()})
	}
	return entries, nil
}

// value words an instance as the list's own entries are worded. Its zone, cell, since and status stand in its service's
// metadata. One whose checks are critical takes nothing new, like one that drains.
func (i *instance) value() []byte {
	host := i.Service.Address
	if host == "" {
		host = i.Node.Address
	}
	v := map[string]any{"address": net.JoinHostPort(host, strconv.Itoa(i.Service.Port)), "zone": i.Node.Datacenter}
	if z, ok := i.Service.Meta["zone"]; ok {
		v["zone"] = z
	}
	for _, f := range []string{"cell", "since"} {
		if m, ok := i.Service.Meta[f]; ok {
			if n, err := strconv.ParseInt(m, 10, 64); err == nil {
				v[f] = n
			} else {
				v[f] = m // is skipped as it stands
			}
		}
	}
	weight := i.Service.Weights.Passing
	v["status"] = "serving"
	if m, ok := i.Service.Meta["status"]; ok {
		v["status"] = m
	}
	for _, c := range i.Checks {
		switch c.Status {
		case "warning":
			weight = i.Service.Weights.Warning
		case "critical", "maintenance":
			v["status"] = "draining"
		}
	}
	if weight != nil {
		v["weight"] = *weight
	}
	data, err := json.Marshal(v)
	if err != nil {
		return nil // is skipped
	}
	return data
}
