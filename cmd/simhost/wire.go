package main

import (
	"encoding/json"
	"fmt"

	"fernlanding/logic"
)

// event is one line of input: an object with a single key, the event's name.
type event struct {
	Mark        *mark        `json:"mark"`
	YourTurn    *struct{}    `json:"your_turn"`
	NewInstance *newInstance `json:"new_instance"`
	PowerOff    *whoOnly     `json:"power_off"`
	Ledger      *ledger      `json:"ledger"`
	Membership  *membership  `json:"membership"`
	JobIn       *jobIn       `json:"job_in"`
	Established *completed   `json:"established"`
	Completed   *completed   `json:"completed"`
	Withdrawn   *ticketOnly  `json:"withdrawn"`
	TickDue     *tickDue     `json:"tick_due"`
	ProbeDone   *whoOnly     `json:"probe_done"` // this library sends no probes
	Message     *whoOnly     `json:"message"`    // nor messages to peers
}

type mark struct {
	Time *int64 `json:"time_us"`
}

type whoOnly struct {
	Who *string `json:"who"`
}

type ticketOnly struct {
	Who    *string `json:"who"`
	Ticket *string `json:"ticket"`
}

type newInstance struct {
	Who     *string         `json:"who"`
	Salt    *uint64         `json:"salt"`
	Options json.RawMessage `json:"options"` // see package settings
}

type ledger struct {
	Roster   *int     `json:"roster_id"`
	Elements *[]entry `json:"elements"`
}

type entry struct {
	Backend  *string  `json:"backend"`
	DC       *int     `json:"dc"`
	Pack     int      `json:"pack"`
	State    *int     `json:"state"`
	Power    *float64 `json:"power_hint"`
	Launched int64    `json:"launched_us"`
}

type membership struct {
	Who    *string `json:"who"`
	How    *int    `json:"how"`
	Roster *int    `json:"roster_id"`
}

type jobIn struct {
	Who    *string `json:"who"`
	Ticket *string `json:"ticket"`
	Band   *int    `json:"band"`
	Owner  int     `json:"owner"`
	Key    string  `json:"affinity"`
	GiveUp *int64  `json:"give_up_at_us"`
}

type completed struct {
	Who      *string `json:"who"`
	Ticket   *string `json:"ticket"`
	Go       *int    `json:"go"`
	Verdict  *int    `json:"verdict"`
	Took     int64   `json:"took_us"`
	Terminal bool    `json:"terminal"`
}

type tickDue struct {
	Who   *string `json:"who"`
	Nonce *string `json:"nonce"`
}

var statuses = map[int]logic.Status{
	200: logic.OK, 500: logic.Error, 503: logic.Overloaded, 504: logic.TimedOut, 502: logic.ConnectFailed,
	598: logic.Reset, 499: logic.Canceled, 410: logic.NotSent,
}

// servers turns a roster's elements into the library's servers.
func (l *ledger) servers() ([]logic.Endpoint, error) {
	out := make([]logic.Endpoint, 0, len(*l.Elements))
	for i, e := range *l.Elements {
		if e.Backend == nil || e.State == nil || e.DC == nil {
			return nil, fmt.Errorf("elements[%d]: backend, dc or state is missing", i)
		}
		if *e.State < 0 || *e.State > 2 {
			return nil, fmt.Errorf("elements[%d].state: unknown state %d", i, *e.State)
		}
		s := logic.Endpoint{
			ID: *e.Backend, Zone: *e.DC, Cell: e.Pack,
			State: logic.State(*e.State), Weight: 1, StartedAt: e.Launched,
		}
		if e.Power != nil {
			s.Weight = *e.Power
		}
		out = append(out, s)
	}
	return out, nil
}

// Actions, each under its name on the wire.
type (
	place struct {
		Who     string `json:"who"`
		Ticket  string `json:"ticket"`
		Timeout int64  `json:"timeout_us"`
		Backend string `json:"backend"`
	}
	overloadReply struct {
		Who      string `json:"who"`
		Ticket   string `json:"ticket"`
		StayAway int64  `json:"stay_away_us"`
	}
	reportFailure struct {
		Who    string `json:"who"`
		Ticket string `json:"ticket"`
	}
	schedule struct {
		Who   string `json:"who"`
		Sleep int64  `json:"sleep_for_us"`
		Nonce string `json:"nonce"`
	}
	subscribe struct {
		Who    string `json:"who"`
		Enable bool   `json:"enable"`
	}
	emit struct {
		Who  string `json:"who"`
		Line string `json:"line"`
	}
)

// action is one line of output; exactly one field is set.
type action struct {
	Place         *place         `json:"place,omitempty"`
	OverloadReply *overloadReply `json:"overload_reply,omitempty"`
	ReportFailure *reportFailure `json:"report_failure,omitempty"`
	Schedule      *schedule      `json:"schedule,omitempty"`
	Subscribe     *subscribe     `json:"subscribe,omitempty"`
	Emit          *emit          `json:"emit,omitempty"`
	Done          *struct{}      `json:"done,omitempty"`
}

// host writes one instance's actions.
type host struct {
	who string
	out *json.Encoder
}

// An error of writing shows again when the batch is flushed, so it is not looked at here.
func (h *host) write(a action) { _ = h.out.Encode(a) }

func (h *host) Forward(id, server string, timeout int64) {
	h.write(action{Place: &place{h.who, id, timeout, server}})
}

func (h *host) Shed(id string, after int64) {
	h.write(action{OverloadReply: &overloadReply{h.who, id, after}})
}

func (h *host) Fail(id string) { h.write(action{ReportFailure: &reportFailure{h.who, id}}) }

func (h *host) SetTimer(delay int64, token string) {
	h.write(action{Schedule: &schedule{h.who, delay, token}})
}

func (h *host) WatchEndpoints() { h.write(action{Subscribe: &subscribe{h.who, true}}) }

func (h *host) Log(line string) { h.write(action{Emit: &emit{h.who, line}}) }
