package worker

import (
	"context"

	"fernlanding/internal/scale/churn"
	"fernlanding/internal/scale/hollow"
	"fernlanding/internal/scale/topology"
	"fernlanding/internal/standin"
)

// listService is a worker that serves endpoint lists from a stand-in registry and changes the lists.
type listService struct {
	registry *standin.Registry
	changer  *listChanger
}

func newListService(spec Spec) (*listService, error) {
	size := spec.Layout.Size
	services := topology.ServicesOfListService(size, spec.Index, spec.ListServices)
	var names []string
	for _, n := range services {
		names = append(names, topology.ServiceName(n))
	}
	registry, err := standin.NewRegistry(names)
	if err != nil {
		return nil, err
	}
	for _, n := range services {
		var all []standin.Member
		for b := range size.Backends {
			all = append(all, backendMember(n, b))
		}
		registry.Service(topology.ServiceName(n)).Put(all...)
	}
	write := func(service int, c churn.Change) error {
		return applyChange(registry.Service(topology.ServiceName(service)), service, c)
	}
	rate := size.ChangesPerSecond * float64(len(services)) / float64(size.TotalServices)
	return &listService{registry: registry, changer: newListChanger(services, size.Backends, rate, write)}, nil
}

// backendMember returns the registry entry of a backend.
func backendMember(service, number int) standin.Member {
	return standin.Member{
		Name:    churn.BackendName(topology.ServiceName(service), number),
		Address: topology.BackendAddr(service, number),
		Weight:  1,
		Status:  "SERVING",
	}
}

// applyChange applies a change to the registry.
func applyChange(to *standin.Health, service int, c churn.Change) error {
	m := backendMember(service, c.Backend)
	switch c.Kind {
	case churn.Delete:
		to.Delete(m.Name)
		return nil
	case churn.Drain:
		m.Status = "DRAINING"
	case churn.Join: // a new backend has the status SERVING
	}
	to.Put(m)
	return nil
}

func (l *listService) do(_ context.Context, c Command, r *Reply) error {
	switch c.Kind {
	case CommandLoad:
		l.changer.start()
		return nil
	case CommandChanges:
		r.Changes = l.changer.take()
		return l.changer.firstError()
	case CommandCollect:
		return nil
	default:
		return errUnknownCommand
	}
}

func (l *listService) traffic() hollow.Traffic {
	t := l.registry.Traffic()
	requests, responses := l.registry.RequestCounts()
	return hollow.Traffic{
		BytesIn:     t.BytesIn,
		BytesOut:    t.BytesOut,
		MessagesIn:  requests,
		MessagesOut: responses,
		OpenConns:   int(t.OpenConns),
	}
}

func (l *listService) close() {
	l.changer.close()
	l.registry.Close()
}
