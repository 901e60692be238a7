package check_test

import (
	"strings"

	"fernlanding/internal/config"
	"fernlanding/internal/route"
)

// classRequest is a request that is routed to a class.
type classRequest struct {
	class, method, path, host string
	keyHeader                 string   // header field of the idempotency key
	causes                    []string // names of the form service/class
}

// routableRequests returns a request for each route of an application that a request can reach, with
// its causes.
func routableRequests(app *config.App) []classRequest {
	var requests []classRequest
	for i := range app.Routes {
		r := requestFor(app, i)
		table, numbers, err := app.Table(app.Listeners[0].Name)
		if err != nil {
			continue
		}
		matched, err := table.Match(route.Request{Method: r.method, Host: r.host, Path: r.path})
		if err != nil || matched < 0 || numbers[matched] != i {
			continue // an earlier route matches the request, which is then of another class
		}
		r.causes = app.Routes[i].CausedBy
		if len(r.causes) == 0 {
			for _, service := range app.Serves {
				r.causes = append(r.causes, service+"/*")
			}
		}
		requests = append(requests, r)
	}
	return requests
}

// requestFor returns a request that matches the route at an index.
func requestFor(app *config.App, index int) classRequest {
	r := &app.Routes[index]
	request := classRequest{class: r.Targets[0].Class, method: "POST", path: r.Match.Path}
	if request.path == "" {
		request.path = "/"
	}
	if r.Match.Kind == route.Template {
		segments := strings.Split(request.path, "/")
		for i, segment := range segments {
			if strings.HasPrefix(segment, "{") {
				segments[i] = "7"
			}
		}
		request.path = strings.Join(segments, "/")
	}
	if len(r.Match.Methods) > 0 {
		request.method = r.Match.Methods[0]
	}
	if len(r.Match.Hosts) > 0 {
		request.host = strings.Replace(r.Match.Hosts[0], "*", "x", 1)
	}
	s := app.Service(r.Targets[0].Service)
	request.keyHeader = s.ClassPolicies[s.Class(request.class)].Key
	return request
}

// callPaths is the set of paths of requests through applications. A request enters at an entry; the
// requests that it causes go through the sidecar of the application that serves its service.
type callPaths struct {
	entries  []entry
	sidecars map[string]string         // addresses, keyed by the service that the application serves
	caused   map[string][]classRequest // caused requests, keyed by service/class
}

// entry is the sidecar of an application that serves no service, with the requests to send to it.
type entry struct {
	addr     string
	requests []classRequest
}

// add adds an application whose sidecar listens on an address.
func (c *callPaths) add(root table, app *config.App, addr string) {
	requests := routableRequests(app)
	if len(app.Serves) == 0 {
		c.entries = append(c.entries, entry{addr: addr, requests: requests})
	}
	for _, service := range app.Serves {
		if c.sidecars[service] != "" {
			continue // served by an application that was added before
		}
		c.sidecars[service] = addr
		for _, r := range requests {
			for _, cause := range r.causes {
				c.addCause(root, service, cause, r)
			}
		}
	}
}

// addCause adds a request as caused by a class of a service. The class * means all classes of the
// service.
func (c *callPaths) addCause(root table, service, cause string, r classRequest) {
	causingService, class, _ := strings.Cut(cause, "/")
	if causingService != service {
		return
	}
	if class != "*" {
		c.caused[cause] = append(c.caused[cause], r)
		return
	}
	classes, _ := lookUp(root, "services", service, "classes").(table)
	for name := range classes {
		c.caused[service+"/"+name] = append(c.caused[service+"/"+name], r)
	}
}
