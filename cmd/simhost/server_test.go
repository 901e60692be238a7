package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
)

// testSettings is the settings of an instance, with unknown keys among them.
const testSettings = `{"contract":{"ask_every_us":10000000,"cold_us":24000000,"drain_grace_us":500000,` +
	`"start_capacity":0.13},"deductions":{"cross_zone":0.015},"failure_domains":["a","b"],"unheard_of":{"x":[1]},` +
	`"limits":{"max_retry_after_us":750000,"retry_after":true,"try_limit":5},"membership_mode":"automatic",` +
	`"my_zone":1,"ordinal":0,` +
	`"profiles":[{"dedup_scope":"cell","dedup_window_us":2000000,"give_up_us":1200000,"late_share":0.0,` +
	`"objective_us":500000,"repeat":"deduplicated","worth":1.0}],"siblings":3,"stage":0,"tenants":[],"tiers":["t"],` +
	`"weights":"rough"}`

// instanceLine returns the line of an event that starts an instance.
func instanceLine(who string) string {
	return fmt.Sprintf(`{"new_instance":{"who":%q,"salt":7,"options":%s}}`, who, testSettings)
}

// listLine returns the line of an event that defines an endpoint list.
func listLine(number int, backends ...string) string {
	var endpoints []string
	for _, backend := range backends {
		endpoints = append(endpoints, fmt.Sprintf(`{"backend":%q,"dc":1,"flavor":0,"pack":0,"state":1,`+
			`"power_hint":1.5,"launched_us":null}`, backend))
	}
	return fmt.Sprintf(`{"ledger":{"roster_id":%d,"elements":[%s]}}`, number, strings.Join(endpoints, ","))
}

// batch returns the lines of a batch of events.
func batch(now int, lines ...string) string {
	return fmt.Sprintf("{\"mark\":{\"time_us\":%d}}\n%s\n{\"your_turn\":{}}\n", now, strings.Join(lines, "\n"))
}

// requestLine returns the line of an event with a request.
func requestLine(who, ticket string) string {
	return fmt.Sprintf(`{"job_in":{"who":%q,"ticket":%q,"band":0,"owner":0,"affinity":null,`+
		`"give_up_at_us":9000000,"weight_hint_us":null,"opts":0}}`, who, ticket)
}

// run serves an input and returns the lines of the output.
func run(t *testing.T, input string) ([]string, error) {
	t.Helper()
	var out bytes.Buffer
	err := serve(strings.NewReader(input), &out)
	return strings.Split(strings.TrimSuffix(out.String(), "\n"), "\n"), err
}

// mustRun serves a valid input and returns the lines of the output.
func mustRun(t *testing.T, input string) []string {
	t.Helper()
	lines, err := run(t, input)
	if err != nil {
		t.Fatal(err)
	}
	return lines
}

// The response to an empty batch consists of the action done only, and an empty input has no
// output.
func TestEmptyBatchAndEmptyInput(t *testing.T) {
	got := mustRun(t, batch(5)+batch(6))
	if want := []string{`{"done":{}}`, `{"done":{}}`}; !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
	if lines := mustRun(t, ""); len(lines) != 1 || lines[0] != "" {
		t.Errorf("empty input: got %q, want no output", lines)
	}
}

