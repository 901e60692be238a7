package check_test

import (
	"maps"
	"math/rand/v2"
	"slices"
)

// table is a decoded TOML table of a catalogue.
type table = map[string]any

// fieldValues are the fields that a mutation may add or change, with the values that it may set.
var fieldValues = map[string][]any{
	"answers":       {table{"failed": 503}, table{"failed": 500, "refused": 429}},
	"attempts":      {1, 2, 16},
	"cell":          {1, 2, 3},
	"cold":          {"1s"},
	"cold_multiple": {0.5, 9},
	"connections":   {1, 4000},
	"deadline":      {"50ms", "500ms", "3s", "60s"},
	"dedup_scope":   {"cell", "zone", "service"},
	"dedup_window":  {"10ms", "300ms", "500ms", "2s", "1h"},
	"drain_grace":   {"0s", "250ms", "1s"},
	"early_data":    {true, false},
	"for": {
		[]any{"roaming/quote"},
		[]any{"roaming/rate"},
		[]any{"roaming/book"},
		[]any{"roaming/quote", "roaming/rate", "roaming/book"},
		[]any{},
	},
	"formerly":     {[]any{"charge"}, []any{"usage"}},
	"full_may_run": {true},
	"hedge":        {true, false},
	"in_order":     {true},
	"key":          {"Idempotency-Key", "Record-Id", "Request-Id"},
	"max_body":     {0, 9_000_000},
	"membership":   {"static", "catalog"},
	"methods":      {[]any{"POST"}, []any{"GET", "POST"}},
	"mirror": {
		table{"service": "billing-next", "class": "usage"},
		table{"service": "billing", "class": "look"},
	},
	"objective":    {"10ms", "200ms", "2s"},
	"repeat":       {"safe", "keyed", "unsafe"},
	"resend":       {"never", "scope", "any"},
	"retry_budget": {table{"share": 10, "free": 1000}, table{"share": 0}},
	"serves":       {[]any{"roaming"}, []any{"billing"}, []any{"roaming", "billing"}},
	"share":        {0.1, 0.5, 1.0},
	"split": {
		[]any{table{"service": "billing", "weight": 1}, table{"service": "billing-next", "weight": 1}},
	},
	"start_capacity": {0.1},
	"status":         {"draining", "serving"},
	"sticky_header":  {"Account", "Idempotency-Key"},
	"tenants":        {[]any{"acme"}, []any{"beta"}},
	"time_limit":     {"50ms", "100ms", "600ms", "3s"},
	"timeout":        {"1s"},
	"trusted":        {true, false},
	"weighted":       {true},
	"zone":           {"a", "b"},
}

// mutate applies one to three mutations to a catalogue.
func mutate(rnd *rand.Rand, root table) {
	for range 1 + rnd.IntN(3) {
		mutateOnce(rnd, root)
	}
}

// mutateOnce applies one mutation to a catalogue.
func mutateOnce(rnd *rand.Rand, root table) {
	places := tables(root)
	t := places[rnd.IntN(len(places))]
	keys := slices.Sorted(maps.Keys(t))
	// A later mutation may change the value, and the values are shared by all mutants.
	randomValue := func(values []any) any { return clone(values[rnd.IntN(len(values))]) }
	randomKey := func() string { return keys[rnd.IntN(len(keys))] }
	switch operation := rnd.IntN(10); {
	case operation < 3: // set a field to another of its values
		isUnknown := func(key string) bool { return fieldValues[key] == nil }
		if known := slices.DeleteFunc(slices.Clone(keys), isUnknown); len(known) > 0 {
			key := known[rnd.IntN(len(known))]
			t[key] = randomValue(fieldValues[key])
		}
	case operation < 6: // add a field
		all := slices.Sorted(maps.Keys(fieldValues))
		key := all[rnd.IntN(len(all))]
		t[key] = randomValue(fieldValues[key])
	case len(keys) == 0:
	case operation == 6: // remove a field
		delete(t, randomKey())
	case operation == 7: // swap the values of two fields
		a, b := randomKey(), randomKey()
		t[a], t[b] = t[b], t[a]
	case operation == 8: // merge a table into another
		from := places[rnd.IntN(len(places))]
		for _, key := range slices.Sorted(maps.Keys(from)) {
			if _, isTable := from[key].(table); !isTable || rnd.IntN(2) == 0 {
				t[key] = clone(from[key])
			}
		}
	default: // misspell the name of a field
		key := randomKey()
		t[key+"x"] = t[key]
		delete(t, key)
	}
}

// tables returns all tables of a value in a deterministic order.
func tables(value any) []table {
	var all []table
	switch v := value.(type) {
	case table:
		all = append(all, v)
		for _, key := range slices.Sorted(maps.Keys(v)) {
			all = append(all, tables(v[key])...)
		}
	case []any:
		for _, item := range v {
			all = append(all, tables(item)...)
		}
	}
	return all
}

// clone returns a deep copy of a value.
func clone(value any) any {
	switch v := value.(type) {
	case table:
		copied := table{}
		for key, field := range v {
			copied[key] = clone(field)
		}
		return copied
	case []any:
		copied := make([]any, len(v))
		for i, item := range v {
			copied[i] = clone(item)
		}
		return copied
	default:
		return value
	}
}

// lookUp returns the value at a path of table keys, or nil.
func lookUp(value any, path ...string) any {
	for _, key := range path {
		t, _ := value.(table)
		value = t[key]
	}
	return value
}

// stringOr returns a value if it is a string, or else the fallback.
func stringOr(value any, fallback string) string {
	if s, ok := value.(string); ok {
		return s
	}
	return fallback
}
