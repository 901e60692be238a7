package harness

import (
	"errors"
	"strconv"
	"time"

	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/worker"
	"fernlanding/internal/standin"
)

// States of a backend in the endpoint list, as spelled in the catalog protocol.
const (
	statusServing  = "SERVING"
	statusDraining = "DRAINING"
	statusDeleted  = "DELETED"
)

// newMember returns the entry for a backend in the endpoint list, without a status. Its address is
// only the port of the backend's relay because each sidecar reaches the relay on the sidecar's own
// address.
func (r *run) newMember(name string, index int) standin.Member {
	return standin.Member{
		Name:    name,
		Address: ":" + strconv.Itoa(r.backendRelayPorts[index]),
		Zone:    r.spec.Site(index),
		Cell:    index % cellCount,
		Weight:  1,
	}
}

// setBackendStatus changes the status of backends in the endpoint list. A backend whose status
// becomes SERVING counts as just started.
func (r *run) setBackendStatus(status string, names ...string) {
	var all []standin.Member
	r.mu.Lock()
	for _, name := range names {
		member, ok := r.members[name]
		if !ok {
			member = r.newMember(name, r.backendIndex[name])
		}
		if status == statusServing {
			member.StartedMs = time.Now().UnixMilli()
		}
		member.Status = status
		all = append(all, member)
	}
	r.mu.Unlock()
	r.updateMembers(all...)
}

// updateMembers puts changed members into the endpoint list, records the changes, and sends them to
// the list services.
func (r *run) updateMembers(changed ...standin.Member) {
	r.mu.Lock()
	for _, member := range changed {
		if member.Status == statusDeleted {
			delete(r.members, member.Name)
		} else {
			r.members[member.Name] = member
		}
	}
	r.mu.Unlock()
	for _, member := range changed {
		r.Record(history.Event{Kind: history.MemberStatus, Who: member.Name, Reason: member.Status})
	}
	for _, name := range r.listNames {
		// The error is ignored because a list service that is down gets the complete list at its
		// start.
		_ = r.Processes.SendCommand(name, worker.Command{Do: worker.DoMembers, Members: changed})
	}
}

// commandBackends sends a command to all processes of backends. Each process carries out the
// command for its own backends and ignores the names of others.
func (r *run) commandBackends(command worker.Command) error {
	var all []error
	for _, name := range r.backendProcesses {
		all = append(all, r.Processes.SendCommand(name, command))
	}
	return errors.Join(all...)
}
