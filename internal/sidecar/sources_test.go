package sidecar

import (
	"context"
	"encoding/json"
	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/node/nodetest"
	"fernlanding/internal/standin"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"
)

// followed is a registry that a sidecar follows.
type followed struct {
	from string // lines of the service's configuration
	put  func(all []standin.Member)
	more string // lines of the whole file's
}

func inFile(t *testing.T) followed {
	path := filepath.Join(t.TempDir(), "list.json")
	return followed{fmt.Sprintf("membership = \"file\"\npath = %q", path), func(all []standin.Member) {
		list := []map[string]any{}
		for _, m := range all {
			status := "serving"
			if m.Status == "DRAINING" {
				status = "draining"
			}
			list = append(list, map[string]any{"name": m.Name, "address": m.Address, "status": status})
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
	}, ""}
}

func inHealth(t *testing.T) followed {
	h, err := standin.NewHealth()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Close)
	token := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(token, []byte("secret\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	known := map[string]bool{}
	return followed{fmt.Sprintf("membership = \"consul\"\ndiscovery = %q\nregistered_as = \"rating\"\ntoken_file = %q", h.Addr(), token), func(all []standin.Member) {
		now := map[string]bool{}
		for _, m := range all {
			now[m.Name], known[m.Name] = true, true
		}
		h.Put(all...)
		for name := range known {
			if !now[name] {
				h.Delete(name)
				delete(known, name)
			}
		}
	}, ""}
}

func byRelay(t *testing.T) followed {
	source := nodetest.Source(t)
	relay := nodetest.Relay(t, "relay", "127.0.0.1:0", source.Address)
	return followed{"membership = \"relay\"\nas = \"rating\"", func(all []standin.Member) {
		items := []distribution.Item{}
		for _, m := range all {
			status := "serving"
			if m.Status == "DRAINING" {
				status = "draining"
			}
			items = append(items, item(m.Name, m.Address, status))
		}
		if _, err := source.Put(&distribution.PutRequest{Resource: "lists/rating", Replace: true, Items: items}); err != nil {
			t.Error(err)
		}
	}, fmt.Sprintf("[distribution]\nrelays = [%q]\n", relay.Address)}
}

// item is a backend as an item of a list.
func item(name, address, status string) distribution.Item {
	value, err := json.Marshal(map[string]any{"address": address, "status": status})
	if err != nil {
		panic(err) // not possible: it is all strings
	}
	return distribution.Item{Key: name, Value: value, Urgent: status != "serving"}
}

// Nothing new reaches a backend more than 250 ms after a file or a registry has told of its drain or its end, by the
// backend's own clock, and no request is lost while the list changes under load.
func TestDrainsOfEverySourceAreKept(t *testing.T) {
	const grace = 250 * time.Millisecond
	for name, make := range map[string]func(*testing.T) followed{"file": inFile, "consul": inHealth, "relay": byRelay} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := make(t)
			var mu sync.Mutex
			told, late := map[string]time.Time{}, map[string]time.Duration{}
			var members []standin.Member
			for i := range 6 {
				id := fmt.Sprint(i)
				b := backend(t, func(c *standin.Call) bool {
					mu.Lock()
					if at, gone := told[id]; gone && time.Since(at) > grace {
						late[id] = max(late[id], time.Since(at))
					}
					mu.Unlock()
					return standin.Echo(c)
				})
				members = append(members, standin.Member{Name: id, Address: b.Addr()})
			}
			f.put(members)
			p := start(t, decode2(t, to("a")+f.more, svc{"a", safeClass, f.from, ""}))
			if err := p.WaitReady(context.Background(), 20*time.Second); err != nil {
				t.Fatal(err)
			}
			ctx, stop := context.WithCancel(context.Background())
			var clients sync.WaitGroup
			var sent, wrong int
			for range 4 {
				c := connect(t, p) // one each: a connection for each request would take all descriptors
				clients.Go(func() {
					for ctx.Err() == nil {
						c.send(t, words("GET", "/a"))
						resp, _ := c.answer(t)
						mu.Lock()
						if sent++; resp.StatusCode != 200 {
							wrong++
						}
						mu.Unlock()
					}
				})
			}
			pause := func(d time.Duration) { <-time.After(d) } // what is measured is that nothing comes in this time
			for n := range 4 {
				pause(150 * time.Millisecond)
				mu.Lock()
				told[members[n].Name] = time.Now()
				mu.Unlock()
				if n%2 == 0 {
					members[n].Status = "DRAINING"
					f.put(members)
				} else {
					f.put(append([]standin.Member{}, append(members[:n:n], members[n+1:]...)...))
					members[n].Status = "DRAINING" // and is back, draining, with the next list
				}
				pause(grace + 100*time.Millisecond)
			}
			stop()
			clients.Wait()
			if len(late) > 0 || wrong > 0 || sent < 100 {
				t.Errorf("of %d requests %d were not served; to drained backends after their grace: %v", sent, wrong, late)
			}
		})
	}
}
