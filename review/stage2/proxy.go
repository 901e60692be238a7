package main

import (
	"bytes"
	"encoding/json"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// object is a JSON object.
type object map[string]any

// class is a class of requests in the settings. Times are in milliseconds.
type class struct {
	name, repeat, scope       string
	objective, giveUp, window int
	late                      float64
}

// siteClasses are the classes of diliman-main.
func siteClasses() []class {
	return []class{
		{name: "tariff-lookup", repeat: "idempotent", scope: "all", objective: 1500, giveUp: 4000, window: 5000, late: 0.25},
		{name: "usage-rate", repeat: "deduplicated", scope: "cell", objective: 2000, giveUp: 5000, window: 7500, late: 0.2},
		{name: "charge-post", repeat: "at_most_once", scope: "all", objective: 2500, giveUp: 6000, window: 5000, late: 0.2},
	}
}

// settings returns the settings of a small deployment: those that the page on the wire shows, for a
// proxy of the first tier.
func settings(classes []class) object {
	var profiles []object
	for _, c := range classes {
		profiles = append(profiles, object{
			"dedup_scope": c.scope, "dedup_window_us": c.window * 1000, "give_up_us": c.giveUp * 1000,
			"late_share": c.late, "name": c.name, "objective_us": c.objective * 1000, "repeat": c.repeat,
			"stream": false, "worth": 1.0,
		})
	}
	var tenants []object
	for i, name := range tenantNames {
		portion, quota := 0.1414141414141414, 15.0
		if i == 0 {
			portion, quota = 0.4343434343434343, 48.0
		}
		tenants = append(tenants, object{"name": name, "portion": portion, "quota_per_s": quota})
	}
	return object{
		"blend":   object{"whole": 0.4, "worst_class": 0.1, "worst_tenant": 0.4, "worst_window": 0.1},
		"clients": object{"marks_retry": false},
		"contract": object{
			"answer_slack_us": 20000, "ask_every_us": 10000000, "cold_us": 8500000, "drain_grace_us": 250000,
			"fall_us": 3000000, "start_capacity": 0.31, "tip_multiple": 3.0,
		},
		"counted_by": "request", "extra": object{"passes_deadline": true},
		"failure_domains": []string{"diliman-room1"}, "kinds": []string{"gw-fast", "gw-mid", "gw-slow"},
		"limits": object{
			"cancelling": true, "cpu_us_per_request": 0.0, "cpu_us_per_s": 400000, "dial_timeout_us": 200000,
			"idle_close_us": 30000000, "max_retry_after_us": 2000000, "most_held": 144404, "peers": false,
			"probes": true, "retry_after": true, "second_copies": false, "streams_per_conn": 1, "try_limit": 5,
		},
		"membership_mode": "automatic", "my_zone": 0, "ordinal": 0, "over_share_worth": 0.05, "period_us": 5000,
		"profiles": profiles, "report": object{"fields": []string{}, "how": "off"}, "service_type": "chain",
		"siblings": 1, "stage": 0, "tenants": tenants, "tiers": []string{"gateway", "rating", "ledger"},
		"weights": "off",
	}
}

var tenantNames = []string{"bayan-mobile", "isla-tel", "luzon-wireless", "visayas-cell", "mindanao-net"}

// proxy is a running proxy.
type proxy struct {
	stage   *stage
	address string
	command *exec.Cmd
	exited  chan struct{}
}

// root returns the root of the repository.
func (s *stage) root() string {
	path, err := os.Executable()
	if err != nil {
		s.fail("%v", err)
	}
	return filepath.Join(filepath.Dir(path), "..", "..", "..")
}

// freeAddress returns a loopback address that nobody listens on.
func (s *stage) freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.fail("%v", err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// startProxy starts a proxy with the command of the deploy file and waits until it is healthy.
func (s *stage) startProxy(agentAddress string, memoryMB, sockets int, settings object) *proxy {
	p := &proxy{stage: s, address: s.freeAddress(), exited: make(chan struct{})}
	config, err := json.Marshal(object{
		"name": "n1", "listen": p.address, "discovery": agentAddress,
		"seed":   strconv.FormatUint(uint64(time.Now().UnixNano()), 16),
		"limits": object{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets}, "settings": settings,
	})
	if err != nil {
		s.fail("%v", err)
	}
	path := filepath.Join(s.dir, "config.json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		s.fail("%v", err)
	}
	logFile, err := os.Create(filepath.Join(s.dir, "proxy.log"))
	if err != nil {
		s.fail("%v", err)
	}
	p.command = exec.Command("/bin/sh", "-c", "exec bin/fernlanding")
	p.command.Dir = s.root()
	p.command.Env = append(os.Environ(), "LB_CONFIG="+path)
	p.command.Stdout, p.command.Stderr = logFile, logFile
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		s.fail("starting bin/fernlanding: %v", err)
	}
	go func() {
		_ = p.command.Wait()
		close(p.exited)
	}()
	s.onEnd(func() {
		_ = p.command.Process.Kill()
		<-p.exited
		_ = logFile.Close()
	})
	for range 500 {
		if p.isHealthy() {
			s.note("proxy is ready, process %d, %d MB, %d descriptors", p.command.Process.Pid, memoryMB, sockets)
			return p
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.fail("the proxy is not ready")
	return nil
}

// isHealthy asks the proxy for its health.
func (p *proxy) isHealthy() bool {
	c, err := net.DialTimeout("tcp", p.address, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	_, _ = c.Write([]byte("GET /_health HTTP/1.1\r\nHost: backend.local\r\n\r\n"))
	b := make([]byte, 64)
	n, _ := c.Read(b)
	return bytes.Contains(b[:n], []byte(" 200 "))
}

// privateMemory returns the memory of the process that no file backs, in bytes.
func (p *proxy) privateMemory() int64 {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(p.command.Process.Pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(data) {
		if rest, ok := bytes.CutPrefix(line, []byte("RssAnon:")); ok {
			kib, _ := strconv.ParseInt(string(bytes.Fields(rest)[0]), 10, 64)
			return kib << 10
		}
	}
	return 0
}
