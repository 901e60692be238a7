package quota

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// newAllocator returns an Allocator with consumers "a", "b" and so on.
func newAllocator(t *testing.T, total int64, floors ...int64) *Allocator {
	t.Helper()
	a, err := New(total)
	if err != nil {
		t.Fatal(err)
	}
	if err := a.SetFloors(names(len(floors)), floors); err != nil {
		t.Fatal(err)
	}
	return a
}

// names returns n names.
func names(n int) []string {
	var out []string
	for i := range n {
		out = append(out, string(rune('a'+i)))
	}
	return out
}

// acquireAll acquires one at a time until it is denied, and returns how many that was.
func acquireAll(a *Allocator, now int64, name string) (n int) {
	for a.Acquire(now, name, 1) {
		n++
	}
	a.MarkStarved(now, name)
	return n
}

// One pool takes all that is free while another is idle; that one still gets its floor at once, and
// a second later, when the first has ended what it had beyond its share, its fair share. Then the
// same the other way round.
func TestBorrowedIsGivenBack(t *testing.T) {
	a := newAllocator(t, 100, 20, 10, 10)
	now := int64(0)
	if n := acquireAll(a, now, "b"); n != 70 {
		t.Fatalf("alone, b got %d of the 10 and 60 that it could have", n)
	}
	for _, turn := range []struct{ starved, borrower string }{{"c", "b"}, {"b", "c"}} {
		before := a.InUseBy(turn.starved)
		got := acquireAll(a, now, turn.starved)
		if before+int64(got) < 10 {
			t.Fatalf("%s got %d, less than its floor", turn.starved, got)
		}
		excesses := a.Borrowers(now, turn.starved)
		if !slices.Equal(excesses, []Borrower{{turn.borrower, true}}) || !a.OverFairShare(now, turn.borrower) {
			t.Fatalf("excesses for %s: %v", turn.starved, excesses)
		}
		for a.overFairShare(turn.borrower) { // its requests end one by one, and it asks for more all the time
			a.Release(turn.borrower, 1)
			if a.Acquire(now, turn.borrower, 1) && a.overFairShare(turn.borrower) {
				t.Fatalf("%s got more while %s is starved", turn.borrower, turn.starved)
			}
			if !a.Acquire(now, turn.starved, 1) {
				t.Fatalf("%s did not get what was given back", turn.starved)
			}
			a.MarkStarved(now, turn.starved) // it needs still more
		}
		acquireAll(a, now, turn.starved)
		if x, y := a.InUseBy(turn.borrower), a.InUseBy(turn.starved); x != 40 || y != 40 {
			t.Errorf("then %s has %d and %s %d", turn.borrower, x, turn.starved, y)
		}
		a.Release(turn.borrower, a.InUseBy(turn.borrower)) // it falls idle
		now += StarvationPeriod
		acquireAll(a, now, turn.starved)
		if a.InUseBy(turn.starved) != 70 {
			t.Errorf("alone again, %s has %d", turn.starved, a.InUseBy(turn.starved))
		}
	}
	if n := acquireAll(a, now, "a"); n != 20 {
		t.Errorf("a got %d of its floor of 20", n)
	}
}

// overFairShare reports whether a consumer has borrowed more than its fair share.
func (a *Allocator) overFairShare(name string) bool {
	c := a.consumers[name]
	return c.borrowed() > a.fairShare(0, c)
}

// Whatever happens in whatever order, the total holds and a floor can be had at any time.
func TestTotalAndFloorsHold(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	for range 200 {
		total := int64(20 + random.IntN(200))
		floors := make([]int64, 1+random.IntN(6))
		left := total
		for i := range floors {
			floors[i] = random.Int64N(left/2 + 1)
			left -= floors[i]
		}
		a := newAllocator(t, total, floors...)
		consumers := names(len(floors))
		now := int64(0)
		for range 2000 {
			i := random.IntN(len(consumers))
			now += random.Int64N(StarvationPeriod / 4)
			before, n := a.InUseBy(consumers[i]), 1+random.Int64N(5)
			switch random.IntN(4) {
			case 0, 1, 2:
				ok := a.Acquire(now, consumers[i], n)
				if !ok {
					a.MarkStarved(now, consumers[i])
				}
				if !ok && before+n <= floors[i] {
					t.Fatalf("%s has %d of its floor %d and got no %d more: %+v", consumers[i], before, floors[i], n, a)
				}
				if ok != (a.InUseBy(consumers[i]) == before+n) {
					t.Fatal("the count is wrong")
				}
			case 3:
				a.Release(consumers[i], n)
			}
			sum := int64(0)
			for _, name := range consumers {
				sum += a.InUseBy(name)
			}
			if sum != a.InUse() || sum > total {
				t.Fatalf("%d in use, %d by the count, of %d", sum, a.InUse(), total)
			}
		}
	}
}

// New floors hold from now on; what was borrowed before stays until it is released, and the total
// holds throughout.
func TestSetFloors(t *testing.T) {
	a := newAllocator(t, 100, 10, 10)
	acquireAll(a, 0, "a")
	if err := a.SetFloors([]string{"b", "c"}, []int64{60, 40}); err != nil {
		t.Fatal(err)
	}
	if a.InUseBy("a") != 90 || a.Acquire(0, "a", 1) {
		t.Errorf("a has %d and may have more", a.InUseBy("a"))
	}
	if n := acquireAll(a, 0, "b") + acquireAll(a, 0, "c"); n != 10 || a.InUse() != 100 {
		t.Errorf("%d more acquired, %d in use", n, a.InUse())
	}
	if excesses := a.Borrowers(0, "c"); !slices.Equal(excesses, []Borrower{{"a", true}}) {
		t.Errorf("excesses: %v", excesses)
	}
	a.Release("a", 90)
	if n, m := acquireAll(a, 0, "b"), acquireAll(a, 0, "c"); a.InUseBy("b") != 60 || a.InUseBy("c") != 40 {
		t.Errorf("then %d and %d more", n, m)
	}
	if err := a.SetFloors([]string{"b", "c"}, []int64{60, 41}); !errors.Is(err, ErrFloors) {
		t.Errorf("got %v", err)
	}
	if err := a.SetFloors([]string{"b"}, []int64{-1}); err == nil {
		t.Error("a negative floor is no error")
	}
	a.Release("c", 1000)
	if a.InUseBy("c") != 0 {
		t.Errorf("c has %d", a.InUseBy("c"))
	}
	if err := a.SetFloors([]string{"b"}, []int64{60}); err != nil {
		t.Fatal(err)
	}
	if len(a.consumers) != 1 || len(a.order) != 1 {
		t.Errorf("%d consumers left", len(a.consumers))
	}
	if a.Acquire(0, "nobody", 1) || a.Acquire(0, "b", 0) || a.Acquire(0, "b", 1e9) {
		t.Error("acquired")
	}
}

func BenchmarkAcquireRelease(b *testing.B) {
	for _, n := range []int{2, 20} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			a, err := New(1000)
			if err != nil {
				b.Fatal(err)
			}
			if err := a.SetFloors(names(n), make([]int64, n)); err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				a.Acquire(0, "a", 1)
				a.Release("a", 1)
			}
		})
	}
}