// A request is forwarded to a backend of the endpoint list, and fails when its attempt has timed
// out.
func TestRequestIsForwardedAndFailsOnTimeout(t *testing.T) {
	got := mustRun(t, batch(1, instanceLine("proxy_1"), listLine(0, "backend-x"),
		`{"membership":{"who":"proxy_1","how":2,"seq_no":1,"roster_id":0}}`)+
		batch(2_000_000, requestLine("proxy_1", "00ff"))+
		batch(2_500_000, `{"completed":{"who":"proxy_1","ticket":"00ff","go":0,"backend":"backend-x","verdict":504,`+
			`"took_us":500000,"terminal":false,"server_stats":null}}`))
	want := []string{
		`{"done":{}}`,
		`{"place":{"who":"proxy_1","ticket":"00ff","timeout_us":500000,"backend":"backend-x"}}`, `{"done":{}}`,
		`{"report_failure":{"who":"proxy_1","ticket":"00ff"}}`, `{"done":{}}`,
	}
	if !slices.Equal(got, want) {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

// The simulator may reuse the number of a list within a batch. Each instance must get the list that
// the number referred to when the instance's own update arrived.
func TestListNumberReusedWithinBatch(t *testing.T) {
	got := mustRun(t, batch(1, instanceLine("proxy_1"), instanceLine("proxy_2"),
		listLine(3, "backend-one"), `{"membership":{"who":"proxy_1","how":1,"seq_no":1,"roster_id":3}}`,
		listLine(3, "backend-two"), `{"membership":{"who":"proxy_2","how":1,"seq_no":1,"roster_id":3}}`,
		requestLine("proxy_1", "aa"), requestLine("proxy_2", "bb")))
	all := strings.Join(got, "\n")
	if !strings.Contains(all, `"ticket":"aa","timeout_us":500000,"backend":"backend-one"`) ||
		!strings.Contains(all, `"ticket":"bb","timeout_us":500000,"backend":"backend-two"`) {
		t.Errorf("a request was not forwarded to its instance's list; got\n%s", all)
	}
}

// An instance that is stopped and started within a batch has no endpoint list. Events about
// requests and timers that the new instance doesn't know are ignored.
func TestRestartWithinBatchDiscardsList(t *testing.T) {
	got := mustRun(t, batch(1, instanceLine("proxy_1"), listLine(0, "backend-x"),
		`{"membership":{"who":"proxy_1","how":2,"seq_no":1,"roster_id":0}}`,
		`{"power_off":{"who":"proxy_1"}}`, instanceLine("proxy_1"), requestLine("proxy_1", "aa"),
		`{"withdrawn":{"who":"proxy_1","ticket":"never"}}`,
		`{"tick_due":{"who":"proxy_1","nonce":"odd"}}`,
		`{"probe_done":{"who":"proxy_1","backend":"backend-x","verdict":200,"took_us":1,"server_stats":null}}`,
		`{"message":{"who":"proxy_1","src_peer":2,"payload":"aGk="}}`,
		`{"established":{"who":"proxy_1","ticket":"never","go":0,"backend":"backend-x","took_us":5}}`))
	if len(got) != 2 || !strings.Contains(got[0], `"overload_reply":{"who":"proxy_1","ticket":"aa"`) {
		t.Errorf("got %q, want a shed request and nothing else", got)
	}
}

// A line that is longer than the input buffer is read completely.
func TestLineLongerThanBuffer(t *testing.T) {
	var names []string
	for i := range 20_000 {
		names = append(names, fmt.Sprintf("backend-%d", i))
	}
	if line := listLine(0, names...); len(line) < bufferBytes {
		t.Fatalf("line of %d bytes is not longer than the buffer of %d", len(line), bufferBytes)
	}
	got := mustRun(t, batch(1, instanceLine("proxy_1"), listLine(0, names...),
		`{"membership":{"who":"proxy_1","how":1,"seq_no":1,"roster_id":0}}`, requestLine("proxy_1", "aa")))
	if len(got) != 2 || !strings.Contains(got[0], `"place"`) {
		t.Errorf("got %q, want a forwarded request", got)
	}
}

// The error for invalid input names the line and the event.
func TestInvalidInput(t *testing.T) {
	for _, c := range []struct{ line, want string }{
		{`nonsense`, "line 2: invalid event: "},
		{`{"job_in":{"who":5}}`, "line 2: invalid event: "},
		{`{"greeting":{}}`, "line 2: unknown event"},
		{`{}`, "line 2: unknown event"},
		{`null`, "line 2: unknown event"},
		{requestLine("proxy_9", "aa"), `line 2: job_in: unknown instance "proxy_9"`},
		{`{"job_in":{"ticket":"aa"}}`, "line 2: job_in: missing who"},
		{`{"membership":{"who":"proxy_1","how":1,"roster_id":4}}`, `line 2: membership: unknown instance`},
		{
			instanceLine("proxy_1") + "\n" + `{"membership":{"who":"proxy_1","how":1,"roster_id":4}}`,
			"line 3: membership: missing or unknown roster_id",
		},
		{
			instanceLine("proxy_1") + "\n" + `{"membership":{"who":"proxy_1","how":7,"roster_id":4}}`,
			"line 3: membership: missing or unknown how",
		},
		{
			instanceLine("proxy_1") + "\n" + `{"job_in":{"who":"proxy_1","ticket":"aa","give_up_at_us":5}}`,
			"line 3: job_in: missing ticket, band",
		},
		{
			instanceLine("proxy_1") + "\n" + `{"completed":{"who":"proxy_1","ticket":"a","go":0,"verdict":299}}`,
			"line 3: completed: unknown verdict 299",
		},
		{`{"ledger":{"roster_id":16,"elements":[]}}`, "line 2: ledger: roster_id 16"},
		{`{"ledger":{"roster_id":1,"elements":[{"backend":"b","dc":0}]}}`, "line 2: ledger: elements[0]: missing"},
		{
			`{"ledger":{"roster_id":1,"elements":[{"backend":"b","dc":0,"state":3}]}}`,
			"line 2: ledger: elements[0].state",
		},
		{
			strings.Replace(instanceLine("p"), "deduplicated", "sometimes", 1),
			`line 2: new_instance: options.profiles[0].repeat: unknown value "sometimes"`,
		},
		{
			strings.Replace(instanceLine("p"), `"my_zone":1`, `"my_zone":2`, 1),
			"line 2: new_instance: logic: Settings.Zone",
		},
		{strings.Replace(instanceLine("p"), `"salt":7,`, "", 1), "line 2: new_instance: missing who, salt or options"},
	} {
		_, err := run(t, batch(1, c.line))
		if err == nil || !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("%.60s: got error %v, want prefix %q", c.line, err, c.want)
		}
	}
	if _, err := run(t, instanceLine("p")); err == nil {
		t.Error("an event before any mark was accepted")
	}
	if _, err := run(t, `{"mark":{"time_us":1}}`); err == nil {
		t.Error("an end of the input inside a batch was accepted")
	}
}

// Each action is encoded under the name and keys that the simulator expects.
func TestActionEncoding(t *testing.T) {
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	h := &host{instance: "proxy_1", encoder: encoder}
	h.Forward("aa", "backend-x", 7)
	h.Shed("aa", 250000)
	h.Fail("aa")
	h.SetTimer(500000, "sweep")
	h.WatchEndpoints()
	h.Log(`share <1 "low"`)
	want := `{"place":{"who":"proxy_1","ticket":"aa","timeout_us":7,"backend":"backend-x"}}
{"overload_reply":{"who":"proxy_1","ticket":"aa","stay_away_us":250000}}
{"report_failure":{"who":"proxy_1","ticket":"aa"}}
{"schedule":{"who":"proxy_1","sleep_for_us":500000,"nonce":"sweep"}}
{"subscribe":{"who":"proxy_1","enable":true}}
{"emit":{"who":"proxy_1","line":"share <1 \"low\""}}
`
	if out.String() != want {
		t.Errorf("got\n%s\nwant\n%s", out.String(), want)
	}
}

// Requests with the same ordering key are forwarded one after the other. This fails if the key is
// not passed to package logic.
func TestOrderingKeyIsPassedToBalancer(t *testing.T) {
	ordered := strings.Replace(
		instanceLine("proxy_1"), `"dedup_scope":"cell"`, `"by_arrival":true,"dedup_scope":"cell"`,
		1,
	)
	withKey := func(ticket string) string {
		return strings.Replace(requestLine("proxy_1", ticket), `"affinity":null`, `"affinity":"k:1"`, 1)
	}
	got := mustRun(t, batch(1, ordered, listLine(0, "backend-x", "backend-y"),
		`{"membership":{"who":"proxy_1","how":2,"seq_no":1,"roster_id":0}}`)+
		batch(2_000_000, withKey("aa"), withKey("bb")))
	all := strings.Join(got, "\n")
	if strings.Count(all, `"place"`) != 1 || !strings.Contains(all, `"nonce":"held bb"`) {
		t.Errorf("got\n%s\nwant one forwarded request and a timer for the other", all)
	}
}
