// Command fernrelay distributes versioned resources, such as endpoint lists, to their followers.
//
//	fernrelay source -listen ADDR -state DIR                     accepts writes and persists them
//	fernrelay relay -listen ADDR -name NAME -upstream ADDR,ADDR  serves the resources of its upstream
//
// The exit code is 0 after SIGTERM or SIGINT, and 2 if the program fails. Both commands print
// "listening ADDR" to standard output when they accept connections, and log to standard error. The
// operation of both is described in docs/operate/distribution.md.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/follow"
	"fernlanding/internal/distribution/httpapi"
	"fernlanding/internal/distribution/node"
	"fernlanding/internal/distribution/statedir"
)

const (
	exitOK     = 0
	exitFailed = 2
	// gcPercent is lower than the default, because the heap of a relay changes little and more
	// frequent collections therefore cost little.
	gcPercent = 50
)

func main() { os.Exit(runUntilSignal()) }

// runUntilSignal runs the program until it fails or receives a signal, and returns the exit code.
func runUntilSignal() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	debug.SetGCPercent(gcPercent)
	return run(ctx, os.Args[1:], os.Stdout, os.Stderr)
}

// run runs the program until the context ends, and returns the exit code.
func run(ctx context.Context, args []string, out, log io.Writer) int {
	err := newCommand(out, log).Run(ctx, append([]string{"fernrelay"}, args...))
	if err != nil {
		_, _ = fmt.Fprintf(log, "fernrelay: %v\n", err) // the exit code reports the failure too
		return exitFailed
	}
	return exitOK
}

// newCommand returns the command line of the program.
func newCommand(out, log io.Writer) *cli.Command {
	root := &cli.Command{
		Name:           "fernrelay",
		Usage:          "distribute versioned resources to those that follow them",
		Writer:         out,
		ErrWriter:      log,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Action: func(context.Context, *cli.Command) error {
			return errors.New("missing command: source or relay required")
		},
		Commands: []*cli.Command{
			{Name: "source", Usage: "take writes and keep them", Action: runSource, Flags: sourceFlags()},
			{Name: "relay", Usage: "pass on what the upstream has", Action: runRelay, Flags: relayFlags()},
		},
	}
	for _, command := range root.Commands {
		command.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error { return err }
	}
	return root
}

// commonFlags returns the flags of both commands.
func commonFlags() []cli.Flag {
	sessions := distribution.DefaultSessionLimits().Sessions
	return []cli.Flag{
		&cli.StringFlag{Name: "listen", Usage: "serve at `ADDR`, host:port", Required: true},
		&cli.IntFlag{Name: "sessions", Value: sessions, Usage: "take `N` followers at most"},
	}
}

// sourceFlags returns the flags of the source command.
func sourceFlags() []cli.Flag {
	return append(commonFlags(),
		&cli.StringFlag{Name: "state", Usage: "keep resources in `DIR`", Required: true},
	)
}

// relayFlags returns the flags of the relay command.
func relayFlags() []cli.Flag {
	return append(commonFlags(),
		&cli.StringFlag{Name: "name", Usage: "`NAME` of this process, unique in the fleet", Required: true},
		&cli.StringFlag{Name: "upstream", Usage: "`ADDR,ADDR` of the source or of other relays", Required: true},
		&cli.DurationFlag{
			Name: "hold", Value: follow.DefaultHold, Usage: "a read of the upstream waits `TIME` for news",
		},
	)
}

// runSource runs a source until the context ends.
func runSource(ctx context.Context, c *cli.Command) error {
	dir, err := statedir.Open(c.String("state"), time.Now().Unix())
	if err != nil {
		return err
	}
	defer func() { _ = dir.Close() }() // writes are durable, and the lock is released with the process
	traffic := new(httpapi.Traffic)
	source := node.New(node.Config{
		Name:    "source",
		Limits:  sessionLimits(c),
		Persist: dir.Save,
		Epoch:   dir.Epoch(),
		Traffic: traffic,
	})
	if err := dir.Load(source.Load); err != nil {
		return err
	}
	return serve(ctx, c, server{service: source, node: source, traffic: traffic})
}

// runRelay runs a relay until the context ends.
func runRelay(ctx context.Context, c *cli.Command) error {
	if err := distribution.ValidateName("name", c.String("name")); err != nil {
		return err
	}
	upstream, err := parseAddresses(c.String("upstream"))
	if err != nil {
		return err
	}
	traffic := new(httpapi.Traffic)
	relay := node.NewRelay(
		node.Config{Name: c.String("name"), Limits: sessionLimits(c), Traffic: traffic},
		follow.Config{
			Relays: upstream,
			Hold:   c.Duration("hold"),
			Log:    slog.New(slog.NewTextHandler(c.Root().ErrWriter, nil)),
			Rand:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		},
	)
	return serve(ctx, c, server{service: relay, node: relay.Node, traffic: traffic})
}

// parseAddresses parses a comma-separated list of addresses in the form host:port.
func parseAddresses(list string) ([]string, error) {
	addresses := strings.Split(list, ",")
	for _, address := range addresses {
		_, port, err := net.SplitHostPort(address)
		if err != nil || port == "" {
			return nil, fmt.Errorf("upstream: invalid address %.64q: not host:port", address)
		}
	}
	return addresses, nil
}

// sessionLimits returns the default limits with the number of sessions from the command line.
func sessionLimits(c *cli.Command) distribution.SessionLimits {
	limits := distribution.DefaultSessionLimits()
	limits.Sessions = c.Int("sessions")
	return limits
}
