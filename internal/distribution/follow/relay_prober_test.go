package follow

import "testing"

// A follower leaves a relay that is disconnected from the source for any other, but not if the relay
// has been connected again by then: at a start, a relay is disconnected for a moment.
func TestReconnectedRelayIsNotLeft(t *testing.T) {
	const current, other = 0, 1
	newProber := func() (*relayProber, probeState) {
		p := newRelayProber(nil, []string{"a", "b"})
		p.setCurrent(current, true)
		return p, p.nextState()
	}
	for _, c := range []struct {
		name string
		run  func(p *relayProber, probe probeState)
		want bool
	}{
		{"still disconnected", func(p *relayProber, probe probeState) { p.prefer(probe, other) }, true},
		{
			"reconnected during the probe",
			func(p *relayProber, probe probeState) {
				p.setCurrent(current, false)
				p.prefer(probe, other)
			},
			false,
		},
		{
			"reconnected after the probe",
			func(p *relayProber, probe probeState) {
				p.prefer(probe, other)
				p.setCurrent(current, false)
			},
			false,
		},
		{
			"reader has left the relay already",
			func(p *relayProber, probe probeState) {
				p.setCurrent(other, true)
				p.prefer(probe, other)
			},
			false,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, probe := newProber()
			c.run(p, probe)
			if _, found := p.takePreferred(p.current); found != c.want {
				t.Errorf("switch to the other relay: %v, want %v", found, c.want)
			}
		})
	}
}
