// Command fernlanding is a sidecar: it accepts requests and balances them over the backends of the
// services that its configuration names.
//
//	fernlanding                 the platform's proxy, configured by the file that LB_CONFIG names
//	fernlanding -config FILE    an application's sidecar, configured by a TOML file
//	fernlanding try [...]       a sidecar before an embedded stand-in fleet
//	fernlanding standin FILE... stand-ins of the backends that files name, on loopback addresses
//	fernlanding version         the program's version and the formats that it reads
//
// It exits with 0 after SIGTERM, with 1 when it can't serve and with 2 when its configuration or
// its arguments are invalid. On SIGHUP it reads its file again; a file that is invalid is one line
// in the log and changes nothing. On SIGUSR1 it logs the stats of all services for a minute.
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
	exitUsage  = 2 // arguments or a configuration that are invalid
)

func main() {
	os.Exit(run(os.Args[1:], os.Getenv, os.Stdout, os.Stderr))
}

// usageError is an error in the arguments or the configuration.
type usageError struct{ error }

// usageErrorf returns a usageError with a formatted text.
func usageErrorf(format string, args ...any) error { return usageError{fmt.Errorf(format, args...)} }

// flagError returns the usageError for an error of package flag, which has printed it. That -h was
// given is no error of usage.
func flagError(err error) error {
	if errors.Is(err, flag.ErrHelp) {
		return err
	}
	return usageError{err}
}

// signals are the signals that the program handles without ending.
type signals struct {
	reload <-chan os.Signal // SIGHUP
	trace  <-chan os.Signal // SIGUSR1
}

// run runs the program and returns its exit code.
func run(args []string, env func(string) string, out, log io.Writer) int {
	// Caught before all else and to the end: unhandled, either would end the process with the
	// requests that it holds.
	reload := make(chan os.Signal, 1) // one more than the one being handled: the file is read after the last
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	trace := make(chan os.Signal, 1)
	signal.Notify(trace, syscall.SIGUSR1)
	defer signal.Stop(trace)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return exitCode(runCommand(ctx, args, env, signals{reload: reload, trace: trace}, out, log), log)
}

// runCommand runs the command that the first argument names, or else the sidecar.
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
		printf(out, "fernlanding %s, reads versions 1 to %d of an application's file\n", config.ProgramVersion, config.FormatVersion)
		return nil
	default:
		return serve(ctx, args, env, received, log)
	}
}

// exitCode prints an error and returns the exit code for it.
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

// printf prints for people. An error of writing is discarded: it is no reason to stop, and there is
// nowhere to report it.
func printf(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }
