package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Member is an entry of the list of backends, as PROTOCOL gives it.
type Member struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMs int64   `json:"since_ms"`
}

// Agent stands in for the discovery agent on a proxy's machine. It answers at once with what it
// has.
type Agent struct {
	Addr string

	mu      sync.Mutex
	index   int64
	entries map[string]Member
	changed map[string]int64 // index of the last change, by name
	change  chan struct{}
	server  *http.Server
}

func newAgent(members []Member) *Agent {
	a := &Agent{index: 41, entries: map[string]Member{}, changed: map[string]int64{}, change: make(chan struct{})}
	for _, m := range members {
		a.entries[m.Name] = m
		a.changed[m.Name] = 1
	}
	l := must(net.Listen("tcp", "127.0.0.1:0"))
	a.Addr = l.Addr().String()
	a.server = &http.Server{Handler: a}
	go func() { _ = a.server.Serve(l) }()
	return a
}

// List returns the whole list without deleted entries.
func (a *Agent) List() []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.listLocked(-1)
}

func (a *Agent) listLocked(from int64) []byte {
	out := struct {
		Index     int64    `json:"index"`
		Snapshot  bool     `json:"snapshot"`
		Endpoints []Member `json:"endpoints"`
	}{Index: a.index, Snapshot: from < 0, Endpoints: []Member{}}
	for name, m := range a.entries {
		if from < 0 && m.Status != "DELETED" || from >= 0 && a.changed[name] > from {
			out.Endpoints = append(out.Endpoints, m)
		}
	}
	return must(json.Marshal(out))
}

func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		from = -1
	}
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	end := time.After(time.Duration(hold) * time.Millisecond)
	for held := false; ; {
		a.mu.Lock()
		change := a.change
		var answer []byte
		if from < 0 || a.index > from || held {
			answer = a.listLocked(from)
		}
		a.mu.Unlock()
		if answer != nil {
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write(answer)
			return
		}
		select {
		case <-change:
		case <-end:
			held = true
		case <-r.Context().Done():
			return
		}
	}
}

// Attempt is a request that a backend has received to its last byte.
type Attempt struct {
	ID, Class, Key, Backend string
	Cell                    int
	First, Begun            time.Time
	TimeoutMs               int64
	Conn                    int64
	Result                  string // what the backend did, for the record
	MayHaveRun              bool
	Ended                   time.Time // when the answer was written or the connection ended; zero if neither
}

// Reply is what a backend does with a request. It returns what it did and whether the connection
// stays open.
type Reply func(b *Backend, c net.Conn, a *Attempt, body []byte) (result string, mayHaveRun, keep bool)

// Backend stands in for a backend.
type Backend struct {
	Name  string
	Cell  int
	Addr  string
	world *World

	mu       sync.Mutex
	reply    Reply
	listener net.Listener
	conns    map[net.Conn]bool
}

// World is the stage: backends, the agents, proxies, and what was seen.
type World struct {
	dir    string
	record *os.File
	began  time.Time

	mu       sync.Mutex
	attempts map[string][]*Attempt
	order    []*Attempt
	connSeq  int64
	procs    []*Proxy
}

func newWorld(dir string) *World {
	f := must(os.Create(filepath.Join(dir, "record.txt")))
	return &World{dir: dir, record: f, began: time.Now(), attempts: map[string][]*Attempt{}}
}

func (w *World) at(t time.Time) string { return fmt.Sprintf("%8.3f", t.Sub(w.began).Seconds()) }

func (w *World) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%s %s\n", w.at(time.Now()), fmt.Sprintf(format, args...))
}

func (w *World) newBackend(name string, cell int, reply Reply) *Backend {
	b := &Backend{Name: name, Cell: cell, world: w, reply: reply, conns: map[net.Conn]bool{}}
	b.start("127.0.0.1:0")
	return b
}

func (b *Backend) start(addr string) {
	b.listener = must(net.Listen("tcp", addr))
	b.Addr = b.listener.Addr().String()
	go func(l net.Listener) {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}(b.listener)
}

func (b *Backend) member(status string) Member {
	return Member{Name: b.Name, Address: b.Addr, Zone: "diliman-room1", Type: "gw-mid", Group: b.Cell, Status: status, Weight: 1}
}

