package sidecar

import (
	"net/http"
	"strings"
	"time"

	"fernlanding/internal/front"
	"fernlanding/internal/settings"
	"fernlanding/logic"
)

// platformResolver resolves requests on the platform, where there is one service and the
// Request-Class field names the class.
type platformResolver struct {
	deployment *settings.Deployment
	maxBody    int64
	pool       front.Pool
	classes    map[string]int // indexes by name
	tenants    map[string]int // indexes by name
}

// newPlatformResolver returns a resolver for the single service of the platform.
func newPlatformResolver(deployment *settings.Deployment, maxBody int64, pool front.Pool) *platformResolver {
	return &platformResolver{
		deployment: deployment,
		maxBody:    maxBody,
		pool:       pool,
		classes:    indexByName(deployment.Classes),
		tenants:    indexByName(deployment.Tenants),
	}
}

// indexByName returns the index of each name.
func indexByName(names []string) map[string]int {
	indexes := make(map[string]int, len(names))
	for i, name := range names {
		indexes[name] = i
	}
	return indexes
}

// resolve returns the destination of a request.
func (p *platformResolver) resolve(req *http.Request) (front.Destination, *front.RequestError) {
	if reqErr := checkSingleFields(req.Header); reqErr != nil {
		return front.Destination{}, reqErr
	}
	class, ok := p.classes[firstValue(req.Header, "Request-Class")]
	if !ok {
		return front.Destination{}, badRequest("unknown Request-Class")
	}
	segment, rest, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
	if segment != p.deployment.Classes[class] || !strings.HasPrefix(req.RequestURI, "/") {
		return front.Destination{}, badRequest("the path does not begin with the class")
	}
	id := firstValue(req.Header, "Request-Id")
	if id == "" || len(id) > maxRequestIDBytes {
		return front.Destination{}, badRequest("no Request-Id, or a long one")
	}
	settings := &p.deployment.Balancer.Classes[class]
	method, reqErr := checkClass(settings, req)
	if reqErr != nil {
		return front.Destination{}, reqErr
	}
	timeout, reqErr := parseTimeout(firstValue(req.Header, "Request-Timeout-Ms"))
	if reqErr != nil {
		return front.Destination{}, reqErr
	}
	tenant, ok := p.tenants[firstValue(req.Header, "Tenant")]
	if !ok {
		tenant = -1 // unknown
	}
	return front.Destination{
		Pool:    p.pool,
		ID:      id,
		Class:   class,
		Tenant:  tenant,
		Key:     rest[strings.LastIndexByte(rest, '/')+1:],
		Target:  req.RequestURI,
		Timeout: responseTimeout(min(time.Duration(settings.Deadline)*time.Microsecond, timeout)),
		MaxBody: p.maxBody,
		NoBody:  method == http.MethodGet,
	}, nil
}

// checkClass rejects a request if its class requires another method, or if an Idempotency-Key field
// is missing or not allowed. It returns the method of the class.
func checkClass(class *logic.Class, req *http.Request) (string, *front.RequestError) {
	method := http.MethodPost
	if class.Idempotency == logic.Idempotent {
		method = http.MethodGet
	}
	if req.Method != method {
		return "", &front.RequestError{
			Status: http.StatusMethodNotAllowed, Reason: "wrong method for the class", Allow: method,
		}
	}
	hasKey := firstValue(req.Header, "Idempotency-Key") != ""
	if hasKey != (class.Idempotency == logic.IdempotentByKey) {
		return "", badRequest("Idempotency-Key does not fit the class")
	}
	return method, nil
}
