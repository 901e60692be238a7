package quota

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
)

func ledger(t *testing.T, total int64, floors ...int64) *Allocator {
	t.Helper()
	l, err := New(total)
	if err != nil {
		t.Fatal(err)
	}
	if err := l.SetFloors(names(len(floors)), floors); err != nil {
		t.Fatal(err)
	}
	return l
}

func names(n int) (out []string) {
	for i := range n {
		out = append(out, string(rune('a'+i)))
	}
	return out
}

// take takes one at a time until there is no more, and returns how many that was.
func take(l *Allocator, now int64, name string) (n int) {
	for l.Acquire(now, name, 1) {
		n++
	}
	l.MarkStarved(now, name)
	return n
}

// One pool takes all that is free while another is idle; that one still gets its floor at once, and a second later,
// when the first has ended what it had above its part, its fair part. Then the same the other way round.
func TestWhatIsLentComesBack(t *testing.T) {
	l := ledger(t, 100, 20, 10, 10)
	now := int64(0)
	if n := take(l, now, "b"); n != 70 {
		t.Fatalf("alone, b got %d of the 10 and 60 that it could have", n)
	}
	for _, turn := range []struct{ poor, rich string }{{"c", "b"}, {"b", "c"}} {
		before := l.InUseBy(turn.poor)
		got := take(l, now, turn.poor)
		if before+int64(got) < 10 {
			t.Fatalf("%s got %d, less than its floor", turn.poor, got)
		}
		if d := l.Excesses(now, turn.poor); len(d) != 1 || d[0] != (Excess{turn.rich, true}) || !l.Overdrawn(now, turn.rich) {
			t.Fatalf("debtors of %s: %v", turn.poor, d)
		}
		for l.lentOver(turn.rich) { // its requests end one by one, and it asks for more all the time
			l.Release(turn.rich, 1)
			if l.Acquire(now, turn.rich, 1) && l.lentOver(turn.rich) {
				t.Fatalf("%s got more while %s is in want", turn.rich, turn.poor)
			}
			if !l.Acquire(now, turn.poor, 1) {
				t.Fatalf("%s did not get what was given back", turn.poor)
			}
			l.MarkStarved(now, turn.poor) // it wants still more
		}
		take(l, now, turn.poor)
		if a, b := l.InUseBy(turn.rich), l.InUseBy(turn.poor); a != 40 || b != 40 {
			t.Errorf("then %s holds %d and %s %d", turn.rich, a, turn.poor, b)
		}
		l.Release(turn.rich, l.InUseBy(turn.rich)) // it falls idle
		now += StarvedFor
		if take(l, now, turn.poor); l.InUseBy(turn.poor) != 70 {
			t.Errorf("alone again, %s holds %d", turn.poor, l.InUseBy(turn.poor))
		}
	}
	if n := take(l, now, "a"); n != 20 {
		t.Errorf("a got %d of its floor of 20", n)
	}
}

// lentOver tells whether a party holds more than its fair part of what is lent.
func (l *Allocator) lentOver(name string) bool {
	p := l.parties[name]
	return p.lent() > l.fair(0, p)
}

// Whatever happens in whatever order, the total stands and a floor is there for the asking.
func TestTheTotalAndTheFloorsHold(t *testing.T) {
	rnd := rand.New(rand.NewPCG(3, 4))
	for range 200 {
		total := int64(20 + rnd.IntN(200))
		floors := make([]int64, 1+rnd.IntN(6))
		left := total
		for i := range floors {
			floors[i] = rnd.Int64N(left/2 + 1)
			left -= floors[i]
		}
		l := ledger(t, total, floors...)
		who := names(len(floors))
		now := int64(0)
		for range 2000 {
			i := rnd.IntN(len(who))
			now += rnd.Int64N(StarvedFor / 4)
			before, n := l.InUseBy(who[i]), 1+rnd.Int64N(5)
			switch rnd.IntN(4) {
			case 0, 1, 2:
				ok := l.Acquire(now, who[i], n)
				if !ok {
					l.MarkStarved(now, who[i])
				}
				if !ok && before+n <= floors[i] {
					t.Fatalf("%s holds %d of its floor %d and got no %d more: %+v", who[i], before, floors[i], n, l)
				} else if ok != (l.InUseBy(who[i]) == before+n) {
					t.Fatal("the books are wrong")
				}
			case 3:
				l.Release(who[i], n)
			}
			sum := int64(0)
			for _, w := range who {
				sum += l.InUseBy(w)
			}
			if sum != l.InUse() || sum > total {
				t.Fatalf("%d held, %d by the books, of %d", sum, l.InUse(), total)
			}
		}
	}
}

// New floors hold from now on; what was lent before stays until it is given back, and the total stands throughout.
func TestNewFloors(t *testing.T) {
	l := ledger(t, 100, 10, 10)
	take(l, 0, "a")
	if err := l.SetFloors([]string{"b", "c"}, []int64{60, 40}); err != nil {
		t.Fatal(err)
	}
	if l.InUseBy("a") != 90 || l.Acquire(0, "a", 1) {
		t.Errorf("a holds %d and may have more", l.InUseBy("a"))
	}
	if n := take(l, 0, "b") + take(l, 0, "c"); n != 10 || l.InUse() != 100 {
		t.Errorf("%d more taken, %d held", n, l.InUse())
	}
	if d := l.Excesses(0, "c"); len(d) != 1 || d[0] != (Excess{"a", true}) {
		t.Errorf("debtors: %v", d)
	}
	l.Release("a", 90)
	if n, m := take(l, 0, "b"), take(l, 0, "c"); l.InUseBy("b") != 60 || l.InUseBy("c") != 40 {
		t.Errorf("then %d and %d more", n, m)
	}
	if err := l.SetFloors([]string{"b", "c"}, []int64{60, 41}); !errors.Is(err, ErrFloors) {
		t.Errorf("got %v", err)
	}
	if err := l.SetFloors([]string{"b"}, []int64{-1}); err == nil {
		t.Error("a negative floor is no error")
	}
	if l.Release("c", 1000); l.InUseBy("c") != 0 {
		t.Errorf("c holds %d", l.InUseBy("c"))
	}
	l.SetFloors([]string{"b"}, []int64{60})
	if len(l.parties) != 1 || len(l.order) != 1 {
		t.Errorf("%d parties left", len(l.parties))
	}
	if l.Acquire(0, "nobody", 1) || l.Acquire(0, "b", 0) || l.Acquire(0, "b", 1e9) {
		t.Error("taken")
	}
}

func BenchmarkTakeGive(b *testing.B) {
	for _, n := range []int{2, 20} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l, _ := New(1000)
			_ = l.SetFloors(names(n), make([]int64, n))
			for b.Loop() {
				l.Acquire(0, "a", 1)
				l.Release("a", 1)
			}
		})
	}
}
