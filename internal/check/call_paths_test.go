package check_test

import (
	"strings"

	"fernlanding/internal/config"
	"fernlanding/internal/route"
)

// classRequest is a request that is routed to a class.
type classRequest struct {
	class, method, path, host string
	keyHeader                 string // the header of its idempotency key
	causes                    []string
}

// routableRequests returns a request for each route of an application that it can reach, with the
// service/class names that cause it.
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
			continue // an earlier route matches the path, and its request is of that one's class
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

// requestFor returns a request that the route at an index matches.
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

// callPaths is how requests go through applications: in at the entries, and on by the sidecar of
// the application that serves each service.
type callPaths struct {
	entries  []entry
	sidecars map[string]string         // address, by served service
	caused   map[string][]classRequest // by service/class
}

// entry is the sidecar of an application that serves no service, and the requests to send to it.
type entry struct {
	addr     string
	requests []classRequest
}

// add adds an application whose sidecar listens at an address.
func (c *callPaths) add(root table, app *config.App, addr string) {
	requests := routableRequests(app)
	if len(app.Serves) == 0 {
		c.entries = append(c.entries, entry{addr: addr, requests: requests})
	}
	for _, service := range app.Serves {
		if c.sidecars[service] != "" {
			continue // another application's backends
		}
		c.sidecars[service] = addr
		for _, r := range requests {
			for _, cause := range r.causes {
				c.addCause(root, service, cause, r)
			}
		}
	}
}

// addCause adds that a class of a service, or * for all of them, causes a request.
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
