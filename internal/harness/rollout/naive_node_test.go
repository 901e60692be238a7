package rollout_test

import (
	"context"
	"encoding/json"
	"flag"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/follow"
)

// naiveNode is a stand-in for a source or a relay. Every read names all followed resources, and no
// resource usage is limited.
type naiveNode struct {
	bug      bug
	name     string
	upstream *naiveFollower // nil at the source

	mu        sync.Mutex
	changed   chan struct{} // closed and replaced when a resource changes
	epoch     uint64
	revision  uint64
	resources map[string]*naiveResource
	sessions  map[string]*naiveSession // sessions by follower name
	cached    int                      // bytes cached by bugUnboundedCache
}

// runNaiveNode runs a source or a relay, depending on its arguments, until SIGTERM.
func runNaiveNode(args []string, b bug) error {
	flags := flag.NewFlagSet(args[0], flag.ContinueOnError)
	listen := flags.String("listen", "", "")
	name := flags.String("name", "source", "")
	upstream := flags.String("upstream", "", "")
	state := flags.String("state", "", "")
	hold := flags.Duration("hold", naiveHold, "")
	if err := flags.Parse(args[1:]); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	n := &naiveNode{
		bug:       b,
		name:      *name,
		changed:   make(chan struct{}),
		resources: make(map[string]*naiveResource),
		sessions:  make(map[string]*naiveSession),
	}
	if args[0] == "source" {
		if err := n.beginEpoch(*state); err != nil {
			return err
		}
	} else {
		relays := strings.Split(*upstream, ",")
		cfg := follow.Config{Name: *name, Kind: distribution.KindRelay, Relays: relays, Hold: *hold}
		n.upstream = newNaiveFollower(cfg)
		n.upstream.node = n
		go n.upstream.Run(ctx)
	}
	l, err := net.Listen("tcp", *listen)
	if err != nil {
		return err
	}
	if b == bugCrash && *name == "zone-1" {
		time.AfterFunc(naiveCrashDelay, func() { os.Exit(3) })
	}
	go func() { _ = http.Serve(l, n.handler()) }()
	<-ctx.Done()
	return nil
}

// beginEpoch starts a new epoch of the source. The file "epoch" in dir has the last epoch.
func (n *naiveNode) beginEpoch(dir string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	file := filepath.Join(dir, "epoch")
	data, _ := os.ReadFile(file) // fails at the first start
	last, _ := strconv.ParseUint(string(data), 10, 64)
	n.epoch = last + 1
	return os.WriteFile(file, []byte(strconv.FormatUint(n.epoch, 10)), 0o600)
}

// handler returns the handler for the paths that the harness and the followers use.
func (n *naiveNode) handler() http.Handler {
	mux := http.NewServeMux()
	reply := func(w http.ResponseWriter, value any) { _ = json.NewEncoder(w).Encode(value) }
	mux.HandleFunc("/_health", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("POST /v1/follow", func(w http.ResponseWriter, q *http.Request) {
		var request distribution.FollowRequest
		if err := json.NewDecoder(q.Body).Decode(&request); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		reply(w, n.follow(q.Context(), request))
	})
	mux.HandleFunc("POST /v1/put", func(w http.ResponseWriter, q *http.Request) {
		var request distribution.PutRequest
		if err := json.NewDecoder(q.Body).Decode(&request); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		reply(w, n.put(request))
	})
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, q *http.Request) {
		n.mu.Lock()
		defer n.mu.Unlock()
		reply(w, n.status(q.FormValue("resource")))
	})
	mux.HandleFunc("GET /v1/resource", func(w http.ResponseWriter, q *http.Request) {
		n.mu.Lock()
		defer n.mu.Unlock()
		name := q.FormValue("name")
		reply(w, n.resource(name).snapshot(name))
	})
	mux.HandleFunc("GET /v1/stats", func(w http.ResponseWriter, _ *http.Request) {
		n.mu.Lock()
		defer n.mu.Unlock()
		reply(w, distribution.Stats{Sessions: len(n.sessions), CacheBytes: int64(n.cached)})
	})
	return mux
}

// resource returns a resource. It creates an empty one if the resource does not exist. The caller
// holds n.mu.
func (n *naiveNode) resource(name string) *naiveResource {
	if n.resources[name] == nil {
		n.resources[name] = &naiveResource{items: map[string]distribution.Item{}}
	}
	return n.resources[name]
}

// notify wakes all waiting reads. The caller holds n.mu.
func (n *naiveNode) notify() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// put writes to a resource.
func (n *naiveNode) put(request distribution.PutRequest) distribution.PutResponse {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.resource(request.Resource)
	n.revision++
	u := distribution.Update{
		Resource: request.Resource,
		From:     r.version,
		Version:  distribution.Version{Epoch: n.epoch, Revision: n.revision},
		Items:    request.Items,
	}
	if request.Replace {
		kept := map[string]bool{}
		for _, item := range request.Items {
			kept[item.Key] = true
		}
		for key := range r.items {
			if !kept[key] {
				u.Items = append(u.Items, distribution.Item{Key: key, Deleted: true})
			}
		}
	}
	r.apply(u)
	n.notify()
	return distribution.PutResponse{Version: u.Version}
}

// apply applies an update from the upstream if the update is newer and fits the current version.
func (n *naiveNode) apply(u distribution.Update) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r := n.resource(u.Resource); u.Version.After(r.version) && (u.IsSnapshot() || u.From == r.version) {
		r.apply(u)
		n.notify()
	}
}
