package worker

import (
	"context"
	"sync"
	"time"
)

// backendGroup is several backends in one process.
type backendGroup struct {
	mu     sync.Mutex
	byName map[string]*backend // guarded by mu, as are the starts and stops of the backends
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
			pod:       spec.Cells[i],
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
		b.address = b.server.Addr() // the same when it starts again
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

// execute implements runner. Names of backends in other processes are ignored.
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
