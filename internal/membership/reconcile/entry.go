package reconcile

import (
	"encoding/json"
	"fmt"
	"math"
	"net"
	"strconv"
	"strings"

	"fernlanding/internal/membership"
)

// value is the value of an entry as registries store it. The name of the type is part of the
// decoder's errors, which relays report to the source of a list.
type value struct {
	Name    string   `json:"name"` // of the instance; if empty, the last part of the key
	Address string   `json:"address"`
	Zone    string   `json:"zone"`
	Cell    int      `json:"cell"`
	Status  string   `json:"status"` // serving or draining; empty means serving
	Weight  *float64 `json:"weight"`
	SinceMs int64    `json:"since"` // time of the last start, Unix time in milliseconds
}

// decode returns the endpoint that an entry describes, or the reason why the entry is invalid.
func (c *Config) decode(e Entry) (membership.Endpoint, error) {
	instance, ok := strings.CutPrefix(e.Key, c.Prefix+c.Service+"/")
	if !ok || instance == "" || strings.Contains(instance, "/") || len(instance) > maxNameBytes {
		return membership.Endpoint{}, errKeyPattern
	}
	if len(e.Value) > maxValueBytes {
		return membership.Endpoint{}, errValueTooLarge
	}
	var v value
	if err := json.Unmarshal(e.Value, &v); err != nil {
		return membership.Endpoint{}, fmt.Errorf("value: %w", err)
	}
	return v.endpoint(instance)
}

// endpoint returns the endpoint that a value describes. Its name is instance if the value has no
// name.
func (v *value) endpoint(instance string) (membership.Endpoint, error) {
	endpoint := membership.Endpoint{
		Name: v.Name, Address: v.Address, Zone: v.Zone, Cell: v.Cell, Weight: 1, StartedMs: v.SinceMs,
	}
	if endpoint.Name == "" {
		endpoint.Name = instance
	}
	if len(endpoint.Name) > maxNameBytes {
		return membership.Endpoint{}, fmt.Errorf("name of %d bytes exceeds the limit of %d",
			len(endpoint.Name), maxNameBytes)
	}
	if v.Weight != nil {
		endpoint.Weight = *v.Weight
		if !(endpoint.Weight >= 0) || math.IsInf(endpoint.Weight, 0) {
			return membership.Endpoint{}, fmt.Errorf("invalid weight %g: want a finite weight >= 0", endpoint.Weight)
		}
	}
	switch v.Status {
	case "", "serving":
	case "draining":
		endpoint.Status = membership.Draining
	default:
		return membership.Endpoint{}, fmt.Errorf("unknown status %q: want serving or draining", v.Status)
	}
	if err := checkAddress(v.Address); err != nil {
		return membership.Endpoint{}, err
	}
	return endpoint, nil
}

// checkAddress returns an error unless the address is host:port with a host and a port other than
// 0.
func checkAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return fmt.Errorf("invalid address %q: want host:port", address)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("invalid address %q: want a port of 1 to 65535", address)
	}
	return nil
}
