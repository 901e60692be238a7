package config

import (
	"fmt"
	"maps"
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
	renames := renamedClasses(old, fresh)
	changes = renames.changes()
	oldPaths, oldValues := old.Values()
	paths, values := fresh.Values()
	moved := map[string]string{} // new path to old value
	for _, p := range oldPaths {
		moved[renames.path(p)] = oldValues[p]
	}
	add := func(c Change) {
		if strings.HasPrefix(c.Path, head) {
			heads = true
		} else {
			changes = append(changes, c)
		}
	}
	for _, p := range paths {
		was, known := moved[p]
		if !known {
			add(Change{Kind: Added, Path: p, New: values[p]})
		} else if was != values[p] {
			add(Change{Changed, p, was, values[p]})
		}
	}
	for _, p := range oldPaths {
		if _, stays := values[renames.path(p)]; !stays {
			add(Change{Kind: Removed, Path: p, Old: oldValues[p]})
		}
	}
	return changes, heads
}

// renames are the paths of classes that have another name now, old to new.
type renames map[string]string

// renamedClasses are the classes that the newer file says are renamed, and that are in the older one.
func renamedClasses(old, fresh *Document) renames {
	out := renames{}
	if fresh.App == nil || old.App == nil {
		return out
	}
	for _, s := range fresh.App.Services {
		was := old.App.Service(s.Name)
		if was == nil {
			continue
		}
		for i, class := range s.Classes {
			for _, former := range s.ClassPolicies[i].FormerNames {
				if was.Class(former) >= 0 && was.Class(class) < 0 {
					out[classPath(s.Name, former)] = classPath(s.Name, class)
				}
			}
		}
	}
	return out
}

func classPath(service, class string) string {
	return join(join(join("services", service), "classes"), class)
}

// changes are the renamings, in the order of the old paths.
func (r renames) changes() (out []Change) {
	for _, from := range slices.Sorted(maps.Keys(r)) {
		out = append(out, Change{Kind: Renamed, Old: from, New: r[from]})
	}
	return out
}

// path is an old path as it would be now.
func (r renames) path(old string) string {
	for from, to := range r {
		if rest, within := strings.CutPrefix(old, from+"."); within {
			return to + "." + rest
		}
	}
	return old
}
