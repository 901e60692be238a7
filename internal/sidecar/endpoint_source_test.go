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
	service string // lines of the service's configuration
	file    string // lines of the whole file's
	put     func(members []standin.Member)
}

// listStatus returns a member's status as lists word it.
func listStatus(member standin.Member) string {
	if member.Status == "DRAINING" {
		return "draining"
	}
	return "serving"
}

// fileSource returns a list in a file.
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
	return listSource{service: fmt.Sprintf("membership = \"file\"\npath = %q", path), put: put}
}

// consulSource returns a list in a registry's health API.
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
	return listSource{service: service, put: put}
}

// relaySource returns a list that comes by a relay.
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
		service: "membership = \"relay\"\nas = \"rating\"",
		file:    fmt.Sprintf("[distribution]\nrelays = [%q]\n", relay.Address),
		put:     put,
	}
}

// listItem returns a backend as an item of a list.
func listItem(name, address, status string) distribution.Item {
	value, err := json.Marshal(map[string]any{"address": address, "status": status})
	if err != nil {
		panic(err) // not possible: it is all strings
	}
	return distribution.Item{Key: name, Value: value, Urgent: status != "serving"}
}

// No new request reaches a backend more than 250 ms after a source has listed it as draining or has
// removed it, by the backend's own clock, and no request is lost while the list changes under load.
func TestDrainsOfEverySourceAreObeyed(t *testing.T) {
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
				b := backend(t, func(c *standin.Call) bool {
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
				t, routeTo("a")+source.file,
				serviceText{name: "a", classes: safeClass, source: source.service},
			)
			if err := p.WaitReady(context.Background(), 20*time.Second); err != nil {
				t.Fatal(err)
			}
			ctx, stop := context.WithCancel(context.Background())
			var clients sync.WaitGroup
			var sent, failed int
			for range 4 {
				c := connect(t, p) // one each: a connection for each request would take all descriptors
				clients.Go(func() {
					for ctx.Err() == nil {
						c.send(t, requestText("GET", "/a"))
						resp, _ := c.answer(t)
						mu.Lock()
						sent++
						if resp.StatusCode != 200 {
							failed++
						}
						mu.Unlock()
					}
				})
			}
			pause := func(d time.Duration) { <-time.After(d) } // what is measured is that nothing comes in this time
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
					members[n].Status = "DRAINING" // and is back, draining, with the next list
				}
				pause(grace + 100*time.Millisecond)
			}
			stop()
			clients.Wait()
			if len(late) > 0 || failed > 0 || sent < 100 {
				t.Errorf(
					"of %d requests %d were not served; to drained backends after their grace: %v",
					sent, failed, late,
				)
			}
		})
	}
}
