package consul

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"

	"fernlanding/internal/membership/reconcile"
)

// invalidValue is the value of an entry that can't be decoded: the reconciler rejects the entry by
// it.
const invalidValue = `{"address":7}`

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

// parse converts an answer to entries, whose values the reconciler decodes and checks one by one.
func parse(data []byte) ([]reconcile.Entry, error) {
	var raw []json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	if raw == nil {
		return nil, errors.New("list: null")
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

// value returns an instance as the value of an entry. Zone, cell, since and status are in its
// service's metadata; those that are no valid numbers or statuses stay as they are, for the
// reconciler to reject.
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
		return nil // a weight that is no number in JSON: the entry is invalid
	}
	return data
}

// statusAndWeight returns what metadata and checks say. An instance with a critical check gets no
// new requests, like one that drains; one with a warning has the weight for warnings.
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

// numberOrText returns the integer that a text is, or else the text.
func numberOrText(text string) any {
	if n, err := strconv.ParseInt(text, 10, 64); err == nil {
		return n
	}
	return text
}
