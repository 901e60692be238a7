// Command fernlanding is a sidecar: it accepts requests and balances them over the backends of the
// services in its configuration.
//
//	fernlanding                 runs the platform's proxy, configured by the file in LB_CONFIG
//	fernlanding -config FILE    runs an application's sidecar, configured by a TOML file
//	fernlanding try [...]       runs a sidecar in front of an embedded stand-in fleet
//	fernlanding standin FILE... runs stand-ins for the backends in files, on loopback addresses
//	fernlanding version         prints the program's version and the formats that it reads
//
// It exits with 0 after SIGTERM, with 1 if it cannot serve, and with 2 if its configuration or its
// arguments are invalid. On SIGHUP it reads its configuration file again. If the file is invalid,
// it logs one line and keeps the configuration in force. On SIGUSR1 it logs the stats of all
// services for a minute.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"fernlanding/internal/config"
)

const (
	exitFailed = 1
	exitUsage  = 2 // invalid arguments or configuration
)

func main() {
	os.Exit(run(os.Args[1:], os.Getenv, os.Stdout, os.Stderr))
}

// usageError reports invalid arguments or an invalid configuration.
type usageError struct{ error }

// usageErrorf returns a usageError with a formatted message.
func usageErrorf(format string, args ...any) error { return usageError{fmt.Errorf(format, args...)} }

// flagError returns the usageError for an error of package flag, which has printed the error. For
// -h it returns flag.ErrHelp, which is not a usageError.
func flagError(err error) error {
	if errors.Is(err, flag.ErrHelp) {
		return err
	}
	return usageError{err}
}

// signals are the signals that the program handles without exiting.
type signals struct {
	reload <-chan os.Signal // SIGHUP
	trace  <-chan os.Signal // SIGUSR1
}

// run runs the program and returns its exit code.
func run(args []string, env func(string) string, out, log io.Writer) int {
	// SIGHUP and SIGUSR1 are caught first and until the end: unhandled, either would kill the
	// process and its requests in flight.
	//
	// The buffer holds a SIGHUP that is received during a reload, so that the file is read again
	// after the last SIGHUP.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	trace := make(chan os.Signal, 1)
	signal.Notify(trace, syscall.SIGUSR1)
	defer signal.Stop(trace)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return exitCode(runCommand(ctx, args, env, signals{reload: reload, trace: trace}, out, log), log)
}

// runCommand runs the subcommand that the first argument names, or the sidecar if it names none.
func runCommand(
	ctx context.Context, args []string, env func(string) string, received signals, out, log io.Writer,
) error {
	command := ""
	if len(args) > 0 {
		command = args[0]
	}
	switch command {
	case "try":
		return try(ctx, args[1:], out, log)
	case "standin":
		return runStandins(ctx, args[1:], out, log)
	case "version":
		printf(out, "fernlanding %s, reads versions 1 to %d of an application's file\n",
			config.ProgramVersion, config.FormatVersion)
		return nil
	default:
		return serve(ctx, args, env, received, log)
	}
}

// exitCode prints an error, if there is one, and returns the exit code for it.
func exitCode(err error, log io.Writer) int {
	var usage usageError
	switch {
	case err == nil || errors.Is(err, flag.ErrHelp):
		return 0
	case errors.As(err, &usage):
		printf(log, "%v\n", usage)
		return exitUsage
	}
	printf(log, "fernlanding: %v\n", err)
	return exitFailed
}

// printf prints text for people. It discards a write error, which is no reason to stop and which
// cannot be reported anywhere.
func printf(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }
