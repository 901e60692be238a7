package main

import (
	"bufio"
	"bytes"
	"debug/elf"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"fernlanding/internal/standin"

	"golang.org/x/sys/unix"
)

// The platform starts the deploy file's program where it may start no other, where splice, sendfile and io_uring are refused
// and sockets are of IPv4 alone. These tests start it so.

const confinedVar = "FERNLANDING_TEST_CONFINED" // the command that this test's program becomes, under the filter

func TestMain(m *testing.M) {
	if command := os.Getenv(confinedVar); command != "" {
		fmt.Fprintln(os.Stderr, confined(command))
		os.Exit(1)
	}
	os.Exit(m.Run())
}

// confined becomes a command under a system-call filter; it returns only if that fails. No privilege is needed.
func confined(command string) error {
	runtime.LockOSThread()
	const (
		ld, jeq, jset, ret = unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, unix.BPF_RET | unix.BPF_K
		allow, refuse      = unix.SECCOMP_RET_ALLOW, unix.SECCOMP_RET_ERRNO
		number, first      = 0, 16 // of struct seccomp_data: the call's number, and the low half of its first argument
	)
	filter := []unix.SockFilter{{Code: ld, K: number}}
	answer := func(nr uint32, with ...unix.SockFilter) {
		filter = append(filter, unix.SockFilter{Code: jeq, Jf: uint8(len(with)), K: nr})
		filter = append(filter, with...)
	}
	errno := func(e syscall.Errno) unix.SockFilter { return unix.SockFilter{Code: ret, K: refuse | uint32(e)} }
	for _, nr := range []uint32{unix.SYS_FORK, unix.SYS_VFORK, unix.SYS_CLONE3, unix.SYS_SENDFILE, unix.SYS_IO_URING_SETUP, unix.SYS_IO_URING_ENTER} {
		answer(nr, errno(syscall.ENOSYS))
	}
	answer(unix.SYS_SPLICE, errno(syscall.EINVAL))
	only := func(nr uint32, code uint16, what uint32, e syscall.Errno) {
		answer(nr, unix.SockFilter{Code: ld, K: first}, unix.SockFilter{Code: code, Jf: 1, K: what}, unix.SockFilter{Code: ret, K: allow}, errno(e))
	}
	only(unix.SYS_CLONE, jset, unix.CLONE_THREAD, syscall.ENOSYS) // threads, and no processes
	only(unix.SYS_SOCKET, jeq, unix.AF_INET, syscall.EAFNOSUPPORT)
	filter = append(filter, unix.SockFilter{Code: ret, K: allow})
	program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return fmt.Errorf("no new privileges: %w", err)
	}
	if err := unix.Prctl(unix.PR_SET_SECCOMP, unix.SECCOMP_MODE_FILTER, uintptr(unsafe.Pointer(&program)), 0, 0); err != nil {
		return fmt.Errorf("filter: %w", err)
	}
	return syscall.Exec("/bin/sh", []string{"sh", "-c", command}, os.Environ())
}

// deployed builds by the deploy file's own command, and returns the repository's root and the command that runs the proxy.
func deployed(t *testing.T) (root, run string) {
	t.Helper()
	if runtime.GOARCH != "amd64" {
		t.Skip("the filter is for amd64")
	}
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	key := func(name string) string {
		m := regexp.MustCompile(`(?m)^` + name + ` = "(.*?)"`).FindSubmatch(data)
		if m == nil {
			t.Fatalf("deploy/balancer.toml names no %s", name)
		}
		return string(m[1])
	}
	build := exec.Command("/bin/sh", "-c", key("build"))
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return root, key("run")
}

// The program is linked against the C library, so that a library can be loaded into it.
func TestDeployedProgramIsLinkedDynamically(t *testing.T) {
	root, run := deployed(t)
	f, err := elf.Open(filepath.Join(root, strings.TrimPrefix(run, "exec ")))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	libraries, err := f.ImportedLibraries()
	if err != nil {
		t.Fatal(err)
	}
	if !slices.ContainsFunc(libraries, func(l string) bool { return strings.HasPrefix(l, "libc.so") }) {
		t.Errorf("it needs %v", libraries)
	}
}

// It serves bodies of all sizes unchanged where it may start no program and splice, sendfile and other kinds of sockets are
// refused; it takes no time of a core while nothing comes; and it ends with 0.
func TestDeployedProgramServesConfined(t *testing.T) {
	root, run := deployed(t)
	b, err := standin.NewBackend(standin.Echo)
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	d, err := standin.NewDiscovery()
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	d.Put(standin.Member{Name: "a", Address: b.Addr(), Zone: "a"})
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listen := l.Addr().String()
	l.Close()
	file := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"1","limits":{"cores":1,"memory_mb":64,"sockets":256},"known":null,
"settings":{"contract":{},"failure_domains":["a"],"limits":{"dial_timeout_us":1000000,"idle_close_us":10000000,"try_limit":2},"membership_mode":"automatic",
"profiles":[{"give_up_us":9000000,"name":"look","objective_us":9000000,"repeat":"idempotent","worth":1},{"give_up_us":9000000,"name":"post","objective_us":9000000,"repeat":"at_most_once","worth":1}],"siblings":1}}`, listen, d.Addr())
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(self)
	cmd.Dir, cmd.Env = root, append(os.Environ(), confinedVar+"="+run, "LB_CONFIG="+file)
	var log bytes.Buffer
	cmd.Stderr = &log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	defer func() { _ = cmd.Process.Kill() }()
	late := time.Now().Add(30 * time.Second)
	for healthy := false; !healthy; {
		resp, err := http.Get("http://" + listen + "/_health")
		if err == nil {
			resp.Body.Close()
			healthy = resp.StatusCode == http.StatusOK
		}
		select {
		case err := <-ended:
			t.Fatalf("it has ended: %v\n%s", err, log.Bytes())
		case <-time.After(10 * time.Millisecond):
		}
		if time.Now().After(late) {
			t.Fatalf("not healthy\n%s", log.Bytes())
		}
	}
	c, err := net.Dial("tcp4", listen)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(late)
	r := bufio.NewReader(c)
	for i, size := range []int{-1, 0, 1, 100, 4 << 10, 32 << 10, 64 << 10, 10, -1} {
		method, class, body := "POST", "post", strings.Repeat("x", max(size, 0))
		if size < 0 {
			method, class = "GET", "look"
		}
		fmt.Fprintf(c, "%s /%s/7 HTTP/1.1\r\nHost: h\r\nRequest-Id: %d\r\nRequest-Class: %s\r\nRequest-Timeout-Ms: 9000\r\n", method, class, i, class)
		if size >= 0 {
			fmt.Fprintf(c, "Content-Length: %d\r\n", size)
		}
		fmt.Fprintf(c, "\r\n%s", body)
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("request %d of %d bytes: %v\n%s", i, size, err, log.Bytes())
		}
		got, err := io.ReadAll(resp.Body)
		if want := method + " /" + class + "/7\n" + body; err != nil || resp.StatusCode != 200 || string(got) != want {
			t.Errorf("request %d of %d bytes: %d, %d bytes back, %v", i, size, resp.StatusCode, len(got), err)
		}
	}
	// A thread that neither waits nor ends would take all of a second.
	before, began := cpu(t, cmd.Process.Pid), time.Now()
	<-time.After(time.Second)
	if used, took := cpu(t, cmd.Process.Pid)-before, time.Since(began); used > took/2 {
		t.Errorf("idle, it has used %v of a core's time in %v", used, took)
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("after SIGTERM: %v\n%s", err, log.Bytes())
		}
	case <-time.After(time.Until(late) + 10*time.Second):
		t.Error("still there after SIGTERM")
	}
}

// cpu is the processor time that a process has used.
func cpu(t testing.TB, pid int) time.Duration {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := bytes.Cut(data, []byte(") "))
	fields := strings.Fields(string(rest))
	const userTime, systemTime, tick = 11, 12, 10 * time.Millisecond
	var sum time.Duration
	for _, f := range fields[userTime : systemTime+1] {
		n, err := strconv.Atoi(f)
		if err != nil {
			t.Fatal(err)
		}
		sum += time.Duration(n) * tick
	}
	return sum
}
