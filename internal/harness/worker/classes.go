package worker

import (
	"slices"
	"time"
)

// Class is a class of requests. Clients send its requests, and sidecars are configured with it.
type Class struct {
	Name           string
	Idempotency    string // value of the key "repeat" in a sidecar's configuration: safe, keyed or unsafe
	Method         string
	Path           string
	Share          float64 // share of all requests
	Objective      time.Duration
	Deadline       time.Duration
	PriorityWeight float64
}

// classes are the classes of every run.
var classes = []Class{
	{
		Name: "tariff-lookup", Idempotency: "safe", Method: "GET", Path: "/tariffs", Share: 0.6,
		Objective: 300 * time.Millisecond, Deadline: time.Second, PriorityWeight: 1,
	},
	{
		Name: "usage-rate", Idempotency: "keyed", Method: "POST", Path: "/usage", Share: 0.25,
		Objective: 500 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 3,
	},
	{
		Name: "charge-post", Idempotency: "unsafe", Method: "POST", Path: "/charges", Share: 0.15,
		Objective: 700 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 10,
	},
}

// Classes returns the classes of every run.
func Classes() []Class { return slices.Clone(classes) }

// Tenant is the tenant of all requests.
const Tenant = "roaming"

// DedupWindow is the time for which a cell of backends deduplicates requests by idempotency key.
const DedupWindow = 7500 * time.Millisecond
