package main

import (
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// rootModule is the name of the module at the root of the workspace in tables of
// imports.
const rootModule = "root"

// modulePrefix is the start of the import path of every module but the root.
const modulePrefix = "github.com/endiveturn/endiveturn/"

// platformStandin is the package with stand-ins of the platform for tests. It is listed by
// itself, since it is no part of the adapter.
const platformStandin = "platform/standin"

// An importTable maps each module to the sorted names of the sibling modules that it
// imports.
type importTable map[string][]string

var (
	moduleDirectory = regexp.MustCompile(`(?m)^\s+\./?(\w*)$`)
	moduleRow       = regexp.MustCompile("(?m)^\\| (?:`(\\w+)`|(root) [^|]*) \\|[^|]*\\|([^|]*)\\|$")
	moduleName      = regexp.MustCompile("`(\\w+)`")
)

// readModules returns the directories that go.work uses, and the root as ".".
func readModules(t *testing.T) []string {
	t.Helper()
	work, err := os.ReadFile("go.work")
	if err != nil {
		t.Fatal(err)
	}
	var directories []string
	for _, match := range moduleDirectory.FindAllSubmatch(work, -1) {
		directories = append(directories, path.Join(".", string(match[1])))
	}
	if len(directories) < 2 {
		t.Fatalf("go.work uses %q, want at least two modules", directories)
	}
	return directories
}

// readImports returns the imports between the modules of the workspace, with or
// without those of test files.
func readImports(t *testing.T, withTests bool) importTable {
	t.Helper()
	modules := readModules(t)
	table := make(importTable)
	for _, directory := range modules {
		siblings := make(map[string]bool)
		err := filepath.WalkDir(directory, func(name string, entry fs.DirEntry, err error) error {
			switch {
			case err != nil:
				return err
			case entry.IsDir() && name != directory && (slices.Contains(modules, name) || strings.HasPrefix(entry.Name(), ".")):
				return fs.SkipDir
			case filepath.Ext(name) != ".go" || strings.HasSuffix(name, "_test.go") && !withTests:
				return nil
			}
			return addImports(siblings, name)
		})
		if err != nil {
			t.Fatal(err)
		}
		module := directory
		if directory == "." {
			module = rootModule
		}
		delete(siblings, module)
		table[module] = slices.Sorted(maps.Keys(siblings))
	}
	return table
}

// addImports adds the modules of the workspace that a file imports.
func addImports(siblings map[string]bool, file string) error {
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ImportsOnly)
	if err != nil {
		return err
	}
	for _, spec := range parsed.Imports {
		imported, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			return err
		}
		if rest, ok := strings.CutPrefix(imported, modulePrefix); ok {
			module, _, _ := strings.Cut(rest, "/")
			if rest == platformStandin {
				module = platformStandin
			}
			siblings[module] = true
		}
	}
	return nil
}

// parseImportTable returns the imports that the table of modules in section 4 of the
// design gives.
func parseImportTable(page string) importTable {
	_, section, _ := strings.Cut(page, "\n## 4. Modules\n")
	section, _, _ = strings.Cut(section, "\n### ")
	table := make(importTable)
	for _, row := range moduleRow.FindAllStringSubmatch(section, -1) {
		var siblings []string
		for _, match := range moduleName.FindAllStringSubmatch(row[3], -1) {
			siblings = append(siblings, match[1])
		}
		slices.Sort(siblings)
		table[row[1]+row[2]] = siblings
	}
	return table
}

// compareImports describes each difference between the documented and the actual
// imports.
func compareImports(documented, actual importTable) []string {
	var differences []string
	for _, module := range slices.Sorted(maps.Keys(actual)) {
		siblings, ok := documented[module]
		if !ok {
			differences = append(differences, module+" is missing in the table")
			continue
		}
		for _, sibling := range actual[module] {
			if !slices.Contains(siblings, sibling) {
				differences = append(differences, module+" imports "+sibling+", which the table does not name")
			}
		}
		for _, sibling := range siblings {
			if !slices.Contains(actual[module], sibling) {
				differences = append(differences, module+" does not import "+sibling+", which the table names")
			}
		}
	}
	for _, module := range slices.Sorted(maps.Keys(documented)) {
		if _, ok := actual[module]; !ok {
			differences = append(differences, module+" is in the table and not in go.work")
		}
	}
	return differences
}

// TestImportsAreDocumented guards against a table of modules in the design that no
// longer shows which modules depend on each other.
func TestImportsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("docs/design.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, difference := range compareImports(parseImportTable(string(page)), readImports(t, false)) {
		t.Error(difference)
	}
}

// TestCompareImports guards against a kind of difference that
// TestImportsAreDocumented does not notice.
func TestCompareImports(t *testing.T) {
	const page = "\n## 4. Modules\n\n| module | does | imports |\n|---|---|---|\n" +
		"| `a` | is `x` | `b`, `c` (types) |\n| `b` | - | - |\n| `c` | - | - |\n| root (`main`) | `main.go` | `a` |\n" +
		"\n### 4.1 Next\n\n| `d` | - | - |\n"
	tests := []struct {
		name   string
		actual importTable
		want   []string
	}{
		{name: "equal", actual: importTable{"a": {"b", "c"}, "b": nil, "c": nil, "root": {"a"}}},
		{name: "module missing in the table", actual: importTable{"a": {"b", "c"}, "b": nil, "c": nil, "d": nil, "root": {"a"}}, want: []string{"d is missing in the table"}},
		{name: "import missing in the table", actual: importTable{"a": {"b", "c"}, "b": {"c"}, "c": nil, "root": {"a"}}, want: []string{"b imports c, which the table does not name"}},
		{name: "import only in the table", actual: importTable{"a": {"b"}, "b": nil, "c": nil, "root": {"a"}}, want: []string{"a does not import c, which the table names"}},
		{name: "module only in the table", actual: importTable{"a": {"b", "c"}, "b": nil, "root": {"a"}}, want: []string{"c is in the table and not in go.work"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := compareImports(parseImportTable(page), test.actual); !slices.Equal(got, test.want) {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

// TestPlatformIsAnAdapter guards against parts of the product that depend on the users'
// platform, and against an adapter that depends on the PostgreSQL side.
func TestPlatformIsAnAdapter(t *testing.T) {
	for module, siblings := range readImports(t, true) {
		if module != rootModule && slices.Contains(siblings, "platform") {
			t.Errorf("%s imports platform, which only the commands may import", module)
		}
		if module != "flooder" && slices.Contains(siblings, platformStandin) {
			t.Errorf("%s imports %s, which only the tests of flooder may import", module, platformStandin)
		}
	}
	actual := readImports(t, false)
	reached := map[string]bool{"platform": true}
	for queue := []string{"platform"}; len(queue) > 0; queue = queue[1:] {
		for _, sibling := range actual[queue[0]] {
			if !reached[sibling] {
				reached[sibling] = true
				queue = append(queue, sibling)
			}
		}
	}
	for _, forbidden := range []string{"server", "acceptor"} {
		if reached[forbidden] {
			t.Errorf("platform imports %s, directly or through others", forbidden)
		}
	}
}
