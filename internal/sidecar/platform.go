package sidecar

import (
	"fernlanding/internal/front"
	"fernlanding/internal/settings"
	"fernlanding/logic"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	maxID = 128 // bytes of a Request-Id

	// The answer to a request is to leave this long before its client gives up, so that a busy core does
	// not make it late, but a request with little time keeps most of it.
	answerMargin = 30 * time.Millisecond
	marginPart   = 8
)

// platform resolves requests as the platform words them: one service, the class by Request-Class.
type platform struct {
	site    *settings.Deployment
	maxBody int64
	pool    front.Pool
	classes map[string]int
	tenants map[string]int
}

func newPlatform(site *settings.Deployment, maxBody int64, pool front.Pool) *platform {
	return &platform{site, maxBody, pool, numbers(site.Classes), numbers(site.Tenants)}
}

func numbers(names []string) map[string]int {
	m := make(map[string]int, len(names))
	for i, n := range names {
		m[n] = i
	}
	return m
}

// single are the fields that may stand in a head once.
var single = [...]string{"Request-Id", "Request-Class", "Request-Timeout-Ms", "Tenant", "Idempotency-Key"}

// field is the first value of a field whose name is in canonical form.
func field(h http.Header, name string) string {
	if v := h[name]; len(v) > 0 {
		return v[0]
	}
	return ""
}

// twice is the fault of a head in which a field stands more than once that would then have two meanings.
func twice(h http.Header) *front.RequestError {
	for _, name := range single {
		if len(h[name]) > 1 {
			return &front.RequestError{Status: http.StatusBadRequest, Reason: name + " is given twice"}
		}
	}
	return nil
}

// resolve says as what a request goes on.
func (p *platform) resolve(r *http.Request) (front.Destination, *front.RequestError) {
	bad := func(status int, why string) (front.Destination, *front.RequestError) {
		return front.Destination{}, &front.RequestError{Status: status, Reason: why}
	}
	if fault := twice(r.Header); fault != nil {
		return front.Destination{}, fault
	}
	class, ok := p.classes[field(r.Header, "Request-Class")]
	if !ok {
		return bad(http.StatusBadRequest, "unknown Request-Class")
	}
	part, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if part != p.site.Classes[class] || !strings.HasPrefix(r.RequestURI, "/") {
		return bad(http.StatusBadRequest, "the path does not begin with the class")
	}
	id := field(r.Header, "Request-Id")
	if id == "" || len(id) > maxID {
		return bad(http.StatusBadRequest, "no Request-Id, or a long one")
	}
	k, method := p.site.Balancer.Classes[class], http.MethodPost
	if k.Idempotency == logic.Idempotent {
		method = http.MethodGet
	}
	if r.Method != method {
		return front.Destination{}, &front.RequestError{Status: http.StatusMethodNotAllowed, Reason: "wrong method for the class", Allow: method}
	}
	if keyed := field(r.Header, "Idempotency-Key") != ""; keyed != (k.Idempotency == logic.IdempotentByKey) {
		return bad(http.StatusBadRequest, "Idempotency-Key does not fit the class")
	}
	ms, err := strconv.ParseInt(field(r.Header, "Request-Timeout-Ms"), 10, 64)
	if err != nil || ms <= 0 {
		return bad(http.StatusBadRequest, "Request-Timeout-Ms is no time")
	}
	tenant, ok := p.tenants[field(r.Header, "Tenant")]
	if !ok {
		tenant = -1 // not told
	}
	wait := min(time.Duration(k.Deadline)*time.Microsecond, time.Duration(min(ms, 1e9))*time.Millisecond)
	return front.Destination{
		Pool: p.pool, ID: id, Class: class, Tenant: tenant, Key: rest[strings.LastIndexByte(rest, '/')+1:],
		Target: r.RequestURI, Timeout: wait - min(answerMargin, wait/marginPart),
		MaxBody: p.maxBody, NoBody: method == http.MethodGet,
	}, nil
}
