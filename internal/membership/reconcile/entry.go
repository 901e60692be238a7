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

// value is the value of an entry as registries store it. The type's name is part of the decoder's
// errors, which relays report to the source of a list.
type value struct {
	Name    string   `json:"name"` // of the instance; empty: the key's last part
	Address string   `json:"address"`
	Zone    string   `json:"zone"`
	Cell    int      `json:"cell"`
	Status  string   `json:"status"` // serving or draining; empty: serving
	Weight  *float64 `json:"weight"`
	SinceMs int64    `json:"since"` // Unix time in milliseconds
}

// decode returns the endpoint that an entry describes, or an error that says why the entry is
// invalid.
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

// endpoint returns the endpoint that a value describes; it has the instance's name where the value
// has none.
func (v *value) endpoint(instance string) (membership.Endpoint, error) {
	endpoint := membership.Endpoint{
		Name: v.Name, Address: v.Address, Zone: v.Zone, Cell: v.Cell, Weight: 1, StartedMs: v.SinceMs,
	}
	if endpoint.Name == "" {
		endpoint.Name = instance
	}
	if len(endpoint.Name) > maxNameBytes {
		return membership.Endpoint{}, fmt.Errorf("name: over %d bytes", maxNameBytes)
	}
	if v.Weight != nil {
		endpoint.Weight = *v.Weight
		if !(endpoint.Weight >= 0) || math.IsInf(endpoint.Weight, 0) {
			return membership.Endpoint{}, fmt.Errorf("weight: %g", endpoint.Weight)
		}
	}
	switch v.Status {
	case "", "serving":
	case "draining":
		endpoint.Status = membership.Draining
	default:
		return membership.Endpoint{}, fmt.Errorf("status: %q; serving or draining expected", v.Status)
	}
	if err := checkAddress(v.Address); err != nil {
		return membership.Endpoint{}, err
	}
	return endpoint, nil
}

// checkAddress returns an error where an address is not host:port, with a host and a port other
// than 0.
func checkAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return fmt.Errorf("address: %q; host:port expected", address)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("address: %q; a port of 1 to 65535 expected", address)
	}
	return nil
}
