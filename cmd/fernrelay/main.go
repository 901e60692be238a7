// Command fernrelay distributes versioned resources, such as lists of backends, to those that follow them.
//
//	fernrelay source -listen ADDR -state DIR                     takes writes and keeps them
//	fernrelay relay -listen ADDR -name NAME -upstream ADDR,ADDR  passes them on
//
// It ends with 0 on SIGTERM, and with 2 when it could not run.
package main

import (
	"context"
	"errors"
	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/follow"
	"fernlanding/internal/distribution/httpapi"
	"fernlanding/internal/distribution/node"
	"fernlanding/internal/distribution/statedir"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
)

const (
	exitFailed = 2
	// gcPercent is lower than the usual one: what a relay holds changes little, so collecting more often costs little.
	gcPercent = 50
	// spareConns are connections beside those of the sessions, for writes, reports, statuses and health checks.
	spareConns = 1_024
	// endTimeout is how long connections may take to end.
	endTimeout = time.Second
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	debug.SetGCPercent(gcPercent)
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

func run(ctx context.Context, args []string, out, log io.Writer) int {
	listen := &cli.StringFlag{Name: "listen", Usage: "serve at `ADDR`, host:port", Required: true}
	most := &cli.IntFlag{Name: "sessions", Value: distribution.DefaultSessionLimits().Sessions, Usage: "take `N` followers at most"}
	name := &cli.StringFlag{Name: "name", Usage: "`NAME` of this process, unique in the fleet", Required: true}
	root := &cli.Command{
		Name: "fernrelay", Usage: "distribute versioned resources to those that follow them", Writer: out, ErrWriter: log,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Action: func(context.Context, *cli.Command) error {
			return errors.New("one of source and relay expected")
		},
		Commands: []*cli.Command{
			{Name: "source", Usage: "take writes and keep them", Action: runSource, Flags: []cli.Flag{
				listen, most,
				&cli.StringFlag{Name: "state", Usage: "keep resources in `DIR`", Required: true},
			}},
			{Name: "relay", Usage: "pass on what the upstream has", Action: runRelay, Flags: []cli.Flag{
				listen, most, name,
				&cli.StringFlag{Name: "upstream", Usage: "`ADDR,ADDR` of the source or of other relays", Required: true},
				&cli.DurationFlag{Name: "hold", Value: follow.DefaultHold, Usage: "a read of the upstream waits `TIME` for news"},
			}},
		},
	}
	for _, c := range root.Commands {
		c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error { return err }
	}
	if err := root.Run(ctx, append([]string{"fernrelay"}, args...)); err != nil {
		fmt.Fprintf(log, "fernrelay: %v\n", err)
		return exitFailed
	}
	return 0
}

func runSource(ctx context.Context, c *cli.Command) error {
	dir, err := statedir.Open(c.String("state"), time.Now().Unix())
	if err != nil {
		return err
	}
	defer dir.Close()
	traffic := new(httpapi.Traffic)
	source := node.New(node.Config{Name: "source", Limits: limits(c), Persist: dir.Save, Epoch: dir.Epoch(), Traffic: traffic})
	if err := dir.Load(source.Load); err != nil {
		return err
	}
	return serve(ctx, c, source, source, traffic)
}

func runRelay(ctx context.Context, c *cli.Command) error {
	if err := distribution.ValidateName("name", c.String("name")); err != nil {
		return err
	}
	upstream, err := addresses(c.String("upstream"))
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(c.Root().ErrWriter, nil))
	traffic := new(httpapi.Traffic)
	relay := node.NewRelay(node.Config{Name: c.String("name"), Limits: limits(c), Traffic: traffic}, follow.Config{
		Relays: upstream, Hold: c.Duration("hold"), Log: log,
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	return serve(ctx, c, relay, relay.Node, traffic)
}

// addresses are those of a list.
func addresses(list string) ([]string, error) {
	all := strings.Split(list, ",")
	for _, address := range all {
		if _, port, err := net.SplitHostPort(address); err != nil || port == "" {
			return nil, fmt.Errorf("upstream: %.64q found, host:port expected", address)
		}
	}
	return all, nil
}

func limits(c *cli.Command) distribution.SessionLimits {
	l := distribution.DefaultSessionLimits()
	l.Sessions = int(c.Int("sessions"))
	return l
}

// runner is a source or relay at work.
type runner interface {
	httpapi.Service
	Run(ctx context.Context)
}

// serve serves until the context ends.
func serve(ctx context.Context, c *cli.Command, service runner, n *node.Node, traffic *httpapi.Traffic) error {
	inner, err := (&net.ListenConfig{}).Listen(ctx, "tcp", c.String("listen"))
	if err != nil {
		return err
	}
	fmt.Fprintf(c.Root().Writer, "listening %s\n", inner.Addr())
	server := httpapi.NewServer(service)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var parts sync.WaitGroup
	parts.Go(func() { service.Run(ctx) })
	parts.Go(func() {
		<-ctx.Done()
		n.Close()
		ending, done := context.WithTimeout(context.Background(), endTimeout)
		defer done()
		if server.Shutdown(ending) != nil {
			_ = server.Close()
		}
	})
	err = server.Serve(httpapi.Listener(inner, int(c.Int("sessions"))+spareConns, traffic))
	cancel()
	parts.Wait()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
