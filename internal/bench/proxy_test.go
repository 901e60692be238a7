package bench

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"runtime/pprof"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"fernlanding/internal/config"
	"fernlanding/internal/sidecar"
)

// Each proxy is a process of its own, so that its processor time can be measured. The process runs
// the test binary with proxyEnv set.
const (
	proxyEnv   = "FERNLANDING_BENCH_PROXY"   // kind of the proxy and addresses of its backends
	profileEnv = "FERNLANDING_BENCH_PROFILE" // file for the CPU profile of the sidecar
)

// The kinds of proxy.
const (
	kindDirect       = "direct"    // no proxy: the client sends to a backend
	kindReverseProxy = "peer"      // httputil.ReverseProxy
	kindSidecar      = "sidecar"   // sidecar with trusted backends
	kindSmall        = "small"     // sidecar with trusted backends and few file descriptors
	kindUntrusted    = "untrusted" // sidecar with untrusted backends
)

func TestMain(m *testing.M) {
	if kind, backends, ok := strings.Cut(os.Getenv(proxyEnv), " "); ok {
		if err := runProxy(kind, strings.Fields(backends)); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// runProxy runs a proxy until standard input ends. The first line of output is the address of the
// proxy.
func runProxy(kind string, backends []string) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin) // a read error ends the proxy too
		cancel()
	}()
	if kind == kindReverseProxy {
		return runReverseProxy(ctx, backends)
	}
	return runSidecar(ctx, kind, backends)
}

// runReverseProxy runs httputil.ReverseProxy until the context ends.
func runReverseProxy(ctx context.Context, backends []string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	var next atomic.Int64
	proxy := &httputil.ReverseProxy{
		ErrorLog:  log.New(io.Discard, "", 0),
		Transport: &http.Transport{MaxIdleConns: 4096, MaxIdleConnsPerHost: 1024, DisableCompression: true},
		Rewrite: func(r *httputil.ProxyRequest) {
			r.SetURL(&url.URL{Scheme: "http", Host: backends[int(next.Add(1))%len(backends)]})
		},
	}
	server := &http.Server{Handler: proxy, ReadHeaderTimeout: 10 * time.Second}
	fmt.Println(l.Addr())
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// runSidecar runs a sidecar until the context ends, and then exits the process.
func runSidecar(ctx context.Context, kind string, backends []string) error {
	app, err := config.Decode("bench", []byte(configText(kind, backends)))
	if err != nil {
		return err
	}
	sidecar.ApplyRuntimeLimits(app) // as command fernlanding does
	s, err := sidecar.New(app, slog.New(slog.NewTextHandler(os.Stderr, nil)))
	if err != nil {
		return err
	}
	if path := os.Getenv(profileEnv); path != "" {
		file, err := os.Create(path)
		if err != nil {
			return err
		}
		if err := pprof.StartCPUProfile(file); err != nil {
			return err
		}
	}
	fmt.Println(s.Addr())
	go func() {
		<-ctx.Done()
		pprof.StopCPUProfile()
		os.Exit(0)
	}()
	return s.Run(context.WithoutCancel(ctx)) // os.Exit ends the sidecar without a drain
}

// configText returns the configuration of a sidecar.
func configText(kind string, backends []string) string {
	sockets := 4096
	if kind == kindSmall {
		sockets = 256
	}
	var text strings.Builder
	fmt.Fprintf(&text, `version = 1
listeners = [{ address = "127.0.0.1:0" }]
process = { sockets = %d }
[[routes]]
name = "s"
prefix = "/s"
service = "s"
[services.s]
trusted = %v
classes = { look = { repeat = "safe", objective = "500ms", deadline = "2s" } }
endpoints = [`, sockets, kind != kindUntrusted)
	for _, backend := range backends {
		fmt.Fprintf(&text, "{ address = %q },", backend)
	}
	text.WriteString("]\n")
	return text.String()
}

// proxyProcess is a proxy in a process of its own.
type proxyProcess struct {
	cmd   *exec.Cmd
	stdin io.Closer
	addr  string
}

// startProxy starts a proxy and waits for its address.
func startProxy(kind string, backends []string) (*proxyProcess, error) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), proxyEnv+"="+kind+" "+strings.Join(backends, " "))
	cmd.Stderr = os.Stderr
	stdin, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &proxyProcess{cmd: cmd, stdin: stdin}
	line, err := bufio.NewReader(stdout).ReadString('\n')
	if err != nil {
		p.stop()
		return nil, fmt.Errorf("reading the address of the proxy: %w", err)
	}
	p.addr = strings.TrimSpace(line)
	return p, nil
}

// stop stops the process and waits for its end.
func (p *proxyProcess) stop() {
	_ = p.stdin.Close() // fails only if the process has ended
	_ = p.cmd.Wait()    // the exit status says nothing about the measurement
}

// cpuTime returns the processor time that the process has used, which the kernel counts in ticks of
// 10 ms.
func (p *proxyProcess) cpuTime(tb testing.TB) time.Duration {
	tb.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		tb.Skip("needs /proc of Linux")
	}
	// proc_pid_stat(5): field 3 is the first one after the name in parentheses. utime and stime are
	// fields 14 and 15.
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	ticks := parseInt(tb, fields[14-3]) + parseInt(tb, fields[15-3])
	return time.Duration(ticks) * 10 * time.Millisecond
}

// residentBytes returns the resident memory of the process.
func (p *proxyProcess) residentBytes(tb testing.TB) int64 {
	tb.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	if err != nil {
		tb.Skip("needs /proc of Linux")
	}
	pages := parseInt(tb, strings.Fields(string(data))[1])
	return pages * int64(os.Getpagesize())
}

// parseInt parses a decimal number from a file of /proc.
func parseInt(tb testing.TB, s string) int64 {
	tb.Helper()
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		tb.Fatal(err)
	}
	return n
}
