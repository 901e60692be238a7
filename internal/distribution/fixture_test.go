package distribution

import (
	"encoding/json"
	"testing"
)

// testStoreBytes is a limit that no test reaches.
const testStoreBytes = 1 << 24

// at returns a version.
func at(epoch, revision uint64) Version { return Version{Epoch: epoch, Revision: revision} }

// set returns an item with a JSON string as its value.
func set(key, value string) Item {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // not possible: a string
	}
	return Item{Key: key, Value: data}
}

// deleted returns the deletion of a key.
func deleted(key string) Item { return Item{Key: key, Deleted: true} }

// write plans and applies a write, and returns its update; nil: it changes nothing.
func write(t *testing.T, s *Store, put *PutRequest, next Version) *Update {
	t.Helper()
	u, err := s.Plan(put, next)
	if err != nil {
		t.Fatal(err)
	}
	if u == nil {
		return nil
	}
	if applied, err := s.Apply(u); err != nil || !applied {
		t.Fatalf("apply: %v, %v", applied, err)
	}
	return u
}

// contents returns the values of the resource "r" by key.
func contents(s *Store) map[string]string {
	values := make(map[string]string)
	if snapshot := s.Snapshot("r"); snapshot != nil {
		for _, item := range snapshot.Items {
			values[item.Key] = string(item.Value)
		}
	}
	return values
}
