package sidecar

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/node/nodetest"
	"fernlanding/internal/standin"
)

// listSource is a source of endpoint lists that a sidecar follows.
type listSource struct {
	serviceLines string                         // configuration lines of the service
	fileLines    string                         // configuration lines outside of services
	put          func(members []standin.Member) // replaces the list
}

// listStatus returns the status of a member in the form that lists use.
func listStatus(member standin.Member) string {
	if member.Status == "DRAINING" {
		return "draining"
	}
	return "serving"
}

// fileSource returns a source that reads a file.
func fileSource(t *testing.T) listSource {
	t.Helper()
	path := filepath.Join(t.TempDir(), "list.json")
	put := func(members []standin.Member) {
		list := []map[string]any{}
		for _, m := range members {
			list = append(list, map[string]any{"name": m.Name, "address": m.Address, "status": listStatus(m)})
		}
		data, err := json.Marshal(map[string]any{"endpoints": list})
		if err == nil {
			err = os.WriteFile(path+".new", data, 0o644)
		}
		if err == nil {
			err = os.Rename(path+".new", path)
		}
		if err != nil {
			t.Error(err)
		}
	}
	return listSource{serviceLines: fmt.Sprintf("membership = \"file\"\npath = %q", path), put: put}
}

// consulSource returns a source that reads a registry's health API.
func consulSource(t *testing.T) listSource {
	t.Helper()
	health, err := standin.NewHealth()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(health.Close)
	token := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(token, []byte("secret\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	registered := map[string]bool{}
	put := func(members []standin.Member) {
		present := map[string]bool{}
		for _, m := range members {
			present[m.Name], registered[m.Name] = true, true
		}
		health.Put(members...)
		for name := range registered {
			if !present[name] {
				health.Delete(name)
				delete(registered, name)
			}
		}
	}
	service := fmt.Sprintf("membership = \"consul\"\ndiscovery = %q\n", health.Addr()) +
		fmt.Sprintf("registered_as = \"rating\"\ntoken_file = %q", token)
	return listSource{serviceLines: service, put: put}
}

// relaySource returns a source that follows a relay.
func relaySource(t *testing.T) listSource {
	t.Helper()
	source := nodetest.StartSource(t)
	relay := nodetest.StartRelay(t, "relay", "127.0.0.1:0", source.Address)
	put := func(members []standin.Member) {
		items := []distribution.Item{}
		for _, m := range members {
			items = append(items, listItem(m.Name, m.Address, listStatus(m)))
		}
		_, err := source.Put(&distribution.PutRequest{Resource: "lists/rating", Replace: true, Items: items})
		if err != nil {
			t.Error(err)
		}
	}
	return listSource{
		serviceLines: "membership = \"relay\"\nas = \"rating\"",
		fileLines:    fmt.Sprintf("[distribution]\nrelays = [%q]\n", relay.Address),
		put:          put,
	}
}

// listItem returns the item of a backend in an endpoint list.
func listItem(name, address, status string) distribution.Item {
	value, err := json.Marshal(map[string]any{"address": address, "status": status})
	if err != nil {
		panic(err) // not possible, since all values are strings
	}
	return distribution.Item{Key: name, Value: value, Urgent: status != "serving"}
}

// A backend gets no new request later than 250 ms after a source has listed it as draining or has
// removed it, as the backend measures it. No request is lost while the list changes under load.
func TestDrainingEndpointsOfEverySourceGetNoNewRequests(t *testing.T) {
	const grace = 250 * time.Millisecond
	for name, newSource := range map[string]func(*testing.T) listSource{
		"file": fileSource, "consul": consulSource, "relay": relaySource,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			source := newSource(t)
			var mu sync.Mutex
			removed, late := map[string]time.Time{}, map[string]time.Duration{}
			var members []standin.Member
			for i := range 6 {
				id := fmt.Sprint(i)
				b := startBackend(t, func(c *standin.Call) bool {
					mu.Lock()
					if at, ok := removed[id]; ok && time.Since(at) > grace {
						late[id] = max(late[id], time.Since(at))
					}
					mu.Unlock()
					return standin.Echo(c)
				})
				members = append(members, standin.Member{Name: id, Address: b.Addr()})
			}
			source.put(members)
			p := startVersion2(
				t, routeTo("a")+source.fileLines,
				serviceTOML{name: "a", classes: safeClass, source: source.serviceLines},
			)
			if err := p.WaitReady(context.Background(), 20*time.Second); err != nil {
				t.Fatal(err)
			}
			ctx, stop := context.WithCancel(context.Background())
			var clients sync.WaitGroup
			var sent, failed int
			for range 4 {
				c := connect(t, p) // one per client, since one per request would use up all descriptors
				clients.Go(func() {
					for ctx.Err() == nil {
						c.send(t, requestText("GET", "/a"))
						resp, _ := c.readResponse(t)
						mu.Lock()
						sent++
						if resp.StatusCode != 200 {
							failed++
						}
						mu.Unlock()
					}
				})
			}
			pause := func(d time.Duration) { <-time.After(d) } // the test observes that no request arrives meanwhile
			for n := range 4 {
				pause(150 * time.Millisecond)
				mu.Lock()
				removed[members[n].Name] = time.Now()
				mu.Unlock()
				if n%2 == 0 {
					members[n].Status = "DRAINING"
					source.put(members)
				} else {
					source.put(append([]standin.Member{}, append(members[:n:n], members[n+1:]...)...))
					members[n].Status = "DRAINING" // the next list contains it again, as draining
				}
				pause(grace + 100*time.Millisecond)
			}
			stop()
			clients.Wait()
			if len(late) > 0 || failed > 0 || sent < 100 {
				t.Errorf(
					"%d requests, want at least 100; %d not served, want 0; "+
						"latest requests at draining or removed backends: %v, want none after %v",
					sent, failed, late, grace,
				)
			}
		})
	}
}
