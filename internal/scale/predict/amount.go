package predict

// amount is a quantity that is unknown if it was not measured.
type amount struct {
	value float64
	known bool
}

func known(v float64) amount { return amount{value: v, known: true} }

func (a amount) dividedBy(divisor float64) amount {
	return amount{value: a.value / divisor, known: a.known}
}

func (a amount) times(factor float64) amount {
	return amount{value: a.value * factor, known: a.known}
}

// plus returns the sum of two amounts. The sum is unknown if either amount is.
func (a amount) plus(b amount) amount {
	return amount{value: a.value + b.value, known: a.known && b.known}
}

// maxAmount returns the larger of two amounts. The result is unknown if either amount is.
func maxAmount(a, b amount) amount {
	return amount{value: max(a.value, b.value), known: a.known && b.known}
}

// format returns the text of an amount in a unit, with the mark Computed. The text of an unknown
// amount is "not measured".
func (a amount) format(unit func(float64) string) string {
	if !a.known {
		return "not measured"
	}
	return unit(a.value) + " " + string(Computed)
}
