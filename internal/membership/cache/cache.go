// Package cache keeps a service's last list in a folder that outlives the process, so that a copy which starts anew can
// serve before its list service has answered. A list that takes backends out is not outlived by an older one: Keeper
// removes the file as soon as the pool is told, and writes the new one after.
package cache

import (
	"encoding/json"
	"fernlanding/internal/durable"
	"fernlanding/internal/membership"
	"fmt"
	"hash/crc32"
	"math"
	"net"
	"os"
	"path/filepath"
	"time"
)

const (
	version = 1

	// MaxFile is the size of the largest file that is written or read, in bytes. A larger list is not kept.
	MaxFile    = 8 << 20
	maxEntries = 100_000
	maxName    = 256 // bytes of a name, an address or a zone
)

// Store is the place of one service's list.
type Store struct {
	path   string
	source string
}

// NewStore returns the place in a folder of the list of a service that comes from a source, in whatever words tell two sources
// apart. The folder is made at the first writing.
func NewStore(dir, service, source string) *Store {
	s := &Store{path: filepath.Join(dir, "list-"+service+".json"), source: source}
	durable.RemoveStaged(s.path)
	return s
}

// file is what is written.
type file struct {
	Version   int             `json:"version"`
	Source    string          `json:"source"`
	Confirmed int64           `json:"confirmed_ms"` // Unix time in milliseconds
	Sum       uint32          `json:"sum"`          // CRC-32C of the list's bytes
	List      json.RawMessage `json:"list"`
}

// content is a list as it is written.
type content struct {
	Index     int64   `json:"index"`
	Endpoints []entry `json:"endpoints"`
}

type entry struct {
	Name     string  `json:"name"`
	Address  string  `json:"address"`
	Zone     string  `json:"zone,omitempty"`
	Cell     int     `json:"cell,omitempty"`
	Draining bool    `json:"draining,omitempty"`
	Weight   float64 `json:"weight"`
	SinceMs  int64   `json:"since_ms,omitempty"`
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Load returns the list and how long ago its source last confirmed it. Without a file that can be used the list is nil; an
// error says why it can't, in one line. most is the age from which on a list is not used.
func (s *Store) Load(now time.Time, most time.Duration) (*membership.List, time.Duration, error) {
	data, err := durable.ReadFile(s.path, MaxFile)
	if err != nil || data == nil {
		return nil, 0, wrap(err)
	}
	list, confirmed, err := parse(data, s.source)
	if err != nil {
		return nil, 0, wrap(fmt.Errorf("%s: %w", s.path, err))
	}
	switch age := now.Sub(confirmed); {
	case age < 0: // a clock that has stepped back tells nothing of an age
		return nil, 0, wrap(fmt.Errorf("%s: confirmed %v from now, a time in the past expected", s.path, -age.Round(time.Millisecond)))
	case age >= most:
		return nil, 0, wrap(fmt.Errorf("%s: confirmed %v ago, less than %v expected", s.path, age.Round(time.Second), most))
	default:
		return list, age, nil
	}
}

func wrap(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("last list: %w", err)
}

// parse reads a file.
func parse(data []byte, source string) (*membership.List, time.Time, error) {
	var f file
	if err := json.Unmarshal(data, &f); err != nil {
		return nil, time.Time{}, fmt.Errorf("a list in JSON expected: %w", err)
	}
	if f.Version != version {
		return nil, time.Time{}, fmt.Errorf("version: %d found, %d expected", f.Version, version)
	}
	if f.Source != source {
		return nil, time.Time{}, fmt.Errorf("source: %.100q found, %.100q expected", f.Source, source)
	}
	if sum := crc32.Checksum(f.List, castagnoli); sum != f.Sum {
		return nil, time.Time{}, fmt.Errorf("sum: %d found, %d expected", f.Sum, sum)
	}
	var c content
	if err := json.Unmarshal(f.List, &c); err != nil {
		return nil, time.Time{}, fmt.Errorf("list: %w", err)
	}
	if len(c.Endpoints) > maxEntries || len(c.Endpoints) == 0 || c.Index < 0 {
		return nil, time.Time{}, fmt.Errorf("list: %d endpoints of version %d found, 1 to %d and no negative version expected", len(c.Endpoints), c.Index, maxEntries)
	}
	list := &membership.List{Version: c.Index, Full: true}
	seen := make(map[string]bool, len(c.Endpoints))
	for i, e := range c.Endpoints {
		if err := e.check(); err != nil {
			return nil, time.Time{}, fmt.Errorf("list.endpoints[%d].%w", i, err)
		}
		if seen[e.Name] {
			return nil, time.Time{}, fmt.Errorf("list.endpoints[%d].name: %.100q is there twice", i, e.Name)
		}
		seen[e.Name] = true
		out := membership.Endpoint{Name: e.Name, Address: e.Address, Zone: e.Zone, Cell: e.Cell, Weight: e.Weight, SinceMs: e.SinceMs}
		if e.Draining {
			out.Status = membership.Draining
		}
		list.Endpoints = append(list.Endpoints, out)
	}
	return list, time.UnixMilli(f.Confirmed), nil
}

func (e *entry) check() error {
	if e.Name == "" || len(e.Name) > maxName {
		return fmt.Errorf("name: %d bytes found, 1 to %d expected", len(e.Name), maxName)
	}
	if len(e.Zone) > maxName {
		return fmt.Errorf("zone: %d bytes found, %d at most expected", len(e.Zone), maxName)
	}
	if _, _, err := net.SplitHostPort(e.Address); err != nil || len(e.Address) > maxName {
		return fmt.Errorf("address: %.100q found, host:port expected", e.Address)
	}
	if !(e.Weight >= 0) || math.IsInf(e.Weight, 0) {
		return fmt.Errorf("weight: %g found, 0 or more expected", e.Weight)
	}
	return nil
}

// encode is a file of a whole list.
func encode(list *membership.List, source string, confirmed time.Time) ([]byte, error) {
	c := content{Index: list.Version}
	for _, e := range list.Endpoints {
		c.Endpoints = append(c.Endpoints, entry{e.Name, e.Address, e.Zone, e.Cell, e.Status == membership.Draining, e.Weight, e.SinceMs})
	}
	text, err := json.Marshal(c)
	if err != nil {
		return nil, err
	}
	return json.Marshal(file{version, source, confirmed.UnixMilli(), crc32.Checksum(text, castagnoli), text})
}

// Stage writes a whole list that its source confirmed at a time; it counts once it is committed.
func (s *Store) Stage(list *membership.List, confirmed time.Time) (*durable.Staged, error) {
	data, err := encode(list, s.source, confirmed)
	if err == nil && len(data) > MaxFile {
		err = fmt.Errorf("%d bytes, %d at most expected", len(data), MaxFile)
	}
	if err == nil {
		err = os.MkdirAll(filepath.Dir(s.path), 0o700)
	}
	var staged *durable.Staged
	if err == nil {
		staged, err = durable.Stage(s.path, data, 0o600, false)
	}
	return staged, wrap(err)
}

// Remove removes the file. What is said to be gone must not come back with an earlier list.
func (s *Store) Remove() error {
	if err := os.Remove(s.path); err != nil && !os.IsNotExist(err) {
		return wrap(err)
	}
	return nil
}
