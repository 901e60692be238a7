// Command fernctl writes and checks the configurations of sidecars.
//
//	fernctl init -catalogue DIR                       a small catalogue to begin with
//	fernctl generate -catalogue DIR -env NAME -out DIR  one file for each application
//	fernctl check FILE... | -catalogue DIR            all that is wrong, and why
//	fernctl explain FILE METHOD URL                   what a sidecar would do with a request
//	fernctl migrate FILE                              an older file in the newest format
//	fernctl rules                                     every rule with its reason
//	fernctl pcap info|requests|replay FILE            a packet capture as traffic
//	fernctl fleet run|sweep|explain FILE...           days of a whole fleet on a virtual clock
//	fernctl rig run|list|report|shrink FILE...       many processes of the program with faults between them
//	fernctl rollout put|status|wait                  write a resource, and see where it is in force
//	fernctl scale run FILE                            what proxies cost, over sizes, with hollow ones
//
// It ends with 0, with 1 when there are faults or changes, and with 2 when it could not run.
package main

import (
	"context"
	"errors"
	"fernlanding/internal/config"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"sync"
	"sync/atomic"

	"github.com/urfave/cli/v3"
)

const (
	exitFaults = 1
	exitFailed = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// errFaults ends a command that has run and has found what it looks for; all has been said.
var errFaults = errors.New("faults found")

func run(ctx context.Context, args []string, out, log io.Writer) int {
	root := &cli.Command{
		Name: "fernctl", Usage: "write and check the configurations of sidecars", Version: config.Program,
		Writer: out, ErrWriter: log,
		ExitErrHandler: func(context.Context, *cli.Command, error) {}, // the code is decided below
		OnUsageError:   usage,
		Commands:       []*cli.Command{initCommand(), generateCommand(), checkCommand(), explainCommand(), migrateCommand(), rulesCommand(), pcapCommand(), fleetCommand(), rigCommand(), rolloutCommand(), scaleCommand()},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() > 0 {
				return fmt.Errorf("unknown command %q; one of init, generate, check, explain, migrate, rules, pcap, fleet, rig, rollout and scale expected", c.Args().First())
			}
			return cli.ShowRootCommandHelp(c)
		},
	}
	for _, c := range root.Commands {
		c.OnUsageError = usage
	}
	err := root.Run(ctx, append([]string{"fernctl"}, args...))
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errFaults):
		return exitFaults
	}
	fmt.Fprintf(log, "fernctl: %v\n", err)
	return exitFailed
}

// usage leaves the words of a wrong flag to the one line at the end.
func usage(_ context.Context, _ *cli.Command, err error, _ bool) error { return err }

// spread calls f with 0 to n-1 on all cores.
func spread(n int, f func(i int)) {
	var next atomic.Int64
	var all sync.WaitGroup
	for range min(n, runtime.GOMAXPROCS(0)) {
		all.Go(func() {
			for {
				i := int(next.Add(1)) - 1
				if i >= n {
					return
				}
				f(i)
			}
		})
	}
	all.Wait()
}
