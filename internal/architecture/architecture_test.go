// Package architecture holds docs/ARCHITECTURE.md against the code: the packages and functions that the page names
// exist, its table of layers has every package once, and imports point down that table only.
package architecture

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const (
	root          = "../.."
	page          = root + "/docs/ARCHITECTURE.md"
	module        = "fernlanding/"
	layersHeading = "## Packages by layer"

	// leastNames guards against a page whose form has changed so that nothing is found in it.
	leastNames = 60
)

var (
	quoted = regexp.MustCompile("`([^`]+)`")
	// qualified is a declaration on the page: a package, below internal/ where it does not begin with cmd/ or is logic,
	// and a name in it, or a type and its member.
	qualified = regexp.MustCompile(`^([a-z][a-z0-9/]*)\.([A-Za-z]\w*)(?:\.([A-Za-z]\w*))?$`)
)

// declarations are the names that a package declares; a method or field stands as Type.Name.
type declarations map[string]bool

// source is what the test reads of the module's code, by package directory relative to the root.
type source struct {
	declared map[string]declarations
	imports  map[string][]string
}

func TestPageNamesWhatExists(t *testing.T) {
	code := readSource(t)
	found := 0
	for _, name := range quotedNames(t, readPage(t)) {
		match := qualified.FindStringSubmatch(name)
		if match == nil {
			continue
		}
		declared := code.declared[packageDir(match[1])]
		if declared == nil {
			continue // a file, a key of a configuration
		}
		found++
		want := match[2]
		if match[3] != "" {
			want += "." + match[3]
		}
		if !declared[want] {
			t.Errorf("%s: no such declaration", name)
		}
	}
	if found < leastNames {
		t.Errorf("%d declarations found on the page, at least %d expected", found, leastNames)
	}
}

func TestLayersHaveEveryPackageOnce(t *testing.T) {
	code := readSource(t)
	layers := readLayers(t)
	for dir := range code.declared {
		if layers[dir] == nil {
			t.Errorf("%s stands in no layer", dir)
		}
	}
	for dir, rows := range layers {
		if code.declared[dir] == nil {
			t.Errorf("%s: no such package", dir)
		}
		if len(rows) != 1 {
			t.Errorf("%s stands in %d layers", dir, len(rows))
		}
	}
}

func TestImportsPointDown(t *testing.T) {
	code := readSource(t)
	layers := readLayers(t)
	for dir, imports := range code.imports {
		for _, imported := range imports {
			if layers[dir] != nil && layers[imported] != nil && layers[imported][0] < layers[dir][0] {
				t.Errorf("%s imports %s, which stands above it", dir, imported)
			}
		}
	}
}

func readPage(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func quotedNames(t *testing.T, text string) []string {
	t.Helper()
	var names []string
	for _, match := range quoted.FindAllStringSubmatch(text, -1) {
		names = append(names, match[1])
	}
	return names
}

// packageDir returns the directory of a package as the page names it.
func packageDir(name string) string {
	if name == "logic" || strings.HasPrefix(name, "cmd/") || strings.HasPrefix(name, "internal/") {
		return name
	}
	return "internal/" + name
}

// readLayers returns the rows of the table of layers in which each package stands, counted from the top.
func readLayers(t *testing.T) map[string][]int {
	t.Helper()
	_, section, found := strings.Cut(readPage(t), layersHeading)
	if !found {
		t.Fatalf("the page lacks the heading %q", layersHeading)
	}
	section, _, _ = strings.Cut(section, "\n## ")
	layers := map[string][]int{}
	row := 0
	for line := range strings.Lines(section) {
		cells := strings.Split(line, "|")
		if len(cells) < 4 || !strings.Contains(cells[2], "`") {
			continue
		}
		for _, name := range quotedNames(t, cells[2]) {
			layers[packageDir(name)] = append(layers[packageDir(name)], row)
		}
		row++
	}
	return layers
}

// readSource reads the declarations and imports of the module's packages. Of tests it takes that there is a package.
func readSource(t *testing.T) source {
	t.Helper()
	code := source{declared: map[string]declarations{}, imports: map[string][]string{}}
	for _, top := range []string{"cmd", "internal", "logic"} {
		err := filepath.WalkDir(filepath.Join(root, top), func(path string, entry fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			if entry.IsDir() && entry.Name() == "testdata" {
				return filepath.SkipDir
			}
			if filepath.Ext(path) == ".go" {
				code.readFile(t, path)
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return code
}

func (s source) readFile(t *testing.T, path string) {
	t.Helper()
	dir, err := filepath.Rel(root, filepath.Dir(path))
	if err != nil {
		t.Fatal(err)
	}
	if s.declared[dir] == nil {
		s.declared[dir] = declarations{}
	}
	if strings.HasSuffix(path, "_test.go") {
		return
	}
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	for _, spec := range file.Imports {
		name, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			t.Fatal(err)
		}
		if imported, own := strings.CutPrefix(name, module); own && !slices.Contains(s.imports[dir], imported) {
			s.imports[dir] = append(s.imports[dir], imported)
		}
	}
	for _, declaration := range file.Decls {
		s.declared[dir].add(declaration)
	}
}

// add enters a declaration with its members.
func (d declarations) add(declaration ast.Decl) {
	switch declaration := declaration.(type) {
	case *ast.FuncDecl:
		name := declaration.Name.Name
		if declaration.Recv != nil {
			name = receiver(declaration.Recv.List[0].Type) + "." + name
		}
		d[name] = true
	case *ast.GenDecl:
		for _, spec := range declaration.Specs {
			d.addSpec(spec)
		}
	}
}

func (d declarations) addSpec(spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range spec.Names {
			d[name.Name] = true
		}
	case *ast.TypeSpec:
		d[spec.Name.Name] = true
		for _, field := range members(spec.Type) {
			for _, name := range field.Names {
				d[spec.Name.Name+"."+name.Name] = true
			}
		}
	}
}

// members returns the fields of a struct or the methods of an interface.
func members(declared ast.Expr) []*ast.Field {
	switch declared := declared.(type) {
	case *ast.StructType:
		return declared.Fields.List
	case *ast.InterfaceType:
		return declared.Methods.List
	}
	return nil
}

// receiver returns the name of a receiver's type.
func receiver(declared ast.Expr) string {
	switch declared := declared.(type) {
	case *ast.StarExpr:
		return receiver(declared.X)
	case *ast.IndexExpr:
		return receiver(declared.X)
	case *ast.Ident:
		return declared.Name
	}
	return ""
}
