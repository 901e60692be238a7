package settings

import (
	"errors"
	"strings"
	"testing"
	"time"

	"fernlanding/logic"
)

// validObject is a valid settings object that contains an unknown key.
const validObject = `{"contract":{"ask_every_us":10000000,"cold_us":24000000,"drain_grace_us":500000,` +
	`"start_capacity":0.13},"failure_domains":["a","b"],"unheard_of":{"x":[1]},` +
	`"limits":{"dial_timeout_us":200000,"idle_close_us":30000000,"max_retry_after_us":750000,"retry_after":true,` +
	`"try_limit":5},"membership_mode":"automatic","my_zone":1,"ordinal":0,` +
	`"profiles":[{"dedup_scope":"cell","dedup_window_us":2000000,"give_up_us":1200000,"late_share":0.0,"name":"put",` +
	`"objective_us":500000,"repeat":"deduplicated","worth":1.0}],"siblings":3,"stage":0,` +
	`"tenants":[{"name":"acme","portion":1,"quota_per_s":4}],"tiers":["t"],"weights":"rough"}`

// Decode must convert every setting: settings that did not reach the balancer were violated on
// every rough day of the simulator.
func TestDecodeConvertsBalancerSettings(t *testing.T) {
	text := strings.Replace(validObject, `"contract":{`, `"contract":{"busy_is_no_proof":true,"order_settle_us":7,`+
		`"ratio_span_us":5000000,"resend_ratio":0.05,"spare_attempts":3,`, 1)
	text = strings.Replace(text, `"dedup_scope":"cell"`, `"by_arrival":true,"dedup_scope":"cell"`, 1)
	deployment, err := Decode([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	s := deployment.Balancer
	if !s.RejectionMayHaveRun || s.OrderingDelay != 7 ||
		s.RetryBudgetWindow != 5_000_000 || s.RetryBudgetRatio != 0.05 || s.RetryBudgetMin != 3 ||
		!s.Classes[0].Ordered || s.Classes[0].DedupScope != logic.DedupCell {
		t.Errorf("got %+v", s)
	}
	if deployment.Classes[0] != "put" || deployment.Tenants[0] != "acme" ||
		deployment.DialTimeout != 200*time.Millisecond {
		t.Errorf("got %+v", deployment)
	}
	if err := deployment.CheckSockets(); err != nil {
		t.Error(err)
	}
}

// The error for an invalid field has the path of the field in the object.
func TestInvalidSettingsAreRejected(t *testing.T) {
	for _, c := range []struct {
		old, new, want string
		isField        bool
	}{
		{`"automatic"`, `"now and then"`, "membership_mode", true},
		{`"deduplicated"`, `"sometimes"`, "profiles[0].repeat", true},
		{`"cell"`, `"street"`, "profiles[0].dedup_scope", true},
		{`"put"`, `""`, "profiles[0].name", true},
		{`"acme"`, `""`, "tenants[0].name", true},
		{`"dial_timeout_us":200000`, `"dial_timeout_us":0`, "limits.dial_timeout_us", true},
		{`"idle_close_us":30000000,`, ``, "limits.idle_close_us", true},
		{`{"contract"`, `{{"contract"`, "invalid character", false},
	} {
		deployment, err := Decode([]byte(strings.Replace(validObject, c.old, c.new, 1)))
		if err == nil {
			err = deployment.CheckSockets()
		}
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s in place of %s: got error %v, want %q", c.new, c.old, err, c.want)
		}
		var fieldError *FieldError
		if errors.As(err, &fieldError) != c.isField || c.isField && fieldError.Field != c.want {
			t.Errorf("%s in place of %s: got error %T %v, want field error %v", c.new, c.old, err, err, c.isField)
		}
	}
}
