// Package harnesstest has helpers for tests of the harness. The helpers build a program from this
// source tree and run the test's own executable in other roles.
package harnesstest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// Main builds the program cmd/NAME, where NAME is name, with additional flags for "go build". It
// calls setPath with the path of the executable and runs the tests. Main does not return.
func Main(m *testing.M, name string, setPath func(path string), flags ...string) {
	os.Exit(run(m, name, setPath, flags))
}

// run does the work of Main and returns the exit code.
func run(m *testing.M, name string, setPath func(path string), flags []string) int {
	dir, err := os.MkdirTemp("", "rigtest")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() {
		if err := os.RemoveAll(dir); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}()
	program := filepath.Join(dir, name)
	args := append([]string{"build", "-o", program}, flags...)
	build := exec.Command("go", append(args, "fernlanding/cmd/"+name)...)
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	setPath(program)
	return m.Run()
}

// Exit exits the test's executable after it has run in another role. The exit code is 0 if err is
// nil; otherwise Exit prints err to standard error and the exit code is 1.
func Exit(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(0)
}

// Self returns the path of the test's own executable.
func Self() string {
	path, err := os.Executable()
	if err != nil {
		panic(err)
	}
	return path
}

// InRole returns a command line that runs the test's own executable with the environment variable
// named variable set to role.
func InRole(variable, role string) []string {
	return []string{"/usr/bin/env", variable + "=" + role, Self()}
}
