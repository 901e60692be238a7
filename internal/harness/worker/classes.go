package worker

import (
	"slices"
	"time"
)

// Class is a class of requests, which clients send and for which sidecars are configured.
type Class struct {
	Name           string
	Idempotency    string // as the sidecar's key "repeat" has it: safe, keyed or unsafe
	Method         string
	Path           string
	Share          float64 // of all requests
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

// Tenant is the one tenant of all requests.
const Tenant = "roaming"

// DedupWindow is for how long a pod of backends deduplicates by idempotency key.
const DedupWindow = 7500 * time.Millisecond
