package config

import (
	"strconv"
	"strings"

	"fernlanding/internal/tomldoc"
)

// Values returns the scalars of the file by the paths of their fields, and the paths in the order
// of the file. Tables in arrays that have a name go by it instead of their index.
func (d *Document) Values() (paths []string, values map[string]string) {
	l := valueLister{values: map[string]string{}}
	if d.root != nil {
		l.list("", d.root)
	}
	return l.paths, l.values
}

// valueLister lists the scalars of a tree.
type valueLister struct {
	paths  []string
	values map[string]string
}

// list lists a value at a path, and all values in it.
func (l *valueLister) list(path string, v *tomldoc.Value) {
	switch v.Kind {
	case tomldoc.Table:
		for _, field := range v.Keys {
			l.list(joinPath(path, field), v.Fields[field])
		}
	case tomldoc.Array:
		for i, item := range v.Items {
			index := strconv.Itoa(i + 1)
			at := path + "[" + itemName(item, index) + "]"
			if _, isListed := l.values[at]; isListed {
				at = path + "[" + index + "]"
			}
			l.list(at, item)
		}
	default:
		l.paths = append(l.paths, path)
		l.values[path] = v.Describe()
	}
}

// itemName returns the name by which an item of an array goes: its field "name" or "service", or
// else its index.
func itemName(item *tomldoc.Value, index string) string {
	if item.Kind != tomldoc.Table {
		return index
	}
	for _, field := range []string{"name", "service"} {
		if v := item.Fields[field]; v != nil && v.Kind == tomldoc.String {
			return v.Text
		}
	}
	return index
}

// joinPath returns the path of a field in a table. A name that would break the path is quoted.
func joinPath(table, field string) string {
	if strings.ContainsAny(field, ". []\n\"") {
		field = strconv.Quote(field)
	}
	if table == "" {
		return field
	}
	return table + "." + field
}
