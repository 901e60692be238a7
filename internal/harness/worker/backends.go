package worker

import (
	"context"
	"sync"
	"time"
)

// backendGroup is the backends of one process.
type backendGroup struct {
	mu     sync.Mutex          // guards byName and serializes starts and stops of the backends
	byName map[string]*backend // backends by name
}

// newBackendGroup starts the backends of a spec.
func newBackendGroup(spec Spec, r recorder) (runner, Hello, error) {
	g := &backendGroup{byName: map[string]*backend{}}
	hello := Hello{Addresses: map[string]string{}}
	for i, name := range spec.Backends {
		b := &backend{
			spec:      spec,
			recorder:  r,
			name:      name,
			cell:      spec.Cells[i],
			startedAt: time.Now().Add(-spec.Warmup),
			address:   "127.0.0.1:0",
		}
		if spec.StartCold {
			b.startedAt = time.Now()
		}
		if err := b.start(); err != nil {
			g.close()
			return nil, Hello{}, err
		}
		b.address = b.server.Addr() // a restarted backend keeps its address
		g.byName[name] = b
		hello.Addresses[name] = b.address
	}
	return g, hello, nil
}

// close implements runner.
func (g *backendGroup) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, b := range g.byName {
		b.stop()
	}
}

// execute implements runner. It ignores the names of backends in other processes.
func (g *backendGroup) execute(_ context.Context, command Command) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, name := range command.Names {
		b := g.byName[name]
		if b == nil {
			continue
		}
		if err := b.execute(command); err != nil {
			return err
		}
	}
	return nil
}
