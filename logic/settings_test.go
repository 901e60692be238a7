package logic

import (
	"errors"
	"math"
	"strings"
	"testing"
)

func TestNewRejectsInvalidSettings(t *testing.T) {
	for field, modify := range map[string]func(*Settings){
		"Classes":                       func(s *Settings) { s.Classes = nil },
		"Zone":                          func(s *Settings) { s.Zone = 2 },
		"Zones":                         func(s *Settings) { s.Zones = 0 },
		"Tier":                          func(s *Settings) { s.Tier = -1 },
		"DrainGrace":                    func(s *Settings) { s.DrainGrace = -1 },
		"RetryBudgetWindow":             func(s *Settings) { s.RetryBudgetWindow = -1 },
		"RetryBudgetMin":                func(s *Settings) { s.RetryBudgetMin = math.NaN() },
		"RetryBudgetRatio":              func(s *Settings) { s.RetryBudgetRatio = -1 },
		"PollInterval":                  func(s *Settings) { s.WatchEndpoints = true },
		"SlowStartMinCapacity":          func(s *Settings) { s.SlowStartMinCapacity = math.NaN() },
		"Classes[1].LatencyObjective":   func(s *Settings) { s.Classes[1].LatencyObjective = -5 },
		"Classes[2].Deadline":           func(s *Settings) { s.Classes[2].Deadline = 0 },
		"Classes[0].Idempotency":        func(s *Settings) { s.Classes[0].Idempotency = 9 },
		"Classes[0].DedupScope":         func(s *Settings) { s.Classes[0].DedupScope = -1 },
		"Classes[4].DedupWindow":        func(s *Settings) { s.Classes[4].DedupWindow = -1 },
		"Classes[4].LatePriorityFactor": func(s *Settings) { s.Classes[4].LatePriorityFactor = -1 },
	} {
		s := testSettings()
		modify(&s)
		_, err := New(s, 1)
		var invalid *SettingsError
		if !errors.As(err, &invalid) || invalid.Field != field ||
			!strings.HasPrefix(err.Error(), "logic: Settings."+field+": ") {
			t.Errorf("%s: got error %v, want a SettingsError for the field", field, err)
		}
	}
}
