package check_test

import (
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"fernlanding/internal/standin"
)

// effectBackends are the backends of all services. They count the effects of requests according to
// the classes that the owners declare in the current catalogue.
type effectBackends struct {
	backends []*standin.Backend
	client   *http.Client

	mu       sync.Mutex
	rnd      *rand.Rand
	root     table                     // current catalogue
	sidecars map[string]string         // sidecar addresses, keyed by the service that the application serves
	caused   map[string][]classRequest // requests that a backend sends, keyed by service/class
	seenKeys map[string]time.Time      // keyed by service, class, dedup group and idempotency key
	effects  map[string]int            // counts, keyed by service, class and subject
}

// newEffectBackends starts the backends. They are closed at the end of the test.
func newEffectBackends(t *testing.T) *effectBackends {
	t.Helper()
	e := &effectBackends{client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 8}, Timeout: 3 * time.Second,
	}}
	t.Cleanup(e.client.CloseIdleConnections)
	// A request may arrive before the first mutant is served: other tests, and mutants with another
	// port in an address, send to ports of this machine too. It belongs to no class.
	e.reset(0, nil, &callPaths{})
	for range 3 * backendsPerService {
		b, err := standin.NewBackend(nil)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(b.Close)
		b.SetHandler(e.handler(b.Addr()))
		e.backends = append(e.backends, b)
	}
	return e
}

// catalogueText returns the seed catalogue with the backends' addresses.
func (e *effectBackends) catalogueText() string {
	text := seedCatalogue
	for i, b := range slices.Backward(e.backends) {
		text = strings.ReplaceAll(text, `"@`+strconv.Itoa(i)+`"`, strconv.Quote(b.Addr()))
	}
	return text
}

// reset clears the counts and sets another catalogue and its call paths.
func (e *effectBackends) reset(seed uint64, root table, calls *callPaths) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.root, e.sidecars, e.caused = root, calls.sidecars, calls.caused
	e.rnd = rand.New(rand.NewPCG(seed, 2))
	e.seenKeys, e.effects = map[string]time.Time{}, map[string]int{}
}

// repeatedEffects returns the effects that occurred more than once.
func (e *effectBackends) repeatedEffects() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var repeated []string
	for _, effect := range slices.Sorted(maps.Keys(e.effects)) {
		if e.effects[effect] > 1 {
			repeated = append(repeated, fmt.Sprintf("%s: %d effects", effect, e.effects[effect]))
		}
	}
	return repeated
}

// backendClass is a class as the owner of a backend's service declares it.
type backendClass struct {
	service    string
	name       string
	dedupGroup string
	policy     any // table of the class; nil if the backend is in no service with the class
}

// findClass returns a class of the service whose backend has an address.
func (e *effectBackends) findClass(addr, class string) backendClass {
	services, _ := lookUp(e.root, "services").(table)
	for _, service := range slices.Sorted(maps.Keys(services)) {
		policy := lookUp(services[service], "classes", class)
		pods, _ := lookUp(services[service], "pods").(table)
		for _, pod := range slices.Sorted(maps.Keys(pods)) {
			if policy == nil || !hasEndpoint(pods[pod], addr) {
				continue
			}
			group := ""
			switch stringOr(lookUp(policy, "dedup_scope"), "cell") {
			case "cell":
				group = fmt.Sprint(lookUp(pods[pod], "cell"))
			case "zone":
				group = fmt.Sprint(lookUp(pods[pod], "zone"))
			}
			return backendClass{service: service, name: class, dedupGroup: group, policy: policy}
		}
	}
	return backendClass{name: class}
}

// hasEndpoint reports whether a pod has an endpoint with an address.
func hasEndpoint(pod any, addr string) bool {
	endpoints, _ := lookUp(pod, "endpoints").([]any)
	return slices.ContainsFunc(endpoints, func(endpoint any) bool {
		return stringOr(lookUp(endpoint, "address"), "") == addr
	})
}

// isDuplicate reports whether the key of a request has been seen within the dedup window of its
// class. If not, it records the key. The caller holds e.mu.
func (e *effectBackends) isDuplicate(class backendClass, header http.Header) bool {
	if stringOr(lookUp(class.policy, "repeat"), "") != "keyed" {
		return false
	}
	key := header.Get(stringOr(lookUp(class.policy, "key"), ""))
	record := strings.Join([]string{class.service, class.name, class.dedupGroup, key}, " ")
	window, _ := time.ParseDuration(stringOr(lookUp(class.policy, "dedup_window"), ""))
	if seen, isKnown := e.seenKeys[record]; isKnown && time.Since(seen) < window {
		return true
	}
	e.seenKeys[record] = time.Now()
	return false
}

// handler returns the handler of the backend at an address. The handler counts the effect of a
// request and sends the requests that it causes. After that it responds with 200, responds with 500
// or closes the connection without a response.
func (e *effectBackends) handler(addr string) standin.Handler {
	return func(c *standin.Call) bool {
		className, subject := c.Header.Get("Class"), c.Header.Get("Subject")
		e.mu.Lock()
		class := e.findClass(addr, className)
		runs := !e.isDuplicate(class, c.Header)
		if runs && class.service != "" && stringOr(lookUp(class.policy, "repeat"), "") != "safe" {
			e.effects[class.service+"/"+className+" "+subject]++
		}
		sidecar, requests := e.sidecars[class.service], e.caused[class.service+"/"+className]
		outcome, wait := e.rnd.IntN(10), time.Duration(e.rnd.IntN(15))*time.Millisecond
		e.mu.Unlock()
		if runs {
			for _, r := range requests {
				e.send(sidecar, r, subject)
			}
		}
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-c.Done:
			return false
		}
		switch {
		case outcome < 4:
			return false
		case outcome < 5:
			return c.Reply(http.StatusInternalServerError, "", nil) == nil
		default:
			return c.Reply(http.StatusOK, "", nil) == nil
		}
	}
}

// send sends a request and discards the response.
func (e *effectBackends) send(addr string, r classRequest, subject string) {
	req, err := http.NewRequest(r.method, "http://"+addr+r.path, nil)
	if err != nil {
		return // no client can send the mutated path
	}
	if r.host != "" {
		req.Host = r.host
	}
	req.Header.Set("Class", r.class)
	req.Header.Set("Subject", subject)
	if r.keyHeader != "" {
		req.Header.Set(r.keyHeader, subject)
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return // only effects are counted, not responses
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}
