package worker

import (
	"sync"
	"time"

	"fernlanding/internal/scale/churn"
	"fernlanding/internal/scale/hollow"
	"fernlanding/internal/scale/topology"
)

// listChanger changes the lists of services in turn at a constant rate.
type listChanger struct {
	services []int
	backends int
	rate     float64 // changes per second, over all services
	write    func(service int, c churn.Change) error

	startOnce sync.Once
	stop      chan struct{}
	running   sync.WaitGroup

	mu       sync.Mutex
	versions []int64 // by index in services
	made     []Change
	err      error // first error of a write
}

func newListChanger(services []int, backends int, rate float64, write func(int, churn.Change) error) *listChanger {
	return &listChanger{
		services: services,
		backends: backends,
		rate:     rate,
		write:    write,
		stop:     make(chan struct{}),
		versions: make([]int64, len(services)),
	}
}

// start starts to change lists. Further calls have no effect.
func (c *listChanger) start() {
	if c.rate <= 0 || len(c.services) == 0 {
		return
	}
	c.startOnce.Do(func() { c.running.Go(c.run) })
}

// run makes a change at each tick. It changes the services in turn.
func (c *listChanger) run() {
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

// change makes the next change of the service at an index.
func (c *listChanger) change(index int) {
	c.mu.Lock()
	c.versions[index]++
	version := c.versions[index]
	c.mu.Unlock()
	service := c.services[index]
	at := hollow.MonotonicNow()
	err := c.write(service, churn.At(version, c.backends))
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil && c.err == nil {
		c.err = err
	}
	c.made = append(c.made, Change{Service: topology.ServiceName(service), Version: version, At: at})
}

// take returns the changes made since the last call of take.
func (c *listChanger) take() []Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.made
	c.made = nil
	return out
}

// firstError returns the first error of a change, or nil if all changes were made.
func (c *listChanger) firstError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// close stops the changes and returns when no change is in progress.
func (c *listChanger) close() {
	close(c.stop)
	c.running.Wait()
}
