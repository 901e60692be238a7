// Package harnesstest has what tests of the rig have in common: a program that is built from this tree, and the test's own program in other roles.
package harnesstest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// Main builds the program of a package of this tree, with flags of "go build", and runs the tests with its path.
func Main(m *testing.M, name string, use func(path string), flags ...string) {
	os.Exit(run(m, name, use, flags))
}

func run(m *testing.M, name string, use func(path string), flags []string) (code int) {
	dir, err := os.MkdirTemp("", "rigtest")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	program := filepath.Join(dir, name)
	args := append([]string{"build", "-o", program}, flags...)
	build := exec.Command("go", append(args, "fernlanding/cmd/"+name)...)
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	use(program)
	return m.Run()
}

// Exit ends the test's program in another role: with 0, or with the error and 1.
func Exit(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(0)
}

// Self is the test's own program.
func Self() string {
	path, err := os.Executable()
	if err != nil {
		panic(err)
	}
	return path
}

// InRole is the test's own program with the variable of the environment that says its role.
func InRole(variable, role string) []string {
	return []string{"/usr/bin/env", variable + "=" + role, Self()}
}
