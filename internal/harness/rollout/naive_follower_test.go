package rollout_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/follow"
)

// naiveFollower is a stand-in for a follower. It sends all positions in every read, applies every
// update, and uses the next relay after an error.
type naiveFollower struct {
	cfg    follow.Config
	client *http.Client
	node   *naiveNode    // relay that the follower reads for; nil for a proxy
	wakeUp chan struct{} // a value ends the current read

	mu        sync.Mutex
	relay     string
	positions map[string]distribution.Position
	subs      map[string]follow.Subscriber
}

// newNaiveFollower returns a follower that is not running yet.
func newNaiveFollower(cfg follow.Config) *naiveFollower {
	return &naiveFollower{
		cfg: cfg,
		client: &http.Client{
			Transport: &http.Transport{DialContext: cfg.Dial},
			Timeout:   cfg.Hold + 500*time.Millisecond,
		},
		wakeUp:    make(chan struct{}, 1),
		positions: make(map[string]distribution.Position),
		subs:      make(map[string]follow.Subscriber),
	}
}

// Subscribe implements worker.Follower.
func (f *naiveFollower) Subscribe(resource string, has distribution.Version, s follow.Subscriber) func() {
	f.positions[resource] = distribution.Position{Resource: resource, InForce: has}
	f.subs[resource] = s
	return func() {}
}

// wake ends the current read so that the next read reports the changes.
func (f *naiveFollower) wake() {
	select {
	case f.wakeUp <- struct{}{}:
	default:
	}
}

// Health implements worker.Follower.
func (f *naiveFollower) Health() follow.Health {
	f.mu.Lock()
	defer f.mu.Unlock()
	return follow.Health{Relay: f.relay}
}

// Run implements worker.Follower.
func (f *naiveFollower) Run(ctx context.Context) {
	defer f.client.CloseIdleConnections()
	for attempt := 0; ctx.Err() == nil; {
		reading, cancel := context.WithCancel(ctx)
		go func() {
			select {
			case <-reading.Done():
			case <-f.wakeUp:
				time.Sleep(naiveRetryDelay)
				cancel()
			}
		}()
		err := f.read(reading, f.cfg.Relays[attempt%len(f.cfg.Relays)])
		woken := reading.Err() != nil
		cancel()
		if err != nil && !woken {
			attempt++
			time.Sleep(naiveRetryDelay)
		}
	}
}

// read reads once from a relay.
func (f *naiveFollower) read(ctx context.Context, relay string) error {
	request := distribution.FollowRequest{Follower: f.cfg.Name, Kind: f.cfg.Kind, HoldMs: f.cfg.Hold.Milliseconds()}
	f.addPositions(&request)
	body, err := json.Marshal(request)
	if err != nil {
		return err
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+relay+"/v1/follow", bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := f.client.Do(q)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	var decoded distribution.FollowResponse
	if err := json.Unmarshal(data, &decoded); err != nil {
		return err
	}
	f.mu.Lock()
	f.relay = relay
	f.mu.Unlock()
	for _, u := range decoded.Updates {
		f.apply(u)
	}
	return nil
}

// addPositions adds the positions, and for a relay the statuses, to a read.
func (f *naiveFollower) addPositions(request *distribution.FollowRequest) {
	f.mu.Lock()
	for _, resource := range slices.Sorted(maps.Keys(f.positions)) {
		request.Positions = append(request.Positions, f.positions[resource])
	}
	f.mu.Unlock()
	if f.node == nil {
		return
	}
	f.node.mu.Lock()
	defer f.node.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(f.node.resources)) {
		position := distribution.Position{Resource: name, InForce: f.node.resources[name].version}
		request.Positions = append(request.Positions, position)
		request.Statuses = append(request.Statuses, f.node.status(name))
	}
}

// apply applies an update to the relay, or passes it to the subscriber and updates the position.
func (f *naiveFollower) apply(u distribution.Update) {
	if f.node != nil {
		f.node.apply(u)
		return
	}
	err := f.subs[u.Resource].ApplyUpdate(u)
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.positions[u.Resource]
	if err != nil {
		p.Rejected = u.Version
		p.Reason = err.Error()
	} else {
		p = distribution.Position{Resource: u.Resource, InForce: u.Version}
	}
	f.positions[u.Resource] = p
}
