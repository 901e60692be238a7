package sidecar

import "fernlanding/internal/core"

// maxMirroredInFlight limits the mirrored requests in flight.
const maxMirroredInFlight = 64

// sendMirror sends a copy of a request to an arm on a new goroutine and discards the response. It
// sends nothing if maxMirroredInFlight copies are in flight.
func (c *activeConfig) sendMirror(arm *splitArm, r *core.Request) {
	select {
	case c.mirrorSlots <- struct{}{}:
	default:
		return
	}
	mirrored := &core.Request{Request: r.Request, Method: r.Method, Target: r.Target, Host: r.Host, Body: r.Body}
	mirrored.ID = r.ID + "-mirror"
	mirrored.Class, mirrored.Tenant, mirrored.Key = arm.class, -1, ""
	for _, field := range r.Header {
		if field.Name == "Request-Id" {
			field.Value = mirrored.ID
		}
		mirrored.Header = append(mirrored.Header, field)
	}
	go func() {
		defer func() { <-c.mirrorSlots }()
		arm.pool.Do(mirrored).Response.Close()
	}()
}
