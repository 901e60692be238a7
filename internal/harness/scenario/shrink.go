package scenario

import "slices"

// Shrink returns a minimal part of a schedule that still fails. It removes faults while the rest
// fails: first large parts, then single faults (delta debugging by Zeller and Hildebrandt). found
// is false if the complete schedule does not fail.
func Shrink(faults []Fault, fails func([]Fault) bool) (least []Fault, found bool) {
	if !fails(faults) {
		return nil, false
	}
	if len(faults) > 0 && fails(nil) {
		return nil, true
	}
	least = faults
	size := max(1, len(least)/2)
	for len(least) > 1 {
		shorter := removeParts(least, size, fails)
		isShorter := len(shorter) < len(least)
		least = shorter
		if isShorter {
			continue
		}
		if size == 1 {
			break
		}
		size = max(1, size/2)
	}
	return least, true
}

// removeParts removes each part of size faults without which the rest still fails. At least one
// fault remains.
func removeParts(faults []Fault, size int, fails func([]Fault) bool) []Fault {
	from := 0
	for from < len(faults) && len(faults) > 1 {
		to := min(from+size, len(faults))
		rest := slices.Concat(faults[:from], faults[to:])
		if len(rest) > 0 && fails(rest) {
			faults = rest
		} else {
			from = to
		}
	}
	return faults
}
