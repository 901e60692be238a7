package consul

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"

	"fernlanding/internal/membership/reconcile"
)

// invalidValue is the value of an entry that can't be decoded. It makes the reconciler reject the
// entry.
const invalidValue = `{"address":7}`

// instance is one entry of the API's response.
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

// parse converts a response to entries. The reconciler decodes and checks the value of each entry.
func parse(data []byte) ([]reconcile.Entry, error) {
	var raw []json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	if raw == nil {
		return nil, errors.New("list: null instead of an array")
	}
	var entries []reconcile.Entry
	for n, text := range raw {
		var i instance
		entry := reconcile.Entry{Key: fmt.Sprintf("/(entry %d)", n+1), Value: []byte(invalidValue)}
		if err := json.Unmarshal(text, &i); err == nil {
			entry.Value = i.value()
			if i.Service.ID != "" {
				entry.Key = "/" + i.Service.ID
			}
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// value returns an instance as the value of an entry. Zone, cell, since and status are in the
// service's metadata. Values that are not valid numbers or statuses are copied unchanged, and the
// reconciler rejects the entry.
func (i *instance) value() []byte {
	host := i.Service.Address
	if host == "" {
		host = i.Node.Address
	}
	value := map[string]any{
		"address": net.JoinHostPort(host, strconv.Itoa(i.Service.Port)),
		"zone":    i.Node.Datacenter,
	}
	if zone, ok := i.Service.Meta["zone"]; ok {
		value["zone"] = zone
	}
	for _, field := range []string{"cell", "since"} {
		if text, ok := i.Service.Meta[field]; ok {
			value[field] = numberOrText(text)
		}
	}
	status, weight := i.statusAndWeight()
	value["status"] = status
	if weight != nil {
		value["weight"] = *weight
	}
	data, err := json.Marshal(value)
	if err != nil {
		return nil // the weight has no JSON form, so the entry is invalid
	}
	return data
}

// statusAndWeight returns the status and weight according to the metadata and the checks. An
// instance with a critical check gets no new requests, like a draining one. An instance with a
// warning has the weight for warnings.
func (i *instance) statusAndWeight() (status string, weight *float64) {
	status, weight = "serving", i.Service.Weights.Passing
	if text, ok := i.Service.Meta["status"]; ok {
		status = text
	}
	for _, check := range i.Checks {
		switch check.Status {
		case "warning":
			weight = i.Service.Weights.Warning
		case "critical", "maintenance":
			status = "draining"
		}
	}
	return status, weight
}

// numberOrText returns text as an integer if it is one, and otherwise text itself.
func numberOrText(text string) any {
	if n, err := strconv.ParseInt(text, 10, 64); err == nil {
		return n
	}
	return text
}
