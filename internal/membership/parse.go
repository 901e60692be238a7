package membership

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
)

// The statuses in the JSON of the platform's discovery.
const (
	statusServing  = "SERVING"
	statusDraining = "DRAINING"
	statusDeleted  = "DELETED"
)

// entry is an endpoint in the JSON of the platform's discovery.
type entry struct {
	Name    string   `json:"name"`
	Address string   `json:"address"`
	Zone    string   `json:"zone"`
	Group   int      `json:"group"`
	Status  string   `json:"status"`
	Weight  *float64 `json:"weight"`
	SinceMs int64    `json:"since_ms"`
}

// endpoint converts an entry. The address of a deleted endpoint is not checked.
func (e entry) endpoint() (Endpoint, error) {
	out := Endpoint{Name: e.Name, Address: e.Address, Zone: e.Zone, Cell: e.Group, Weight: 1, StartedMs: e.SinceMs}
	if e.Name == "" {
		return out, errors.New("missing name")
	}
	if e.Weight != nil {
		out.Weight = *e.Weight
	}
	switch e.Status {
	case statusServing:
		out.Status = Serving
	case statusDraining:
		out.Status = Draining
	case statusDeleted:
		out.Status = Deleted
		return out, nil
	default:
		return out, fmt.Errorf("unknown status %q", e.Status)
	}
	_, _, err := net.SplitHostPort(e.Address)
	return out, err
}

// Parse decodes a list in the JSON form of the platform's discovery, which is also the form of
// "known" in LB_CONFIG. One invalid entry makes the whole list invalid.
func Parse(data []byte) (*List, error) {
	var raw struct {
		Index     *int64   `json:"index"`
		Snapshot  *bool    `json:"snapshot"`
		Endpoints *[]entry `json:"endpoints"`
	}
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil, err
	}
	if raw.Index == nil || raw.Snapshot == nil || raw.Endpoints == nil {
		return nil, errors.New("missing index, snapshot or endpoints")
	}
	list := &List{Version: *raw.Index, Full: *raw.Snapshot}
	for i, e := range *raw.Endpoints {
		endpoint, err := e.endpoint()
		if err != nil {
			return nil, fmt.Errorf("endpoints[%d]: %w", i, err)
		}
		list.Endpoints = append(list.Endpoints, endpoint)
	}
	return list, nil
}
