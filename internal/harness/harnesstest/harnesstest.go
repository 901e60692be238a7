// Package harnesstest holds what tests of the harness share: a program that is built from this
// tree, and the test's own program in other roles.
package harnesstest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// Main builds the program in a directory of cmd, with further flags of "go build", calls setPath
// with the program's path, and runs the tests. It does not return.
func Main(m *testing.M, name string, setPath func(path string), flags ...string) {
	os.Exit(run(m, name, setPath, flags))
}

// run is Main without the exit. It returns the exit code.
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

// Exit ends the test's program in another role: with code 0 if err is nil, otherwise with the
// error's text and code 1.
func Exit(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(0)
}

// Self returns the path of the test's own program.
func Self() string {
	path, err := os.Executable()
	if err != nil {
		panic(err)
	}
	return path
}

// InRole returns the command line of the test's own program with an environment variable that names
// its role.
func InRole(variable, role string) []string {
	return []string{"/usr/bin/env", variable + "=" + role, Self()}
}
