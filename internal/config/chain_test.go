package config_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fernlanding/internal/catalogue"
	"fernlanding/internal/catalogue/dir"
	"fernlanding/internal/check"
	"fernlanding/internal/config"
	"fernlanding/internal/sidecar"
	"fernlanding/internal/standin"
)

// TestChainOfFortyApplicationsServes checks that three tiers with forty applications, whose files
// are generated from one catalogue, serve requests. Each application has a running sidecar, and the
// backends of a tier call the next tier through their own sidecar. An environment sets the
// addresses.
func TestChainOfFortyApplicationsServes(t *testing.T) {
	sources, faults, err := dir.Load("testdata/good/chain-40/catalogue")
	if err != nil || len(faults) > 0 {
		t.Fatal(err, faults)
	}
	c := &chain{t: t, served: map[string]int{}, sidecars: map[string]*atomic.Pointer[string]{}}
	environment := c.startBackends()
	cat, faults := catalogue.Read(sources)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	plan, _, faults := check.Catalogue(cat, "", check.Options{})
	if len(faults) > 0 || len(plan.Outputs) != 40 {
		t.Fatalf("got %d files, want 40\n%v", len(plan.Outputs), faults)
	}
	for _, output := range plan.Outputs {
		environment += fmt.Sprintf("[environments.loopback.applications.%s]\n", output.Application) +
			"listeners = [{ address = \"127.0.0.1:0\" }]\n"
	}
	loopback := catalogue.File{Name: "loopback.toml", Data: []byte(environment)}
	cat, faults = catalogue.Read(append(sources, loopback))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	plan, docs, faults := check.Catalogue(cat, "loopback", check.Options{})
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	gateways := c.startSidecars(plan, docs)
	c.sendRequests(gateways)
}

// chain is the backends and sidecars of all tiers.
type chain struct {
	t        *testing.T
	sidecars map[string]*atomic.Pointer[string] // address of the sidecar by application

	mu     sync.Mutex
	served map[string]int // number of requests at the last tier by path and subject
}

// startBackends starts the backends of all tiers and returns an environment with their addresses.
func (c *chain) startBackends() (environment string) {
	environment = "catalogue = 1\n"
	for _, pod := range []struct {
		service, name string
		applications  []string // applications that are backends of the service; nil for the last tier
		size          int
	}{
		{"roaming", "one", numbered("desk", 1, 6), 6},
		{"roaming", "two", numbered("desk", 7, 12), 6},
		{"billing", "east", numbered("clerk", 1, 4), 4},
		{"billing", "west", numbered("clerk", 5, 8), 4},
		{"tariff", "one", nil, 4},
		{"ledger", "one", nil, 4},
	} {
		environment += fmt.Sprintf("[environments.loopback.services.%s.pods.%s]\nendpoints = [", pod.service, pod.name)
		for i := range pod.size {
			handler := c.serveLastTier
			if pod.applications != nil {
				sidecarAddr := &atomic.Pointer[string]{}
				c.sidecars[pod.applications[i]] = sidecarAddr
				handler = c.forwardTo(sidecarAddr)
			}
			backend, err := standin.NewBackend(handler)
			if err != nil {
				c.t.Fatal(err)
			}
			c.t.Cleanup(backend.Close)
			environment += fmt.Sprintf("{ name = \"%s-%d\", address = %q },", pod.name, i, backend.Addr())
		}
		environment += "]\n"
	}
	return environment
}

// numbered returns name with each number in a range.
func numbered(name string, from, to int) []string {
	var names []string
	for i := from; i <= to; i++ {
		names = append(names, fmt.Sprintf("%s-%d", name, i))
	}
	return names
}

// serveLastTier handles requests at the backends of the last tier.
func (c *chain) serveLastTier(call *standin.Call) bool {
	c.mu.Lock()
	c.served[call.URL.Path+" "+call.Header.Get("Subject")]++
	c.mu.Unlock()
	return standin.Echo(call)
}

// nextPath returns the path that a backend requests from the next tier for a request.
func nextPath(path string) string {
	switch {
	case strings.HasPrefix(path, "/quote"):
		return "/tariffs/7"
	case path == "/rate":
		return "/usage"
	case strings.HasSuffix(path, "/book"):
		return "/accounts/7/charges"
	case path == "/usage":
		return "/counts"
	}
	return "/entries"
}

// forwardTo returns a handler that calls the next tier through the sidecar at an address.
func (c *chain) forwardTo(sidecarAddr *atomic.Pointer[string]) standin.Handler {
	client := &http.Client{Transport: &http.Transport{}, Timeout: 10 * time.Second}
	c.t.Cleanup(client.CloseIdleConnections)
	return func(call *standin.Call) bool {
		url := "http://" + *sidecarAddr.Load() + nextPath(call.URL.Path)
		req, err := http.NewRequest(call.Method, url, nil)
		if err != nil {
			return false
		}
		for _, field := range []string{"Idempotency-Key", "Subject"} {
			if value := call.Header.Get(field); value != "" {
				req.Header.Set(field, value)
			}
		}
		resp, err := client.Do(req)
		if err != nil {
			return false
		}
		defer func() { _ = resp.Body.Close() }() // the body has been read
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return false
		}
		return call.Reply(resp.StatusCode, "", body) == nil
	}
}

// startSidecars starts all sidecars and returns the addresses of the sidecars of the first tier.
func (c *chain) startSidecars(plan *catalogue.Plan, docs []*config.Document) (gateways []string) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	c.t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	for i, doc := range docs {
		s, err := sidecar.New(doc.App, slog.New(slog.DiscardHandler))
		if err != nil {
			c.t.Fatalf("%s: %v", doc.File, err)
		}
		running.Go(func() { _ = s.Run(ctx) }) // a failed sidecar makes requests fail
		if err := s.WaitReady(ctx, 10*time.Second); err != nil {
			c.t.Fatal(err)
		}
		addr := s.Addr()
		if own := c.sidecars[plan.Outputs[i].Application]; own != nil {
			own.Store(&addr)
		} else {
			gateways = append(gateways, addr)
		}
	}
	return gateways
}

// sendRequests sends requests of each class through each gateway and checks that the last tier
// serves each request once.
func (c *chain) sendRequests(gateways []string) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: 15 * time.Second}
	defer client.CloseIdleConnections()
	sent := map[string]bool{}
	for g, addr := range gateways {
		for n, request := range []struct{ method, path, lastTier string }{
			{http.MethodGet, "/quote/7", "/tariffs/7"},
			{http.MethodPost, "/rate", "/counts"},
			{http.MethodPost, "/accounts/7/book", "/entries"},
			{http.MethodPost, "/accounts/9/book", "/entries"},
		} {
			subject := fmt.Sprintf("%d-%d", g, n)
			if err := send(client, request.method, "http://"+addr+request.path, subject); err != nil {
				c.t.Errorf("gateway %d: %v", g, err)
			}
			sent[request.lastTier+" "+subject] = true
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for request := range sent {
		if c.served[request] != 1 {
			c.t.Errorf("%s ran %d times, want 1", request, c.served[request])
		}
	}
	if len(gateways) != 20 || len(sent) != 80 {
		c.t.Errorf("got %d gateways and %d requests, want 20 and 80", len(gateways), len(sent))
	}
}

// send sends a request and returns an error unless the response has status 200.
func send(client *http.Client, method, url, subject string) error {
	req, err := http.NewRequest(method, url, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Subject", subject)
	req.Header.Set("Idempotency-Key", subject)
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: status %s", url, resp.Status)
	}
	_ = resp.Body.Close() // the body is not needed
	return err
}
