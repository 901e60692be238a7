package quota

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// newAllocator returns an Allocator with consumers named by names.
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

// names returns n consumer names: "a", "b" and so on.
func names(n int) []string {
	var out []string
	for i := range n {
		out = append(out, string(rune('a'+i)))
	}
	return out
}

// acquireAll acquires single units until one is denied, marks the consumer as starved and returns
// the number of units acquired.
func acquireAll(a *Allocator, now int64, name string) (n int) {
	for a.Acquire(now, name, 1) {
		n++
	}
	a.MarkStarved(now, name)
	return n
}

// A consumer borrows all free capacity while another is idle. The idle consumer must still get its
// floor at once, and its fair share within a second, as the borrower releases what it has beyond
// its own fair share. The test then repeats with exchanged roles.
func TestBorrowedCapacityIsReleased(t *testing.T) {
	a := newAllocator(t, 100, 20, 10, 10)
	now := int64(0)
	if n := acquireAll(a, now, "b"); n != 70 {
		t.Fatalf("b alone acquired %d, want 70: its floor of 10 and 60 borrowed", n)
	}
	for _, turn := range []struct{ starved, borrower string }{{"c", "b"}, {"b", "c"}} {
		before := a.InUseBy(turn.starved)
		got := acquireAll(a, now, turn.starved)
		if before+int64(got) < 10 {
			t.Fatalf("%s acquired %d, less than its floor", turn.starved, got)
		}
		borrowers := a.Borrowers(now, turn.starved)
		if !slices.Equal(borrowers, []Borrower{{turn.borrower, true}}) || !a.OverFairShare(now, turn.borrower) {
			t.Fatalf("borrowers for %s: got %v, want %s over its fair share", turn.starved, borrowers, turn.borrower)
		}
		for a.exceedsFairShare(turn.borrower) { // requests end one by one while new ones arrive
			a.Release(turn.borrower, 1)
			if a.Acquire(now, turn.borrower, 1) && a.exceedsFairShare(turn.borrower) {
				t.Fatalf("%s acquired more while %s is starved", turn.borrower, turn.starved)
			}
			if !a.Acquire(now, turn.starved, 1) {
				t.Fatalf("%s did not get the released unit", turn.starved)
			}
			a.MarkStarved(now, turn.starved) // it needs more
		}
		acquireAll(a, now, turn.starved)
		if x, y := a.InUseBy(turn.borrower), a.InUseBy(turn.starved); x != 40 || y != 40 {
			t.Errorf("after the release %s has %d and %s has %d, want 40 each", turn.borrower, x, turn.starved, y)
		}
		a.Release(turn.borrower, a.InUseBy(turn.borrower)) // it becomes idle
		now += StarvationPeriod
		acquireAll(a, now, turn.starved)
		if a.InUseBy(turn.starved) != 70 {
			t.Errorf("%s alone has %d, want 70", turn.starved, a.InUseBy(turn.starved))
		}
	}
	if n := acquireAll(a, now, "a"); n != 20 {
		t.Errorf("a acquired %d, want its floor of 20", n)
	}
}

// exceedsFairShare reports whether a consumer has borrowed more than its fair share.
func (a *Allocator) exceedsFairShare(name string) bool {
	c := a.consumers[name]
	return c.borrowed() > a.fairShare(0, c)
}

// For random sequences of operations, the total is never exceeded and every consumer can acquire up
// to its floor at any time.
func TestFloorsAreGuaranteedWithinTotal(t *testing.T) {
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
					t.Fatalf("%s has %d of its floor %d and was denied %d: %+v", consumers[i], before, floors[i], n, a)
				}
				if ok != (a.InUseBy(consumers[i]) == before+n) {
					t.Fatal("result of Acquire does not match the change of InUseBy")
				}
			case 3:
				a.Release(consumers[i], n)
			}
			sum := int64(0)
			for _, name := range consumers {
				sum += a.InUseBy(name)
			}
			if sum != a.InUse() || sum > total {
				t.Fatalf("consumers have %d in use, InUse returns %d, total is %d", sum, a.InUse(), total)
			}
		}
	}
}

// New floors take effect at once. Capacity that was borrowed before stays in use until it is
// released, and the total is never exceeded.
func TestSetFloors(t *testing.T) {
	a := newAllocator(t, 100, 10, 10)
	acquireAll(a, 0, "a")
	if err := a.SetFloors([]string{"b", "c"}, []int64{60, 40}); err != nil {
		t.Fatal(err)
	}
	if a.InUseBy("a") != 90 || a.Acquire(0, "a", 1) {
		t.Errorf("a has %d in use, want 90 and no more granted", a.InUseBy("a"))
	}
	if n := acquireAll(a, 0, "b") + acquireAll(a, 0, "c"); n != 10 || a.InUse() != 100 {
		t.Errorf("b and c acquired %d, in use are %d; want 10 and 100", n, a.InUse())
	}
	if borrowers := a.Borrowers(0, "c"); !slices.Equal(borrowers, []Borrower{{"a", true}}) {
		t.Errorf("borrowers for c: got %v, want a over its fair share", borrowers)
	}
	a.Release("a", 90)
	if n, m := acquireAll(a, 0, "b"), acquireAll(a, 0, "c"); a.InUseBy("b") != 60 || a.InUseBy("c") != 40 {
		t.Errorf("after the release b and c acquired %d and %d, want in total 60 and 40", n, m)
	}
	if err := a.SetFloors([]string{"b", "c"}, []int64{60, 41}); !errors.Is(err, ErrFloors) {
		t.Errorf("floors above the total: got error %v, want %v", err, ErrFloors)
	}
	if err := a.SetFloors([]string{"b"}, []int64{-1}); err == nil {
		t.Error("negative floor: got no error")
	}
	a.Release("c", 1000)
	if a.InUseBy("c") != 0 {
		t.Errorf("c has %d in use after releasing more than all, want 0", a.InUseBy("c"))
	}
	if err := a.SetFloors([]string{"b"}, []int64{60}); err != nil {
		t.Fatal(err)
	}
	if len(a.consumers) != 1 || len(a.order) != 1 {
		t.Errorf("%d consumers and %d in order, want 1 each", len(a.consumers), len(a.order))
	}
	if a.Acquire(0, "nobody", 1) || a.Acquire(0, "b", 0) || a.Acquire(0, "b", 1e9) {
		t.Error("Acquire succeeded for an unknown consumer, for 0 units or for more than the total")
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
