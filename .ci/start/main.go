// Command start checks that the proxy starts and stops. It starts the proxy by the command in the
// environment variable CI_RUN, with a known endpoint list and no discovery service. It then waits
// until the proxy reports over loopback that it is healthy, sends SIGHUP three times, checks the
// health again, and stops the proxy with SIGTERM, followed by another SIGHUP.
package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// config is the configuration of the proxy, with a %q for its listener.
const config = `{"name":"n0","listen":%q,"discovery":"127.0.0.1:1","seed":"1","limits":{"cores":1,"memory_mb":192,` +
	`"sockets":256},"known":{"index":1,"snapshot":true,"endpoints":[{"name":"a","address":"127.0.0.1:1","zone":"a",` +
	`"status":"SERVING","since_ms":0}]},"settings":{"contract":{},"failure_domains":["a"],"limits":{` +
	`"dial_timeout_us":100000,"idle_close_us":1000000,"try_limit":2},"membership_mode":"automatic","profiles":[{` +
	`"give_up_us":1000000,"name":"look","objective_us":500000,"repeat":"idempotent","worth":1}],"siblings":1}}`

const timeout = 30 * time.Second // for the start, and for the exit after SIGTERM

func main() {
	if err := run(); err != nil {
		fmt.Fprintf(os.Stderr, "start: %v\n", err)
		os.Exit(1)
	}
	fmt.Println("the proxy starts, is healthy, also after SIGHUP, and ends on SIGTERM")
}

// run runs the check.
func run() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	addr := l.Addr().String()
	l.Close()
	dir, err := os.MkdirTemp("", "start")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, fmt.Appendf(nil, config, addr), 0o600); err != nil {
		return err
	}
	cmd := exec.Command("/bin/sh", "-c", os.Getenv("CI_RUN"))
	cmd.Env = append(os.Environ(), "LB_CONFIG="+path)
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan error, 1)
	go func() { exited <- cmd.Wait() }()
	defer func() { _ = cmd.Process.Kill() }()
	for deadline := time.Now().Add(timeout); !isHealthy(addr); time.Sleep(20 * time.Millisecond) {
		select {
		case err := <-exited:
			return fmt.Errorf("proxy exited before it was healthy: %v", err)
		default:
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("proxy not healthy after %v", timeout)
		}
	}
	for _, signal := range []os.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP} {
		if err := cmd.Process.Signal(signal); err != nil {
			return err
		}
	}
	if !isHealthy(addr) {
		return errors.New("proxy not healthy after SIGHUP")
	}
	for _, signal := range []os.Signal{syscall.SIGTERM, syscall.SIGHUP} {
		if err := cmd.Process.Signal(signal); err != nil {
			return err
		}
	}
	select {
	case err := <-exited:
		return err
	case <-time.After(timeout):
		return fmt.Errorf("proxy still running %v after SIGTERM", timeout)
	}
}

// isHealthy reports whether the health check of the proxy passes.
func isHealthy(addr string) bool {
	resp, err := http.Get("http://" + addr + "/_health")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
