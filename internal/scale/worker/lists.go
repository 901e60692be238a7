package worker

import (
	"context"
	"sync"
	"time"

	"fernlanding/internal/scale/churn"
	"fernlanding/internal/scale/hollow"
	"fernlanding/internal/scale/topology"
	"fernlanding/internal/standin"
)

// lists is a list service: the stand-in of a registry, with what changes its lists.
type lists struct {
	registry *standin.Registry
	changer  *changer
}

func newLists(spec Spec) (*lists, error) {
	size := spec.Layout.Size
	services := topology.Services(size, spec.Index, spec.Of)
	var names []string
	for _, n := range services {
		names = append(names, topology.Service(n))
	}
	registry, err := standin.NewRegistry(names)
	if err != nil {
		return nil, err
	}
	for _, n := range services {
		var all []standin.Member
		for b := range size.Backends {
			all = append(all, member(n, b))
		}
		registry.Service(topology.Service(n)).Put(all...)
	}
	write := func(service int, c churn.Change) error {
		return put(registry.Service(topology.Service(service)), service, c)
	}
	rate := size.ChangesPerSecond * float64(len(services)) / float64(size.ServicesInAll)
	return &lists{registry: registry, changer: newChanger(services, size.Backends, rate, write)}, nil
}

// member is a backend as the registry lists it.
func member(service, number int) standin.Member {
	return standin.Member{Name: churn.Name(topology.Service(service), number), Address: topology.BackendAddr(service, number), Weight: 1, Status: "SERVING"}
}

// put makes a change in the registry.
func put(to *standin.Health, service int, c churn.Change) error {
	m := member(service, c.Backend)
	switch c.Kind {
	case churn.Delete:
		to.Delete(m.Name)
		return nil
	case churn.Drain:
		m.Status = "DRAINING"
	}
	to.Put(m)
	return nil
}

func (l *lists) do(_ context.Context, c Command, r *Reply) error {
	switch c.Do {
	case DoLoad:
		l.changer.start()
		return nil
	case DoChanges:
		r.Changes = l.changer.take()
		return l.changer.failure()
	case DoCollect:
		return nil
	}
	return errNoCommand
}

func (l *lists) traffic() hollow.Traffic {
	t := l.registry.Traffic()
	requests, answers := l.registry.Messages()
	return hollow.Traffic{BytesIn: t.BytesIn, BytesOut: t.BytesOut, MessagesIn: requests, MessagesOut: answers, Open: int(t.Open)}
}

func (l *lists) close() {
	l.changer.close()
	l.registry.Close()
}

// changer changes the lists of services at a steady rate, one after the other.
type changer struct {
	services []int
	backends int
	rate     float64 // a second, over all services
	write    func(service int, c churn.Change) error

	begin   sync.Once
	stop    chan struct{}
	running sync.WaitGroup

	mu       sync.Mutex
	versions []int64 // by the places of services
	made     []Change
	err      error // the first
}

func newChanger(services []int, backends int, rate float64, write func(int, churn.Change) error) *changer {
	return &changer{services: services, backends: backends, rate: rate, write: write, stop: make(chan struct{}), versions: make([]int64, len(services))}
}

// start begins to change lists; once.
func (c *changer) start() {
	if c.rate <= 0 || len(c.services) == 0 {
		return
	}
	c.begin.Do(func() { c.running.Go(c.run) })
}

func (c *changer) run() {
	tick := time.NewTicker(time.Duration(float64(time.Second) / c.rate))
	defer tick.Stop()
	for turn := 0; ; turn++ {
		select {
		case <-tick.C:
			c.change(turn % len(c.services))
		case <-c.stop:
			return
		}
	}
}

// change makes the next change of a service.
func (c *changer) change(place int) {
	c.mu.Lock()
	c.versions[place]++
	version := c.versions[place]
	c.mu.Unlock()
	service, at := c.services[place], hollow.MonotonicNow()
	err := c.write(service, churn.At(version, c.backends))
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil && c.err == nil {
		c.err = err
	}
	c.made = append(c.made, Change{topology.Service(service), version, at})
}

// take is what was changed since it was last called.
func (c *changer) take() []Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.made
	c.made = nil
	return out
}

// failure is why a change could not be made; nil: all were.
func (c *changer) failure() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

func (c *changer) close() {
	close(c.stop)
	c.running.Wait()
}
