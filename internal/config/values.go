package config

import (
	"strconv"
	"strings"

	"fernlanding/internal/tomldoc"
)

// Values returns the scalars of the file by their paths, and the paths in the order of the file.
// The path of a table in an array has the name of the table, if there is one, instead of the index.
func (d *Document) Values() (paths []string, values map[string]string) {
	l := valueLister{values: map[string]string{}}
	if d.root != nil {
		l.list("", d.root)
	}
	return l.paths, l.values
}

// valueLister collects the scalars of a tree.
type valueLister struct {
	paths  []string
	values map[string]string
}

// list collects the scalars of a value at a path.
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

// itemName returns the name of an item of an array in a path: the field "name" or "service", or
// else the index.
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

// joinPath returns the path of a field in a table. A field name that would make the path ambiguous
// is quoted.
func joinPath(table, field string) string {
	if strings.ContainsAny(field, ". []\n\"") {
		field = strconv.Quote(field)
	}
	if table == "" {
		return field
	}
	return table + "." + field
}
