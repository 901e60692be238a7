package main

import "encoding/json"

// action is one line of output. Exactly one of its fields is set. Times are in microseconds.
type action struct {
	Forward        *forwardAction  `json:"place,omitempty"`
	Shed           *shedAction     `json:"overload_reply,omitempty"`
	Fail           *failAction     `json:"report_failure,omitempty"`
	SetTimer       *setTimerAction `json:"schedule,omitempty"`
	WatchEndpoints *watchAction    `json:"subscribe,omitempty"`
	Log            *logAction      `json:"emit,omitempty"`
	EndOfBatch     *struct{}       `json:"done,omitempty"`
}

// forwardAction forwards an attempt of a request to a backend.
type forwardAction struct {
	Instance string `json:"who"`
	Request  string `json:"ticket"`
	Timeout  int64  `json:"timeout_us"`
	Backend  string `json:"backend"`
}

// shedAction sheds a request and tells the client after what time it may retry.
type shedAction struct {
	Instance   string `json:"who"`
	Request    string `json:"ticket"`
	RetryAfter int64  `json:"stay_away_us"`
}

// failAction fails a request.
type failAction struct {
	Instance string `json:"who"`
	Request  string `json:"ticket"`
}

// setTimerAction sets a timer.
type setTimerAction struct {
	Instance string `json:"who"`
	Delay    int64  `json:"sleep_for_us"`
	Token    string `json:"nonce"`
}

// watchAction starts a watch of the endpoint list.
type watchAction struct {
	Instance string `json:"who"`
	Enable   bool   `json:"enable"`
}

// logAction writes a line to the simulator's log.
type logAction struct {
	Instance string `json:"who"`
	Line     string `json:"line"`
}

// host implements logic.Host for one instance: it writes the instance's actions.
type host struct {
	instance string
	encoder  *json.Encoder
}

// write encodes an action into the output buffer. It discards a write error, because the buffer
// returns the same error when the batch is flushed.
func (h *host) write(a action) { _ = h.encoder.Encode(a) }

// Forward implements logic.Host.
func (h *host) Forward(id, server string, timeout int64) {
	h.write(action{Forward: &forwardAction{Instance: h.instance, Request: id, Timeout: timeout, Backend: server}})
}

// Shed implements logic.Host.
func (h *host) Shed(id string, retryAfter int64) {
	h.write(action{Shed: &shedAction{Instance: h.instance, Request: id, RetryAfter: retryAfter}})
}

// Fail implements logic.Host.
func (h *host) Fail(id string) {
	h.write(action{Fail: &failAction{Instance: h.instance, Request: id}})
}

// SetTimer implements logic.Host.
func (h *host) SetTimer(delay int64, token string) {
	h.write(action{SetTimer: &setTimerAction{Instance: h.instance, Delay: delay, Token: token}})
}

// WatchEndpoints implements logic.Host.
func (h *host) WatchEndpoints() {
	h.write(action{WatchEndpoints: &watchAction{Instance: h.instance, Enable: true}})
}

// Log implements logic.Host.
func (h *host) Log(line string) {
	h.write(action{Log: &logAction{Instance: h.instance, Line: line}})
}
