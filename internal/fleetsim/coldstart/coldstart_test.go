package coldstart_test

import (
	"fernlanding/internal/fleetsim/coldstart"
	"testing"
	"time"
)

// day is the case that was measured over processes: 200 copies, 50 readings a second, a queue of a hundred.
func day(copies int, scale float64) coldstart.Day {
	return coldstart.Day{Copies: copies, Told: true, Services: 1, Rate: 50 * scale, Queue: int(100 * scale), Reply: time.Millisecond, End: 40 * time.Second, Seed: 1}
}

func play(t *testing.T, d coldstart.Day) coldstart.Result {
	t.Helper()
	r, err := coldstart.Play(d)
	if err != nil {
		t.Fatal(err)
	}
	if again, _ := coldstart.Play(d); again != r {
		t.Fatalf("the same day came out as %+v and as %+v", r, again)
	}
	return r
}

// A service that is sized for its fleet has all copies served soon after it could, gives up nothing, and sees no more than
// three times its steady calls, at the start and after an outage of a minute.
func TestStartsAndReturns(t *testing.T) {
	for _, c := range []struct {
		name string
		day  coldstart.Day
	}{
		{"two hundred", day(200, 1)},
		{"three hundred", day(300, 1.5)},
		{"three thousand", day(3000, 15)},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := c.day
			could := max(float64(d.Copies)/d.Rate, float64(d.Copies)*0.005) // first readings come 200 a second
			if r := play(t, d); r.ReadyAll > could+2 || r.GivenUp > 0 || r.PeakCalls > 3*r.Steady {
				t.Errorf("start: %+v; could be ready after %.1f s", r, could)
			}
			d.Down, d.For, d.Killed, d.End = 10*time.Second, time.Minute, 0.6, 150*time.Second
			if r := play(t, d); r.BackAll > max(could, float64(d.Copies)*0.02)+2 || float64(r.GivenUp) > 0.05*float64(r.Reads) || r.PeakBack > 3*r.Steady {
				t.Errorf("return: %+v", r)
			}
		})
	}
}

// What is wrong with a day is said before it is played.
func TestDaysAreChecked(t *testing.T) {
	for _, spoil := range []func(*coldstart.Day){
		func(d *coldstart.Day) { d.Copies = 0 },
		func(d *coldstart.Day) { d.Services = 0 },
		func(d *coldstart.Day) { d.Rate = 0 },
		func(d *coldstart.Day) { d.Queue = -1 },
		func(d *coldstart.Day) { d.End = 2 * time.Hour },
		func(d *coldstart.Day) { d.Down, d.For = 30*time.Second, time.Minute },
		func(d *coldstart.Day) { d.Killed = 2 },
		func(d *coldstart.Day) { d.Reply = -1 },
	} {
		d := day(10, 1)
		spoil(&d)
		if _, err := coldstart.Play(d); err == nil {
			t.Errorf("played: %+v", d)
		}
	}
}
