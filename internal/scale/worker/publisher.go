package worker

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/httpapi"
	"fernlanding/internal/membership/relayed"
	"fernlanding/internal/scale/churn"
	"fernlanding/internal/scale/hollow"
	"fernlanding/internal/scale/topology"
)

// putTimeout is the timeout of a write to the source.
const putTimeout = 10 * time.Second

// publisher is a worker that writes lists to a source of distribution and changes the lists.
type publisher struct {
	spec    Spec
	client  *httpapi.Client
	changer *listChanger
}

func newPublisher(spec Spec) *publisher {
	p := &publisher{spec: spec, client: httpapi.NewClient(nil)}
	size := spec.Layout.Size
	services := topology.ServicesOfListService(size, 0, 1)
	p.changer = newListChanger(services, size.Backends, size.ChangesPerSecond, p.change)
	return p
}

// endpointValue is the value of a list item, which describes a backend.
type endpointValue struct {
	Address string  `json:"address"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
}

// listItem returns the list item of a backend of a service.
func listItem(service, number int, status string) (distribution.Item, error) {
	value, err := json.Marshal(endpointValue{Address: topology.BackendAddr(service, number), Status: status, Weight: 1})
	if err != nil {
		return distribution.Item{}, fmt.Errorf("item: %w", err)
	}
	return distribution.Item{Key: churn.BackendName(topology.ServiceName(service), number), Value: value}, nil
}

func (p *publisher) do(ctx context.Context, c Command, r *Reply) error {
	switch c.Kind {
	case CommandStart:
		return p.writeAll(ctx)
	case CommandLoad:
		p.changer.start()
		return nil
	case CommandChanges:
		r.Changes = p.changer.take()
		return p.changer.firstError()
	default:
		return errUnknownCommand
	}
}

// writeAll writes the first list of each service.
func (p *publisher) writeAll(ctx context.Context) error {
	size := p.spec.Layout.Size
	for _, service := range topology.ServicesOfListService(size, 0, 1) {
		put := distribution.PutRequest{Resource: relayed.Resource(topology.ServiceName(service)), Replace: true}
		for number := range size.Backends {
			one, err := listItem(service, number, "serving")
			if err != nil {
				return err
			}
			put.Items = append(put.Items, one)
		}
		if err := p.put(ctx, &put); err != nil {
			return err
		}
	}
	return nil
}

// change applies a change to the list of a service. Changes that take a backend out of use are
// urgent.
func (p *publisher) change(service int, c churn.Change) error {
	status := "serving"
	if c.Kind == churn.Drain {
		status = "draining"
	}
	one, err := listItem(service, c.Backend, status)
	if err != nil {
		return err
	}
	if c.Kind == churn.Delete {
		one.Value = nil
		one.Deleted = true
	}
	one.Urgent = c.Kind != churn.Join
	return p.put(context.Background(), &distribution.PutRequest{
		Resource: relayed.Resource(topology.ServiceName(service)),
		Items:    []distribution.Item{one},
	})
}

// put sends a write to the source.
func (p *publisher) put(ctx context.Context, put *distribution.PutRequest) error {
	ctx, cancel := context.WithTimeout(ctx, putTimeout)
	defer cancel()
	if _, err := p.client.Put(ctx, p.spec.Source, put); err != nil {
		return fmt.Errorf("put %s: %w", put.Resource, err)
	}
	return nil
}

// traffic returns zero, because the source counts the traffic.
func (p *publisher) traffic() hollow.Traffic { return hollow.Traffic{} }

func (p *publisher) close() {
	p.changer.close()
	p.client.Close()
}
