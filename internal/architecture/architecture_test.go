// Package architecture tests that docs/ARCHITECTURE.md agrees with the code: the declarations that
// the page names exist, its table of layers lists every package exactly once, and packages import
// only packages of the same or lower layers.
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
	pagePath      = root + "/docs/ARCHITECTURE.md"
	module        = "fernlanding/"
	layersHeading = "## Packages by layer"

	// minDeclarations is the least number of declarations found on the page. It guards against a
	// change of the page's format that hides the declarations from the test.
	minDeclarations = 60
)

var (
	quotedName = regexp.MustCompile("`([^`]+)`")
	// qualifiedName matches a declaration on the page: a package and a name, or a package, a type
	// and a member of the type. The package is a path below internal/ unless it begins with cmd/ or
	// is logic.
	qualifiedName = regexp.MustCompile(`^([a-z][a-z0-9/]*)\.([A-Za-z]\w*)(?:\.([A-Za-z]\w*))?$`)
)

// declarations is the set of names that a package declares. A method or field has the form
// Type.Name.
type declarations map[string]bool

// sourceTree is the declarations and imports of the module's packages, by package directory
// relative to the root.
type sourceTree struct {
	declared map[string]declarations
	imports  map[string][]string // imported packages of the module
}

// Every declaration that the page names exists.
func TestPageNamesExistingDeclarations(t *testing.T) {
	code := readSource(t)
	found := 0
	for _, name := range quotedNames(t, readPage(t)) {
		match := qualifiedName.FindStringSubmatch(name)
		if match == nil {
			continue
		}
		declared := code.declared[packageDir(match[1])]
		if declared == nil {
			continue // no package: a file, or a key of a configuration
		}
		found++
		want := match[2]
		if match[3] != "" {
			want += "." + match[3]
		}
		if !declared[want] {
			t.Errorf("page names %s, which is not declared", name)
		}
	}
	if found < minDeclarations {
		t.Errorf("declarations on the page: got %d, want at least %d", found, minDeclarations)
	}
}

// The table of layers lists every package exactly once, and no others.
func TestLayersListEveryPackageOnce(t *testing.T) {
	code := readSource(t)
	layers := readLayers(t)
	for dir := range code.declared {
		if layers[dir] == nil {
			t.Errorf("package %s is in no layer", dir)
		}
	}
	for dir, rows := range layers {
		if code.declared[dir] == nil {
			t.Errorf("table of layers lists %s, which is not a package", dir)
		}
		if len(rows) != 1 {
			t.Errorf("package %s is in %d layers, want 1", dir, len(rows))
		}
	}
}

// No package imports a package of a higher layer.
func TestImportsFollowLayers(t *testing.T) {
	code := readSource(t)
	layers := readLayers(t)
	for dir, imports := range code.imports {
		for _, imported := range imports {
			if layers[dir] != nil && layers[imported] != nil && layers[imported][0] < layers[dir][0] {
				t.Errorf("package %s imports %s of a higher layer", dir, imported)
			}
		}
	}
}

// readPage returns the text of the page.
func readPage(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile(pagePath)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// quotedNames returns the names in backquotes of a text.
func quotedNames(t *testing.T, text string) []string {
	t.Helper()
	var names []string
	for _, match := range quotedName.FindAllStringSubmatch(text, -1) {
		names = append(names, match[1])
	}
	return names
}

// packageDir returns the directory of a package that the page names.
func packageDir(name string) string {
	if name == "logic" || strings.HasPrefix(name, "cmd/") || strings.HasPrefix(name, "internal/") {
		return name
	}
	return "internal/" + name
}

// readLayers returns the rows of the table of layers that list each package, counted from the top.
func readLayers(t *testing.T) map[string][]int {
	t.Helper()
	_, section, found := strings.Cut(readPage(t), layersHeading)
	if !found {
		t.Fatalf("page has no heading %q", layersHeading)
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

// readSource reads the declarations and imports of the module's packages. A directory with nothing
// but test files counts as a package without declarations or imports.
func readSource(t *testing.T) sourceTree {
	t.Helper()
	code := sourceTree{declared: map[string]declarations{}, imports: map[string][]string{}}
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

// readFile adds the declarations and imports of a file. Of a test file it adds only the package.
func (s sourceTree) readFile(t *testing.T, path string) {
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

// add adds a declaration and its members.
func (d declarations) add(declaration ast.Decl) {
	switch declaration := declaration.(type) {
	case *ast.FuncDecl:
		name := declaration.Name.Name
		if declaration.Recv != nil {
			name = receiverTypeName(declaration.Recv.List[0].Type) + "." + name
		}
		d[name] = true
	case *ast.GenDecl:
		for _, spec := range declaration.Specs {
			d.addSpec(spec)
		}
	}
}

// addSpec adds the names of a variable, constant or type, and the members of the type.
func (d declarations) addSpec(spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range spec.Names {
			d[name.Name] = true
		}
	case *ast.TypeSpec:
		d[spec.Name.Name] = true
		for _, field := range memberFields(spec.Type) {
			for _, name := range field.Names {
				d[spec.Name.Name+"."+name.Name] = true
			}
		}
	}
}

// memberFields returns the fields of a struct or the methods of an interface.
func memberFields(declared ast.Expr) []*ast.Field {
	switch declared := declared.(type) {
	case *ast.StructType:
		return declared.Fields.List
	case *ast.InterfaceType:
		return declared.Methods.List
	}
	return nil
}

// receiverTypeName returns the name of the type of a receiver.
func receiverTypeName(declared ast.Expr) string {
	switch declared := declared.(type) {
	case *ast.StarExpr:
		return receiverTypeName(declared.X)
	case *ast.IndexExpr:
		return receiverTypeName(declared.X)
	case *ast.Ident:
		return declared.Name
	}
	return ""
}
