package distribution

import (
	"encoding/json"
	"testing"
)

// testStoreBytes is a limit on the size of a store that no test reaches.
const testStoreBytes = 1 << 24

// at returns the version with an epoch and a revision.
func at(epoch, revision uint64) Version { return Version{Epoch: epoch, Revision: revision} }

// newItem returns an item with a JSON string as its value.
func newItem(key, value string) Item {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // unreachable: a string can be encoded
	}
	return Item{Key: key, Value: data}
}

// newDeletion returns an item that deletes a key.
func newDeletion(key string) Item { return Item{Key: key, Deleted: true} }

// write plans and applies a write, and returns its update, or nil if the write changes nothing.
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
		t.Fatalf("Apply returned %v, %v; want true, nil", applied, err)
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
