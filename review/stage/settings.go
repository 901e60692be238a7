package main

import (
	"encoding/json"
	"time"
)

// The classes of diliman-main.
var (
	tariff = &Kind{Name: "tariff-lookup", Effect: "safe", Deadline: 4 * time.Second}
	usage  = &Kind{Name: "usage-rate", Effect: "keyed", Deadline: 5 * time.Second, Window: 7500 * time.Millisecond}
	charge = &Kind{Name: "charge-post", Effect: "unsafe", Deadline: 6 * time.Second}
)

// config returns a proxy's configuration in the form of DEPLOY, with the settings of a small
// deployment: those that WIRE shows, for the first tier.
func config(name, listen, discovery string, proxies, number int, known []byte) map[string]any {
	classes := []map[string]any{}
	words := map[string]string{"safe": "idempotent", "keyed": "deduplicated", "unsafe": "at_most_once"}
	objective := map[string]int64{"tariff-lookup": 1_500_000, "usage-rate": 2_000_000, "charge-post": 2_500_000}
	late := map[string]float64{"tariff-lookup": 0.25, "usage-rate": 0.2, "charge-post": 0.2}
	for _, k := range []*Kind{tariff, usage, charge} {
		c := map[string]any{
			"name": k.Name, "repeat": words[k.Effect], "objective_us": objective[k.Name],
			"give_up_us": k.Deadline.Microseconds(), "late_share": late[k.Name], "worth": 1.0, "stream": false,
			"dedup_scope": "all", "dedup_window_us": 5_000_000,
		}
		if k.Effect == "keyed" {
			c["dedup_scope"], c["dedup_window_us"] = "cell", k.Window.Microseconds()
		}
		classes = append(classes, c)
	}
	quota := []float64{48, 15, 15, 15, 15}
	portion := []float64{0.4343434343434343, 0.1414141414141414, 0.1414141414141414, 0.1414141414141414, 0.1414141414141414}
	tenantList := []map[string]any{}
	for i, t := range tenants {
		tenantList = append(tenantList, map[string]any{"name": t, "portion": portion[i], "quota_per_s": quota[i]})
	}
	settings := map[string]any{
		"blend":           map[string]any{"whole": 0.4, "worst_class": 0.1, "worst_tenant": 0.4, "worst_window": 0.1},
		"clients":         map[string]any{"marks_retry": false},
		"contract":        map[string]any{"answer_slack_us": 20000, "ask_every_us": 10000000, "cold_us": 8500000, "drain_grace_us": 250000, "fall_us": 3000000, "start_capacity": 0.31, "tip_multiple": 3.0},
		"counted_by":      "request",
		"deductions":      map[string]any{"late_fail": 0.08, "probe": 0.01, "waste": 0.04},
		"extra":           map[string]any{"passes_deadline": true},
		"failure_domains": []string{"diliman-room1"},
		"kinds":           []string{"gw-fast", "gw-mid", "gw-slow"},
		"limits": map[string]any{
			"cancelling": true, "cpu_us_per_request": 0.0, "cpu_us_per_s": 2888080, "dial_timeout_us": 200000,
			"idle_close_us": 30000000, "max_retry_after_us": 2000000, "most_held": 144404, "peers": false, "probes": true,
			"retry_after": true, "second_copies": false, "streams_per_conn": 1, "try_limit": 5,
		},
		"membership_mode": "automatic", "my_zone": 0, "ordinal": number, "over_share_worth": 0.05, "period_us": 5000,
		"profiles": classes, "report": map[string]any{"fields": []string{}, "how": "off"}, "service_type": "chain",
		"siblings": proxies, "stage": 0, "tenants": tenantList, "tiers": []string{"gateway", "rating", "ledger"}, "weights": "off",
	}
	return map[string]any{
		"name": name, "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  json.RawMessage(known), "settings": settings,
	}
}
