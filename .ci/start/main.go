// Command start starts the proxy by the command in CI_RUN, with a list that it knows and no discovery, asks
// for its health over loopback, sends it SIGHUP several times, and ends it with SIGTERM and one SIGHUP more.
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

const config = `{"name":"n0","listen":%q,"discovery":"127.0.0.1:1","seed":"1","limits":{"cores":1,"memory_mb":192,` +
	`"sockets":256},"known":{"index":1,"snapshot":true,"endpoints":[{"name":"a","address":"127.0.0.1:1","zone":"a",` +
	`"status":"SERVING","since_ms":0}]},"settings":{"contract":{},"failure_domains":["a"],"limits":{` +
	`"dial_timeout_us":100000,"idle_close_us":1000000,"try_limit":2},"membership_mode":"automatic","profiles":[{` +
	`"give_up_us":1000000,"name":"look","objective_us":500000,"repeat":"idempotent","worth":1}],"siblings":1}}`

const patience = 30 * time.Second

func main() {
	if err := run(); err != nil {
		fmt.Fprintf(os.Stderr, "start: %v\n", err)
		os.Exit(1)
	}
	fmt.Println("the proxy starts, is healthy, also after SIGHUP, and ends on SIGTERM")
}

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
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	defer func() { _ = cmd.Process.Kill() }()
	for end := time.Now().Add(patience); !healthy(addr); time.Sleep(20 * time.Millisecond) {
		select {
		case err := <-ended:
			return fmt.Errorf("it ended early: %v", err)
		default:
		}
		if time.Now().After(end) {
			return fmt.Errorf("not healthy after %v", patience)
		}
	}
	for _, s := range []os.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP} {
		if err := cmd.Process.Signal(s); err != nil {
			return err
		}
	}
	if !healthy(addr) {
		return errors.New("not healthy after SIGHUP")
	}
	for _, s := range []os.Signal{syscall.SIGTERM, syscall.SIGHUP} {
		if err := cmd.Process.Signal(s); err != nil {
			return err
		}
	}
	select {
	case err := <-ended:
		return err
	case <-time.After(patience):
		return fmt.Errorf("still there %v after SIGTERM", patience)
	}
}

func healthy(addr string) bool {
	resp, err := http.Get("http://" + addr + "/_health")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
