package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"fernlanding/internal/distribution/httpapi"
	"fernlanding/internal/distribution/node"
)

const (
	// spareConns is the number of connections allowed in addition to one for each session. They are
	// for writes, reports, statuses and health checks.
	spareConns = 1_024
	// shutdownTimeout is the time after which a shutdown closes the connections still open.
	shutdownTimeout = time.Second
)

// runner is a source or relay.
type runner interface {
	httpapi.Service
	Run(ctx context.Context)
}

// server is a source or relay with the objects that serving it requires.
type server struct {
	service runner
	node    *node.Node // node of the service
	traffic *httpapi.Traffic
}

// serve runs and serves a source or relay until the context ends.
func serve(ctx context.Context, c *cli.Command, s server) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", c.String("listen"))
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(c.Root().Writer, "listening %s\n", listener.Addr()) // scripts may read the address
	httpServer := httpapi.NewServer(s.service)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var background sync.WaitGroup
	background.Go(func() { s.service.Run(ctx) })
	background.Go(func() {
		<-ctx.Done()
		s.node.Close()
		shutdown(ctx, httpServer)
	})
	maxConns := c.Int("sessions") + spareConns
	err = httpServer.Serve(httpapi.Listener(listener, maxConns, s.traffic))
	cancel()
	background.Wait()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// shutdown waits up to shutdownTimeout for open connections to end, and then closes them. The given
// context has already ended.
func shutdown(ctx context.Context, httpServer *http.Server) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if httpServer.Shutdown(ctx) != nil {
		_ = httpServer.Close()
	}
}
