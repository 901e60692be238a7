package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// ChangeKind is the kind of a change.
type ChangeKind int

// The kinds of changes.
const (
	Added ChangeKind = iota
	Removed
	Changed
	Renamed
)

// Change is one difference between two versions of an application's file.
type Change struct {
	Kind     ChangeKind
	Path     string // path of the field; empty for Renamed
	Old, New string // values; paths for Renamed
}

// String returns the change as one line that starts with +, - or ~.
func (c Change) String() string {
	switch c.Kind {
	case Added:
		return fmt.Sprintf("+ %s = %s", c.Path, c.New)
	case Removed:
		return fmt.Sprintf("- %s = %s", c.Path, c.Old)
	case Renamed:
		return fmt.Sprintf("~ %s renamed to %s", c.Old, c.New)
	default:
		return fmt.Sprintf("~ %s = %s, was %s", c.Path, c.New, c.Old)
	}
}

// provenancePrefix is the prefix of the paths in the provenance of a generated file. The provenance
// changes with every edit of the catalogue and has no effect in a sidecar.
const provenancePrefix = "generated."

// Diff returns the differences between two files, in the order of the newer and then of the older
// file. A renamed class is one change. Differences of the provenance are left out;
// provenanceDiffers reports whether there are any.
func Diff(older, newer *Document) (changes []Change, provenanceDiffers bool) {
	renames := renamedClasses(older, newer)
	oldPaths, oldValues := older.Values()
	newPaths, newValues := newer.Values()
	oldByNewPath := map[string]string{}
	for _, path := range oldPaths {
		oldByNewPath[renames.newPath(path)] = oldValues[path]
	}
	changes = renames.changes()
	add := func(change Change) {
		if strings.HasPrefix(change.Path, provenancePrefix) {
			provenanceDiffers = true
		} else {
			changes = append(changes, change)
		}
	}
	for _, path := range newPaths {
		oldValue, existed := oldByNewPath[path]
		if !existed {
			add(Change{Kind: Added, Path: path, New: newValues[path]})
		} else if oldValue != newValues[path] {
			add(Change{Kind: Changed, Path: path, Old: oldValue, New: newValues[path]})
		}
	}
	for _, path := range oldPaths {
		if _, exists := newValues[renames.newPath(path)]; !exists {
			add(Change{Kind: Removed, Path: path, Old: oldValues[path]})
		}
	}
	return changes, provenanceDiffers
}

// renames maps the old paths of renamed classes to their new paths.
type renames map[string]string

// renamedClasses returns the renames that the newer file states for classes of the older file.
func renamedClasses(older, newer *Document) renames {
	renamed := renames{}
	if newer.App == nil || older.App == nil {
		return renamed
	}
	for _, s := range newer.App.Services {
		oldService := older.App.Service(s.Name)
		if oldService == nil {
			continue
		}
		for i, class := range s.Classes {
			for _, former := range s.ClassPolicies[i].FormerNames {
				if oldService.Class(former) >= 0 && oldService.Class(class) < 0 {
					renamed[classPath(s.Name, former)] = classPath(s.Name, class)
				}
			}
		}
	}
	return renamed
}

// classPath returns the path of a class.
func classPath(service, class string) string {
	return joinPath(joinPath(joinPath("services", service), "classes"), class)
}

// changes returns the renames as changes, ordered by the old paths.
func (r renames) changes() []Change {
	var changes []Change
	for _, from := range slices.Sorted(maps.Keys(r)) {
		changes = append(changes, Change{Kind: Renamed, Old: from, New: r[from]})
	}
	return changes
}

// newPath returns the new path of the field at an old path.
func (r renames) newPath(old string) string {
	for from, to := range r {
		if rest, within := strings.CutPrefix(old, from+"."); within {
			return to + "." + rest
		}
	}
	return old
}
