package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"time"
)

const (
	frameTime  = 25 * time.Second
	frameRate  = 40.0 // requests a second over all proxies
	answerSize = 240  // bytes
)

// noLength: one answer in two has neither a Content-Length nor chunks. It comes whole: its last
// byte, then the end of the connection, never a reset.
func noLength(w *World, trouble bool) []string {
	const result = "answered 200 with no length, whole"
	sound := serveAfter(exp(60*time.Millisecond), answerSize)
	requests := playFraming(w, func(b *Backend, c net.Conn, a *Attempt, body []byte) (string, bool, bool) {
		if !trouble || rand.IntN(2) == 0 {
			return sound(b, c, a, body)
		}
		time.Sleep(exp(60 * time.Millisecond)())
		answer := answerBody(a.ID, answerSize)
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n%s", answer)
		if err != nil {
			return "connection ended before the answer", true, false
		}
		_ = c.(*net.TCPConn).CloseWrite()
		return result, true, false
	})
	whole, forwarded := map[string]int{}, map[string]int{}
	for _, q := range requests {
		for i, a := range w.attempts[q.ID] {
			// An answer that came too late for its client is no answer to forward.
			if a.Result != result || a.Ended.After(q.Sent.Add(q.Timeout-200*time.Millisecond)) {
				continue
			}
			whole[q.Kind.Name]++
			whole["all"]++
			if q.Status == 200 && !q.Wrong && i == len(w.attempts[q.ID])-1 {
				forwarded[q.Kind.Name]++
				forwarded["all"]++
			}
		}
	}
	for _, name := range []string{tariff.Name, usage.Name, charge.Name, "all"} {
		fmt.Printf("%s: %d answers with no length came whole, %d forwarded\n", name, whole[name], forwarded[name])
		w.log("judge    %s: %d answers with no length came whole, %d forwarded", name, whole[name], forwarded[name])
	}
	if trouble && whole["all"] < 50 {
		fatal("only %d answers with no length", whole["all"])
	}
	broken := w.judge(requests, nil, 0)
	if 2*forwarded["all"] < whole["all"] {
		broken = append(broken, fmt.Sprintf("of %d answers with no length that came whole, %d were forwarded: less than half", whole["all"], forwarded["all"]))
	}
	return broken
}

// shortLength: one answer in ten has a Content-Length that does not fit: it is that of the first
// half of its body. Head and body come in one write.
func shortLength(w *World, trouble bool) []string {
	sound := serveAfter(exp(60*time.Millisecond), answerSize)
	requests := playFraming(w, func(b *Backend, c net.Conn, a *Attempt, body []byte) (string, bool, bool) {
		if !trouble || rand.IntN(10) != 0 {
			return sound(b, c, a, body)
		}
		time.Sleep(exp(60 * time.Millisecond)())
		answer := answerBody(a.ID, answerSize)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(answer)/2+5, answer)
		return "answered 200 with a length that does not fit", true, true
	})
	return w.judge(requests, nil, 0)
}

// playFraming sends requests of all classes through two proxies to ten backends.
func playFraming(w *World, reply Reply) []*Request {
	var members []Member
	for i := range 10 {
		members = append(members, w.newBackend(fmt.Sprintf("s-%d", i), i/4, reply).member("SERVING"))
	}
	var proxies []*Proxy
	for i := range 2 {
		agent := newAgent(members)
		name := fmt.Sprintf("p%d", i)
		proxies = append(proxies, w.startProxy(name, config(name, freeAddr(), agent.Addr, 2, i, agent.List())))
	}
	k := newClients(w)
	for end := time.Now().Add(frameTime); time.Now().Before(end); {
		time.Sleep(time.Duration(rand.ExpFloat64() / frameRate * float64(time.Second)))
		k.wg.Go(func() {
			kind := tariff
			if x := rand.Float64(); x > 0.88 {
				kind = charge
			} else if x > 0.56 {
				kind = usage
			}
			k.do(proxies[rand.IntN(len(proxies))].Addr, kind, kind.Deadline, 0, []byte("record"))
		})
	}
	k.wg.Wait()
	status := map[string]int{}
	for _, q := range k.all {
		status[fmt.Sprintf("%s %d", q.Kind.Name, q.Status)]++
	}
	fmt.Println("answers by class:", status)
	w.log("judge    answers by class: %v", status)
	if len(k.all) < 200 {
		fatal("only %d requests", len(k.all))
	}
	return k.all
}
