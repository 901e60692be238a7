package sidecar

import (
	"fmt"
	"net"
	"net/http"

	"fernlanding/internal/config"
	"fernlanding/internal/front"
	"fernlanding/internal/front/http1"
)

// listen opens all listeners, or none, and creates their fronts.
func (s *Sidecar) listen(app *config.App) error {
	listeners, err := openListeners(app.Listeners)
	if err != nil {
		return err
	}
	for i, l := range app.Listeners {
		s.fronts = append(s.fronts, http1.New(http1.Config{
			Listener:  listeners[i],
			Resolver:  &resolver{sidecar: s, listener: l.Name},
			IsHealthy: s.isHealthy,
			Quota:     descriptorQuota{allocator: s.shared.descriptors, consumer: config.ClientsConsumer},
			Memory:    s.shared.requestMemory,
			Log:       s.log,
		}))
	}
	s.shared.descriptors.setReclaimer(config.ClientsConsumer, s.closeIdleClient)
	return nil
}

// openListeners opens all listeners, or none.
func openListeners(configured []config.Listener) ([]net.Listener, error) {
	var opened []net.Listener
	for _, l := range configured {
		listener, err := net.Listen("tcp", l.Address)
		if err != nil {
			for _, o := range opened {
				_ = o.Close() // the error of net.Listen is returned
			}
			return nil, fmt.Errorf("listen: %w", err)
		}
		opened = append(opened, listener)
	}
	return opened, nil
}

// closeIdleClient closes one idle client connection, and reports whether there was one.
func (s *Sidecar) closeIdleClient() bool {
	for _, f := range s.fronts {
		if f.CloseIdleConnection() {
			return true
		}
	}
	return false
}

// resolver resolves the requests of one listener with the active configuration.
type resolver struct {
	sidecar  *Sidecar
	listener string
}

// Resolve implements front.Resolver.
func (r *resolver) Resolve(req *http.Request) (front.Destination, *front.RequestError) {
	return r.sidecar.active.Load().resolve(r.listener, req)
}
