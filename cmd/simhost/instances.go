package main

import (
	"fernlanding/internal/settings"
	"fernlanding/logic"
)

// instance is one proxy's balancer, with the host that writes its actions.
type instance struct {
	balancer *logic.Balancer
	host     *host
}

// find returns the instance of an event.
func (s *server) find(event string, name *string) (*instance, error) {
	if name == nil {
		return nil, eventErrorf(event, "who is missing")
	}
	found := s.instances[*name]
	if found == nil {
		return nil, eventErrorf(event, "unknown instance %q", *name)
	}
	return found, nil
}

// startInstance starts an instance, in place of any of the same name.
func (s *server) startInstance(e *startInstanceEvent) error {
	if e.Instance == nil || e.Seed == nil || e.Settings == nil || string(e.Settings) == "null" {
		return eventErrorf("new_instance", "who, salt or options is missing")
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

// stopInstance stops an instance, which forgets all.
func (s *server) stopInstance(e *instanceEvent) error {
	if _, err := s.find("power_off", e.Instance); err != nil {
		return err
	}
	delete(s.instances, *e.Instance)
	return nil
}

// updateEndpoints gives an instance an endpoint list.
func (s *server) updateEndpoints(e *updateEndpointsEvent) error {
	in, err := s.find("membership", e.Instance)
	if err != nil {
		return err
	}
	// The simulator has no restored lists: the kinds on the wire end with logic.UpdateFailed.
	if e.Kind == nil || *e.Kind < 0 || *e.Kind > int(logic.UpdateFailed) {
		return eventErrorf("membership", "how is missing or unknown")
	}
	kind := logic.UpdateKind(*e.Kind)
	if kind == logic.UpdateFailed {
		in.balancer.UpdateEndpoints(s.now, in.host, kind, nil)
		return nil
	}
	if e.ListNumber == nil || *e.ListNumber < 0 || *e.ListNumber >= maxLists || !s.lists[*e.ListNumber].defined {
		return eventErrorf("membership", "roster_id is missing or unknown")
	}
	in.balancer.UpdateEndpoints(s.now, in.host, kind, s.lists[*e.ListNumber].endpoints)
	return nil
}

// request gives an instance a request.
func (s *server) request(e *requestEvent) error {
	in, err := s.find("job_in", e.Instance)
	if err != nil {
		return err
	}
	if e.ID == nil || e.Class == nil || e.ClientDeadline == nil {
		return eventErrorf("job_in", "ticket, band or give_up_at_us is missing")
	}
	in.balancer.Request(s.now, in.host, logic.Request{
		ID: *e.ID, Class: *e.Class, Tenant: e.Tenant, Key: e.Key, ClientDeadline: *e.ClientDeadline,
	})
	return nil
}

// outcome tells an instance how an attempt ended.
func (s *server) outcome(e *outcomeEvent) error {
	in, err := s.find("completed", e.Instance)
	if err != nil {
		return err
	}
	if e.Request == nil || e.Attempt == nil || e.Status == nil {
		return eventErrorf("completed", "ticket, go or verdict is missing")
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

// cancel cancels a request.
func (s *server) cancel(e *cancelEvent) error {
	in, err := s.find("withdrawn", e.Instance)
	if err != nil {
		return err
	}
	if e.Request == nil {
		return eventErrorf("withdrawn", "ticket is missing")
	}
	in.balancer.Cancel(s.now, in.host, *e.Request)
	return nil
}

// responseStarted tells an instance that a response has started.
func (s *server) responseStarted(e *outcomeEvent) error {
	in, err := s.find("established", e.Instance)
	if err != nil {
		return err
	}
	if e.Request == nil {
		return eventErrorf("established", "ticket is missing")
	}
	in.balancer.ResponseStarted(s.now, *e.Request)
	return nil
}

// timer runs a timer of an instance.
func (s *server) timer(e *timerEvent) error {
	in, err := s.find("tick_due", e.Instance)
	if err != nil {
		return err
	}
	if e.Token == nil {
		return eventErrorf("tick_due", "nonce is missing")
	}
	in.balancer.Timer(s.now, in.host, *e.Token)
	return nil
}
