package sidecar

import (
	"net/http"
	"strings"
	"time"

	"fernlanding/internal/front"
	"fernlanding/internal/settings"
	"fernlanding/logic"
)

// platformResolver resolves requests on the platform: there is one service, and Request-Class names
// the class.
type platformResolver struct {
	deployment *settings.Deployment
	maxBody    int64
	pool       front.Pool
	classes    map[string]int
	tenants    map[string]int
}

// newPlatformResolver returns a resolver for the platform's one service.
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

// resolve returns where a request is forwarded.
func (p *platformResolver) resolve(req *http.Request) (front.Destination, *front.RequestError) {
	if fault := checkSingleFields(req.Header); fault != nil {
		return front.Destination{}, fault
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
	method, fault := checkClass(settings, req)
	if fault != nil {
		return front.Destination{}, fault
	}
	timeout, fault := parseTimeout(firstValue(req.Header, "Request-Timeout-Ms"))
	if fault != nil {
		return front.Destination{}, fault
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
		Timeout: answerTimeout(min(time.Duration(settings.Deadline)*time.Microsecond, timeout)),
		MaxBody: p.maxBody,
		NoBody:  method == http.MethodGet,
	}, nil
}

// checkClass rejects a request whose method or idempotency key does not fit its class. It returns
// the class's method.
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
