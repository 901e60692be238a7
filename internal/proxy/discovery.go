package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"time"

	"fernlanding/logic"
)

const (
	statusServing  = "SERVING"
	statusDraining = "DRAINING"
	statusDeleted  = "DELETED"

	// How long a watch may wait for news. A connection to discovery can fall silent, and nothing shows it but
	// an answer that is overdue: what was to be told meanwhile counts as told 2 s after the wait. Where the list
	// is pushed, asking costs nothing; where it is asked, all proxies share one service.
	pushHold = 2 * time.Second
	askHold  = 10 * time.Second

	pushPatience = time.Second             // for an answer that need not wait, and beyond a watch's wait
	askPatience  = 1500 * time.Millisecond // the same where calls wait in turn
	retryFirst   = 50 * time.Millisecond   // after a failed call
	retryMost    = 500 * time.Millisecond  // at most
	maxList      = 4 << 20
)

// endpoint is an entry of the list as discovery words it.
type endpoint struct {
	Name    string   `json:"name"`
	Address string   `json:"address"`
	Zone    string   `json:"zone"`
	Group   int      `json:"group"`
	Status  string   `json:"status"`
	Weight  *float64 `json:"weight"`
	SinceMs int64    `json:"since_ms"`
}

// List is the list of backends, or what has changed in it.
type List struct {
	index     int64
	full      bool
	endpoints []endpoint
}

// ParseList reads a list in discovery's form. A list with an entry that makes no sense is no list.
func ParseList(data []byte) (*List, error) {
	var raw struct {
		Index     *int64      `json:"index"`
		Snapshot  *bool       `json:"snapshot"`
		Endpoints *[]endpoint `json:"endpoints"`
	}
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil, err
	}
	if raw.Index == nil || raw.Snapshot == nil || raw.Endpoints == nil {
		return nil, errors.New("index, snapshot or endpoints is missing")
	}
	for i, e := range *raw.Endpoints {
		if e.Name == "" {
			return nil, fmt.Errorf("endpoints[%d]: name is missing", i)
		}
		switch e.Status {
		case statusServing, statusDraining:
			if _, _, err := net.SplitHostPort(e.Address); err != nil {
				return nil, fmt.Errorf("endpoints[%d]: %w", i, err)
			}
		case statusDeleted:
		default:
			return nil, fmt.Errorf("endpoints[%d]: unknown status %q", i, e.Status)
		}
	}
	return &List{index: *raw.Index, full: *raw.Snapshot, endpoints: *raw.Endpoints}, nil
}

// discovery keeps a watch on the list and hands each answer to the loop.
type discovery struct {
	addr     string
	hold     time.Duration
	patience time.Duration
	log      *slog.Logger
	client   *http.Client
	lists    chan<- listNews
	asked    <-chan struct{} // with a subscription: the module's word to open it
}

// listNews is what discovery answered; a nil list is a call that failed.
type listNews struct{ list *List }

func newDiscovery(addr string, subscribe bool, log *slog.Logger, lists chan<- listNews, asked <-chan struct{}) *discovery {
	hold, patience := pushHold, pushPatience
	if subscribe {
		hold, patience = askHold, askPatience
	}
	return &discovery{addr: addr, hold: hold, patience: patience, log: log, lists: lists, asked: asked,
		client: &http.Client{Transport: &http.Transport{MaxConnsPerHost: 2, DisableCompression: true}}}
}

// run watches until the context ends. The next watch follows its answer at once, lest changes in between
// count as told late. After a call that failed in a way that leaves the version in doubt, it begins with
// the full list. With subscribe the module says when to ask, after a failure and, with first, at the start.
func (d *discovery) run(ctx context.Context, subscribe, first bool) {
	defer d.client.CloseIdleConnections()
	index, wait := int64(-1), retryFirst
	for subscribed := !first; ctx.Err() == nil; {
		if subscribe && !subscribed {
			select {
			case <-d.asked:
			case <-ctx.Done():
				return
			}
		}
		list, err := d.call(ctx, index)
		if ctx.Err() != nil {
			return
		}
		if err == nil && !list.full && list.index < index {
			err = fmt.Errorf("version went back from %d to %d", index, list.index)
		}
		if err != nil {
			d.log.Warn("discovery", "error", err)
			if !errors.Is(err, errBusy) {
				index = -1
			}
			subscribed = false
			if subscribe {
				d.tell(ctx, listNews{}) // the module says when to ask again
				continue
			}
			select {
			case <-time.After(wait):
			case <-ctx.Done():
			}
			wait = min(2*wait, retryMost)
			continue
		}
		index, wait, subscribed = list.index, retryFirst, true
		d.tell(ctx, listNews{list})
	}
}

func (d *discovery) tell(ctx context.Context, n listNews) {
	select {
	case d.lists <- n:
	case <-ctx.Done():
	}
}

var errBusy = errors.New("discovery is busy or down")

// call asks for what is newer than index, or for the whole list if that is negative.
func (d *discovery) call(ctx context.Context, index int64) (*List, error) {
	u, patience := "http://"+d.addr+"/catalog/members", d.patience
	if index >= 0 {
		u += "?from=" + strconv.FormatInt(index, 10) + "&hold_ms=" + strconv.FormatInt(d.hold.Milliseconds(), 10)
		patience += d.hold
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return nil, fmt.Errorf("ask for the list: %w", err)
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("ask for the list: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusServiceUnavailable {
		return nil, errBusy
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("ask for the list: status %s", resp.Status)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxList))
	if err != nil {
		return nil, fmt.Errorf("read the list: %w", err)
	}
	list, err := ParseList(data)
	if err != nil {
		return nil, fmt.Errorf("garbled list: %w", err)
	}
	return list, nil
}

// zones numbers zones by name: the settings' own from 0, any other by a hash, so that names without end leave
// nothing behind.
type zones map[string]int

func newZones(names []string) zones { return zones(numbers(names)) }

func (z zones) number(name string) int {
	if n, ok := z[name]; ok {
		return n
	}
	h := fnv.New32a()
	_, _ = io.WriteString(h, name) // never fails
	return len(z) + int(h.Sum32()>>1)
}

// servers turns entries into the module's. Its clock shows Unix time (see clock), so since_ms needs no shift.
func (z zones) servers(entries []endpoint) []logic.Server {
	out := make([]logic.Server, 0, len(entries))
	for _, e := range entries {
		s := logic.Server{ID: e.Name, Zone: z.number(e.Zone), Cell: e.Group, Size: 1, Launched: e.SinceMs * 1000}
		switch e.Status {
		case statusServing:
			s.State = logic.Ready
		case statusDraining:
			s.State = logic.Draining
		}
		if e.Weight != nil {
			s.Size = *e.Weight
		}
		out = append(out, s)
	}
	return out
}
