package cache

import (
	"encoding/json"
	"fmt"
	"hash/crc32"
	"math"
	"net"
	"time"

	"fernlanding/internal/membership"
)

const (
	formatVersion = 1

	// maxFileBytes is the largest size of a file that is written or read. A larger list is not
	// cached.
	maxFileBytes = 8 << 20
	maxEntries   = 100_000
	maxNameBytes = 256 // of a name, an address or a zone
)

// file is the contents of a file.
type file struct {
	Version   int             `json:"version"`
	Source    string          `json:"source"`
	Confirmed int64           `json:"confirmed_ms"` // Unix time in milliseconds
	Sum       uint32          `json:"sum"`          // CRC-32C of the bytes of List
	List      json.RawMessage `json:"list"`
}

// content is a list as stored in a file.
type content struct {
	Index     int64   `json:"index"`
	Endpoints []entry `json:"endpoints"`
}

// entry is an endpoint as stored in a file.
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

// encode returns the contents of a file with a full list.
func encode(list *membership.List, source string, confirmed time.Time) ([]byte, error) {
	c := content{Index: list.Version}
	for _, e := range list.Endpoints {
		c.Endpoints = append(c.Endpoints, entry{
			Name: e.Name, Address: e.Address, Zone: e.Zone, Cell: e.Cell,
			Draining: e.Status == membership.Draining, Weight: e.Weight, SinceMs: e.StartedMs,
		})
	}
	text, err := json.Marshal(c)
	if err != nil {
		return nil, err
	}
	return json.Marshal(file{
		Version: formatVersion, Source: source, Confirmed: confirmed.UnixMilli(),
		Sum: crc32.Checksum(text, castagnoli), List: text,
	})
}

// parse decodes a file and returns its list and the time of the list's confirmation. It returns an
// error if the file is of another source.
func parse(data []byte, source string) (*membership.List, time.Time, error) {
	var f file
	if err := json.Unmarshal(data, &f); err != nil {
		return nil, time.Time{}, fmt.Errorf("malformed file: %w", err)
	}
	if f.Version != formatVersion {
		return nil, time.Time{}, fmt.Errorf("unsupported version %d, want %d", f.Version, formatVersion)
	}
	if f.Source != source {
		return nil, time.Time{}, fmt.Errorf("list of source %.100q, want source %.100q", f.Source, source)
	}
	if sum := crc32.Checksum(f.List, castagnoli); sum != f.Sum {
		return nil, time.Time{}, fmt.Errorf("checksum mismatch: file has %d, list has %d", f.Sum, sum)
	}
	var c content
	if err := json.Unmarshal(f.List, &c); err != nil {
		return nil, time.Time{}, fmt.Errorf("list: %w", err)
	}
	list, err := c.list()
	if err != nil {
		return nil, time.Time{}, err
	}
	return list, time.UnixMilli(f.Confirmed), nil
}

// list converts the stored list, or returns an error if it is invalid.
func (c *content) list() (*membership.List, error) {
	if len(c.Endpoints) > maxEntries || len(c.Endpoints) == 0 || c.Index < 0 {
		return nil, fmt.Errorf("invalid list of %d endpoints, version %d: want 1 to %d endpoints and a version >= 0",
			len(c.Endpoints), c.Index, maxEntries)
	}
	list := &membership.List{Version: c.Index, Full: true}
	seen := make(map[string]bool, len(c.Endpoints))
	for i, e := range c.Endpoints {
		if err := e.check(); err != nil {
			return nil, fmt.Errorf("list.endpoints[%d]: %w", i, err)
		}
		if seen[e.Name] {
			return nil, fmt.Errorf("list.endpoints[%d]: duplicate name %.100q", i, e.Name)
		}
		seen[e.Name] = true
		list.Endpoints = append(list.Endpoints, e.endpoint())
	}
	return list, nil
}

// check returns an error if a field is invalid.
func (e *entry) check() error {
	if e.Name == "" || len(e.Name) > maxNameBytes {
		return fmt.Errorf("name of %d bytes, want 1 to %d", len(e.Name), maxNameBytes)
	}
	if len(e.Zone) > maxNameBytes {
		return fmt.Errorf("zone of %d bytes exceeds the limit of %d", len(e.Zone), maxNameBytes)
	}
	if _, _, err := net.SplitHostPort(e.Address); err != nil || len(e.Address) > maxNameBytes {
		return fmt.Errorf("invalid address %.100q: want host:port", e.Address)
	}
	if !(e.Weight >= 0) || math.IsInf(e.Weight, 0) {
		return fmt.Errorf("invalid weight %g: want a finite weight >= 0", e.Weight)
	}
	return nil
}

// endpoint converts an entry to an endpoint.
func (e *entry) endpoint() membership.Endpoint {
	endpoint := membership.Endpoint{
		Name: e.Name, Address: e.Address, Zone: e.Zone, Cell: e.Cell, Weight: e.Weight, StartedMs: e.SinceMs,
	}
	if e.Draining {
		endpoint.Status = membership.Draining
	}
	return endpoint
}
