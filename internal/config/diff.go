package config

import (
	"fmt"
	"slices"
	"strings"
)

// ChangeKind is a kind of change.
type ChangeKind int

// The kinds of change.
const (
	Added ChangeKind = iota
	Removed
	Changed
	Renamed
)

// Change is what differs between two files of one application, by the path of a field.
type Change struct {
	Kind     ChangeKind
	Path     string
	Old, New string
}

// String is the change as one line, with a sign as in other diffs.
func (c Change) String() string {
	switch c.Kind {
	case Added:
		return fmt.Sprintf("+ %s = %s", c.Path, c.New)
	case Removed:
		return fmt.Sprintf("- %s = %s", c.Path, c.Old)
	case Renamed:
		return fmt.Sprintf("~ %s renamed to %s", c.Old, c.New)
	}
	return fmt.Sprintf("~ %s = %s, was %s", c.Path, c.New, c.Old)
}

// head is where a generated file says where it comes from. It changes with every edit of the catalogue and changes
// nothing in a sidecar.
const head = "generated."

// Diff lists what differs between two files, in the order of the newer and then of the older one; head tells that their
// heads differ. A class that was renamed is one change.
func Diff(old, fresh *Document) (changes []Change, heads bool) {
	oldPaths, oldValues := old.Values()
	paths, values := fresh.Values()
	renames := map[string]string{} // prefixes of paths, old to new
	if fresh.App != nil && old.App != nil {
		for _, s := range fresh.App.Services {
			was := old.App.Service(s.Name)
			for i, c := range s.Classes {
				for _, f := range s.Rules[i].Formerly {
					if was != nil && was.Class(f) >= 0 && was.Class(c) < 0 {
						from, to := join(join(join("services", s.Name), "classes"), f)+".", join(join(join("services", s.Name), "classes"), c)+"."
						renames[from] = to
						changes = append(changes, Change{Kind: Renamed, Old: strings.TrimSuffix(from, "."), New: strings.TrimSuffix(to, ".")})
					}
				}
			}
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.Old, b.Old) })
	renamed := func(p string) string { // an old path as it would be now
		for from, to := range renames {
			if strings.HasPrefix(p, from) {
				return to + p[len(from):]
			}
		}
		return p
	}
	moved := map[string]string{} // new path to old value
	for _, p := range oldPaths {
		moved[renamed(p)] = oldValues[p]
	}
	for _, p := range paths {
		was, known := moved[p]
		switch {
		case known && was == values[p]:
		case strings.HasPrefix(p, head):
			heads = true
		case known:
			changes = append(changes, Change{Changed, p, was, values[p]})
		default:
			changes = append(changes, Change{Kind: Added, Path: p, New: values[p]})
		}
	}
	for _, p := range oldPaths {
		if _, stays := values[renamed(p)]; stays {
			continue
		}
		if strings.HasPrefix(p, head) {
			heads = true
			continue
		}
		changes = append(changes, Change{Kind: Removed, Path: p, Old: oldValues[p]})
	}
	return changes, heads
}
