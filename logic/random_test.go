package logic

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// playRandomEvents generates a random sequence of events. It returns the actions of the balancer
// and the violations of rules.
func playRandomEvents(t *testing.T, seed uint64, steps int) ([]string, []string) {
	t.Helper()
	s := testSettings()
	s.Tenants = []Tenant{{CapacityFraction: 0.6, Quota: 30}, {CapacityFraction: 0.4, Quota: 20}}
	s.Tier = int(seed % 2)
	s.WatchEndpoints, s.PollInterval = seed%3 == 0, 10*second
	s.MaxRetryAfter = int64(seed%2) * second
	s.RejectionMayHaveRun = seed%4 < 2
	s.Classes[0].Ordered, s.Classes[2].Ordered = seed%2 == 0, seed%8 < 5
	s.OrderingDelay = int64(seed%3) * 50_000
	if seed%5 > 1 {
		s.RetryBudgetWindow, s.RetryBudgetMin, s.RetryBudgetRatio = 5*second, 3, 0.05
	}
	d := &driver{t: t, rnd: rand.New(rand.NewPCG(seed, 1)), checker: &checker{settings: s, now: start}, now: start}
	d.restart()
	for range steps {
		d.step()
	}
	return d.checker.actions, d.checker.violations
}

func TestRandomEventsKeepTheRules(t *testing.T) {
	total := map[string]int{}
	for seed := range uint64(24) {
		lines, broken := playRandomEvents(t, seed, 6000)
		for i, rule := range broken {
			if i < 3 {
				t.Errorf("seed %d: %s", seed, rule)
			}
		}
		for _, line := range lines {
			total[strings.Fields(line)[1]]++ // the word after the time
		}
	}
	for _, action := range []string{"send", "shed", "fail"} {
		if total[action] < 1000 {
			t.Errorf("%d actions %q, want at least 1000 for the test to be meaningful", total[action], action)
		}
	}
}

func TestSameEventsGiveSameActions(t *testing.T) {
	for seed := range uint64(4) {
		one, _ := playRandomEvents(t, seed, 3000)
		two, _ := playRandomEvents(t, seed, 3000)
		if !slices.Equal(one, two) {
			t.Errorf("seed %d: two runs of the same events differ", seed)
		}
	}
}
