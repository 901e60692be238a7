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
// The exit code is 0, 1 if there are faults or changes, and 2 if the command could not run.
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

// Exit codes beside 0.
const (
	exitFaults = 1 // the command has run, and has found faults or changes
	exitFailed = 2 // the command could not run
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// errFaults is returned by a command that has run and has found faults or changes, and has printed
// them.
var errFaults = errors.New("faults found")

// run runs a command line and returns the exit code.
func run(ctx context.Context, args []string, out, log io.Writer) int {
	root := rootCommand(out, log)
	err := root.Run(ctx, append([]string{"fernctl"}, args...))
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errFaults):
		return exitFaults
	default:
		printf(log, "fernctl: %v\n", err)
		return exitFailed
	}
}

// rootCommand returns the command line's root.
func rootCommand(out, log io.Writer) *cli.Command {
	root := &cli.Command{
		Name: "fernctl", Usage: "write and check the configurations of sidecars", Version: config.ProgramVersion,
		Writer: out, ErrWriter: log,
		ExitErrHandler: func(context.Context, *cli.Command, error) {}, // run returns the exit code
		OnUsageError:   usage,
		Commands: []*cli.Command{
			initCommand(), generateCommand(), checkCommand(), explainCommand(), migrateCommand(), rulesCommand(),
			pcapCommand(), fleetCommand(), rigCommand(), rolloutCommand(), scaleCommand(),
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() > 0 {
				return fmt.Errorf("unknown command %q; one of init, generate, check, explain, migrate, rules, pcap, "+
					"fleet, rig, rollout and scale expected", c.Args().First())
			}
			return cli.ShowRootCommandHelp(c)
		},
	}
	for _, c := range root.Commands {
		c.OnUsageError = usage
	}
	return root
}

// usage returns the error of a wrong flag, which run prints as one line, without the help.
func usage(_ context.Context, _ *cli.Command, err error, _ bool) error { return err }

// printf prints a part of a command's output. An error is dropped: the exit code states the result,
// also if nobody reads the text.
func printf(out io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(out, format, args...)
}

// inParallel calls f with 0 to n-1 on all cores, and returns when all calls have returned.
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
