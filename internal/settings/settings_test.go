package settings

import (
	"strings"
	"testing"
	"time"

	"fernlanding/logic"
)

const object1 = `{"contract":{"ask_every_us":10000000,"cold_us":24000000,"drain_grace_us":500000,"start_capacity":0.13},` +
	`"failure_domains":["a","b"],"unheard_of":{"x":[1]},"limits":{"dial_timeout_us":200000,"idle_close_us":30000000,` +
	`"max_retry_after_us":750000,"retry_after":true,"try_limit":5},"membership_mode":"automatic","my_zone":1,"ordinal":0,` +
	`"profiles":[{"dedup_scope":"cell","dedup_window_us":2000000,"give_up_us":1200000,"late_share":0.0,"name":"put",` +
	`"objective_us":500000,"repeat":"deduplicated","worth":1.0}],"siblings":3,"stage":0,` +
	`"tenants":[{"name":"acme","portion":1,"quota_per_s":4}],"tiers":["t"],"weights":"rough"}`

// Rules that did not reach the module were broken on every rough day.
func TestTheRulesOfASiteReachTheModule(t *testing.T) {
	text := strings.Replace(object1, `"contract":{`, `"contract":{"busy_is_no_proof":true,"order_settle_us":7,`+
		`"ratio_span_us":5000000,"resend_ratio":0.05,"spare_attempts":3,`, 1)
	text = strings.Replace(text, `"dedup_scope":"cell"`, `"by_arrival":true,"dedup_scope":"cell"`, 1)
	site, err := Decode([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	s := site.Balancer
	if !s.RejectionMayHaveRun || s.OrderingDelay != 7 || s.RetryBudgetWindow != 5_000_000 || s.RetryBudgetRatio != 0.05 ||
		s.RetryBudgetMin != 3 || !s.Classes[0].Ordered || s.Classes[0].DedupScope != logic.DedupCell {
		t.Errorf("got %+v", s)
	}
	if site.Classes[0] != "put" || site.Tenants[0] != "acme" || site.DialTimeout != 200*time.Millisecond {
		t.Errorf("got %+v", site)
	}
	if err := site.CheckSockets(); err != nil {
		t.Error(err)
	}
}

func TestImpossibleSettingsAreErrors(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`"automatic"`, `"now and then"`, "membership_mode"},
		{`"deduplicated"`, `"sometimes"`, "profiles[0].repeat"},
		{`"cell"`, `"street"`, "profiles[0].dedup_scope"},
		{`"put"`, `""`, "profiles[0].name"},
		{`"acme"`, `""`, "tenants[0].name"},
		{`"dial_timeout_us":200000`, `"dial_timeout_us":0`, "limits.dial_timeout_us"},
		{`"idle_close_us":30000000,`, ``, "limits.idle_close_us"},
		{`{"contract"`, `{{"contract"`, "invalid character"},
	} {
		site, err := Decode([]byte(strings.Replace(object1, c.old, c.new, 1)))
		if err == nil {
			err = site.CheckSockets()
		}
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s for %s: got %v", c.new, c.old, err)
		}
	}
}
