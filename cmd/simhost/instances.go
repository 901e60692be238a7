package main

import (
	"fernlanding/internal/settings"
	"fernlanding/logic"
)

// instance is the balancer of one proxy, and the host that writes its actions.
type instance struct {
	balancer *logic.Balancer
	host     *host
}

// findInstance returns the instance that an event names.
func (s *server) findInstance(event string, name *string) (*instance, error) {
	if name == nil {
		return nil, eventErrorf(event, "missing who")
	}
	found := s.instances[*name]
	if found == nil {
		return nil, eventErrorf(event, "unknown instance %q", *name)
	}
	return found, nil
}

// startInstance starts an instance. The instance replaces any other of the same name.
func (s *server) startInstance(e *startInstanceEvent) error {
	if e.Instance == nil || e.Seed == nil || e.Settings == nil || string(e.Settings) == "null" {
		return eventErrorf("new_instance", "missing who, salt or options")
	}
	deployment, err := settings.Decode(e.Settings)
	if err != nil {
		return eventErrorf("new_instance", "options.%w", err)
	}
	balancer, err := logic.New(deployment.Balancer, *e.Seed)
	if err != nil {
		return eventErrorf("new_instance", "%w", err)
	}
	s.instances[*e.Instance] = &instance{
		balancer: balancer,
		host:     &host{instance: *e.Instance, encoder: s.encoder},
	}
	return nil
}

// stopInstance stops an instance and discards its state.
func (s *server) stopInstance(e *instanceEvent) error {
	if _, err := s.findInstance("power_off", e.Instance); err != nil {
		return err
	}
	delete(s.instances, *e.Instance)
	return nil
}

// updateEndpoints passes an endpoint list, or the failure to get one, to an instance.
func (s *server) updateEndpoints(e *updateEndpointsEvent) error {
	in, err := s.findInstance("membership", e.Instance)
	if err != nil {
		return err
	}
	// The simulator restores no lists, so logic.UpdateFailed is the last kind on the wire.
	if e.Kind == nil || *e.Kind < 0 || *e.Kind > int(logic.UpdateFailed) {
		return eventErrorf("membership", "missing or unknown how")
	}
	kind := logic.UpdateKind(*e.Kind)
	if kind == logic.UpdateFailed {
		in.balancer.UpdateEndpoints(s.now, in.host, kind, nil)
		return nil
	}
	if e.ListNumber == nil || *e.ListNumber < 0 || *e.ListNumber >= maxLists || !s.lists[*e.ListNumber].defined {
		return eventErrorf("membership", "missing or unknown roster_id")
	}
	in.balancer.UpdateEndpoints(s.now, in.host, kind, s.lists[*e.ListNumber].endpoints)
	return nil
}

// request passes a request to an instance.
func (s *server) request(e *requestEvent) error {
	in, err := s.findInstance("job_in", e.Instance)
	if err != nil {
		return err
	}
	if e.ID == nil || e.Class == nil || e.ClientDeadline == nil {
		return eventErrorf("job_in", "missing ticket, band or give_up_at_us")
	}
	in.balancer.Request(s.now, in.host, logic.Request{
		ID: *e.ID, Class: *e.Class, Tenant: e.Tenant, Key: e.Key, ClientDeadline: *e.ClientDeadline,
	})
	return nil
}

// outcome passes the outcome of an attempt to an instance.
func (s *server) outcome(e *outcomeEvent) error {
	in, err := s.findInstance("completed", e.Instance)
	if err != nil {
		return err
	}
	if e.Request == nil || e.Attempt == nil || e.Status == nil {
		return eventErrorf("completed", "missing ticket, go or verdict")
	}
	status, ok := statuses[*e.Status]
	if !ok {
		return eventErrorf("completed", "unknown verdict %d", *e.Status)
	}
	in.balancer.Outcome(s.now, in.host, logic.Outcome{
		ID: *e.Request, Attempt: *e.Attempt, Status: status, Latency: e.Latency, RequestDone: e.RequestDone,
	})
	return nil
}

// cancel cancels a request of an instance.
func (s *server) cancel(e *cancelEvent) error {
	in, err := s.findInstance("withdrawn", e.Instance)
	if err != nil {
		return err
	}
	if e.Request == nil {
		return eventErrorf("withdrawn", "missing ticket")
	}
	in.balancer.Cancel(s.now, in.host, *e.Request)
	return nil
}

// responseStarted tells an instance that the response to an attempt has started.
func (s *server) responseStarted(e *outcomeEvent) error {
	in, err := s.findInstance("established", e.Instance)
	if err != nil {
		return err
	}
	if e.Request == nil {
		return eventErrorf("established", "missing ticket")
	}
	in.balancer.ResponseStarted(s.now, *e.Request)
	return nil
}

// timer tells an instance that one of its timers has expired.
func (s *server) timer(e *timerEvent) error {
	in, err := s.findInstance("tick_due", e.Instance)
	if err != nil {
		return err
	}
	if e.Token == nil {
		return eventErrorf("tick_due", "missing nonce")
	}
	in.balancer.Timer(s.now, in.host, *e.Token)
	return nil
}
