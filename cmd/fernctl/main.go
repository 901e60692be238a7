// Command fernctl writes and checks the configurations of sidecars, and runs the project's
// experiments:
//
//	fernctl init -catalogue DIR                         write a small catalogue to begin with
//	fernctl generate -catalogue DIR -env NAME -out DIR  write one file for each application
//	fernctl check FILE... | -catalogue DIR              report violations of rules
//	fernctl explain FILE METHOD URL                     what a sidecar would do with a request
//	fernctl migrate FILE                                write an older file in the newest format
//	fernctl rules                                       list every rule with its reason
//	fernctl pcap info|requests|replay FILE              read a packet capture as traffic
//	fernctl fleet run|sweep|explain FILE...             simulate days of a fleet
//	fernctl rig run|list|report|shrink FILE...          run processes with faults between them
//	fernctl rollout put|status|wait                     write a resource, see where it is in force
//	fernctl scale run FILE                              measure what proxies cost, by size
//
// The exit code is 0 on success, 1 if the command found violations, faults, failures or changes,
// and 2 if the command could not run.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"sync"
	"sync/atomic"

	"github.com/urfave/cli/v3"

	"fernlanding/internal/config"
)

// Exit codes other than 0.
const (
	exitFindings = 1 // the command ran and found violations, faults, failures or changes
	exitFailed   = 2 // the command could not run
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// errFindings is returned by a command that ran, found violations, faults, failures or changes, and
// printed them.
var errFindings = errors.New("the command reported findings")

// run runs a command line and returns the exit code.
func run(ctx context.Context, args []string, out, log io.Writer) int {
	root := rootCommand(out, log)
	err := root.Run(ctx, append([]string{"fernctl"}, args...))
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errFindings):
		return exitFindings
	default:
		printf(log, "fernctl: %v\n", err)
		return exitFailed
	}
}

// rootCommand returns the root command.
func rootCommand(out, log io.Writer) *cli.Command {
	root := &cli.Command{
		Name: "fernctl", Usage: "write and check the configurations of sidecars", Version: config.ProgramVersion,
		Writer: out, ErrWriter: log,
		ExitErrHandler: func(context.Context, *cli.Command, error) {}, // run returns the exit code
		OnUsageError:   usageError,
		Commands: []*cli.Command{
			initCommand(), generateCommand(), checkCommand(), explainCommand(), migrateCommand(), rulesCommand(),
			pcapCommand(), fleetCommand(), rigCommand(), rolloutCommand(), scaleCommand(),
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() > 0 {
				return fmt.Errorf("unknown command %q: must be one of init, generate, check, explain, migrate, rules, "+
					"pcap, fleet, rig, rollout and scale", c.Args().First())
			}
			return cli.ShowRootCommandHelp(c)
		},
	}
	for _, c := range root.Commands {
		c.OnUsageError = usageError
	}
	return root
}

// usageError returns the error of an invalid flag unchanged, so that run prints one line without
// the help text.
func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error { return err }

// printf prints part of a command's output. Write errors are ignored: the exit code reports the
// result even if the output cannot be written.
func printf(out io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(out, format, args...)
}

// inParallel calls f(0) to f(n-1) on up to GOMAXPROCS goroutines, and returns when all calls have
// returned.
func inParallel(n int, f func(i int)) {
	var next atomic.Int64
	var workers sync.WaitGroup
	for range min(n, runtime.GOMAXPROCS(0)) {
		workers.Go(func() {
			for {
				i := int(next.Add(1)) - 1
				if i >= n {
					return
				}
				f(i)
			}
		})
	}
	workers.Wait()
}