func (b *Backend) serve(c net.Conn) {
	w := b.world
	w.mu.Lock()
	w.connSeq++
	number := w.connSeq
	w.mu.Unlock()
	b.mu.Lock()
	b.conns[c] = true
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		delete(b.conns, c)
		b.mu.Unlock()
		_ = c.Close()
	}()
	r := bufio.NewReaderSize(c, 128<<10)
	for {
		if _, err := r.Peek(1); err != nil {
			return
		}
		first := time.Now()
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		a := &Attempt{
			ID: req.Header.Get("Request-Id"), Class: req.Header.Get("Request-Class"),
			Key: req.Header.Get("Idempotency-Key"), Backend: b.Name, Cell: b.Cell, First: first, Begun: time.Now(),
			Conn: number, MayHaveRun: true,
		}
		a.TimeoutMs, _ = strconv.ParseInt(req.Header.Get("Request-Timeout-Ms"), 10, 64)
		w.mu.Lock()
		w.attempts[a.ID] = append(w.attempts[a.ID], a)
		w.order = append(w.order, a)
		w.mu.Unlock()
		b.mu.Lock()
		reply := b.reply
		b.mu.Unlock()
		result, may, keep := reply(b, c, a, body)
		w.mu.Lock()
		a.Result, a.MayHaveRun, a.Ended = result, may, time.Now()
		w.mu.Unlock()
		w.log("backend  %s conn %d: %s %s begun %s, %s", b.Name, number, a.Class, a.ID, strings.TrimSpace(w.at(a.Begun)), result)
		if !keep {
			return
		}
	}
}

// answerBody is the body that a backend makes for a request. No other request has the same.
func answerBody(id string, size int) []byte {
	text := "answer for " + id + "\n"
	return []byte(strings.Repeat(text, max(1, size/len(text))))
}

// serveAfter answers 200 with a Content-Length.
func serveAfter(d func() time.Duration, size int) Reply {
	return func(b *Backend, c net.Conn, a *Attempt, _ []byte) (string, bool, bool) {
		time.Sleep(d())
		body := answerBody(a.ID, size)
		var out bytes.Buffer
		fmt.Fprintf(&out, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		_, err := c.Write(out.Bytes())
		return "answered 200", true, err == nil
	}
}

func exp(mean time.Duration) func() time.Duration {
	return func() time.Duration { return time.Duration(rand.ExpFloat64() * float64(mean)) }
}

// Proxy is a process of the project's program.
type Proxy struct {
	Addr   string
	world  *World
	name   string
	config string
	cmd    *exec.Cmd
	done   chan struct{}
	log    *os.File
}

// startProxy starts a proxy by the deploy file's run command and waits until it is healthy.
func (w *World) startProxy(name string, config map[string]any) *Proxy {
	p := &Proxy{world: w, name: name, config: filepath.Join(w.tmp(), name+".json")}
	p.Addr = config["listen"].(string)
	p.write(config)
	p.launch()
	return p
}

func (w *World) tmp() string { return os.Getenv("STAGE_TMP") }

func (p *Proxy) write(config map[string]any) {
	tmp := p.config + ".new"
	must(0, os.WriteFile(tmp, must(json.MarshalIndent(config, "", " ")), 0o644))
	must(0, os.Rename(tmp, p.config))
}

func (p *Proxy) launch() {
	p.cmd = exec.Command("/bin/sh", "-c", os.Getenv("STAGE_RUN"))
	p.cmd.Dir = os.Getenv("STAGE_ROOT")
	p.cmd.Env = append(os.Environ(), "LB_CONFIG="+p.config, "LB_NAME="+p.name)
	p.log = must(os.OpenFile(filepath.Join(p.world.tmp(), p.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644))
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(0, p.cmd.Start())
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		err := cmd.Wait()
		p.world.log("proxy    %s ended: %v", p.name, err)
		close(done)
	}(p.cmd, p.done)
	p.world.mu.Lock()
	p.world.procs = append(p.world.procs, p)
	p.world.mu.Unlock()
	p.world.log("proxy    %s started at %s", p.name, p.Addr)
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		resp, err := http.Get("http://" + p.Addr + "/_health")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == 200 {
				http.DefaultClient.CloseIdleConnections()
				p.world.log("proxy    %s is ready", p.name)
				return
			}
		}
		if time.Now().After(deadline) {
			fatal("proxy %s is not ready", p.name)
		}
	}
}

func (p *Proxy) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// endAll ends all processes that were started.
func (w *World) endAll() {
	for _, p := range w.procs {
		if !p.ended() {
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	}
	_ = w.record.Sync()
}

func must[T any](v T, errs ...error) T {
	for _, err := range errs {
		if err != nil {
			fatal("%v", err)
		}
	}
	return v
}

// fatal ends the case as one that could not run.
func fatal(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	if theWorld != nil {
		theWorld.endAll()
	}
	os.Exit(2)
}

var theWorld *World

func freeAddr() string {
	l := must(net.Listen("tcp", "127.0.0.1:0"))
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}
