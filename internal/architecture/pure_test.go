package architecture

import (
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

const module = "github.com/tarragonford/tarragonford/"

// purePackages are those that docs/design.md marks with P.
var purePackages = []string{
	"codes", "fleet", "detect", "eject", "route", "admit", "intent", "registration", "gate", "pick", "beacon", "currency", "quota",
	"origin", "comeback",
}

// isImpure reports whether an import lets a package reach the network, the
// operating system or the log. The sub-packages of net and os count as well.
func isImpure(name string) bool {
	first, _, _ := strings.Cut(name, "/")
	return first == "net" || first == "os" || first == "syscall" || strings.HasPrefix(name, "go.uber.org/zap")
}

// Guards against packages of pure logic that import the network, the operating system or the log,
// directly or through another package of the module. Such code could not be tested in virtual time.
func TestPurePackages(t *testing.T) {
	checked := 0
	for _, name := range purePackages {
		directory := filepath.Join("..", name)
		if _, err := os.Stat(directory); os.IsNotExist(err) {
			continue
		}
		checked++
		chain := []string{"internal/" + name}
		for _, found := range impureChains(t, chain, map[string]bool{}) {
			t.Errorf("package %s is marked P and imports %s", name, found)
		}
	}
	if checked == 0 {
		t.Fatal("no package marked P was found")
	}
}

// impureChains returns the import chains from the last package of chain to an impure package.
func impureChains(t *testing.T, chain []string, seen map[string]bool) []string {
	current := chain[len(chain)-1]
	if seen[current] {
		return nil
	}
	seen[current] = true
	var found []string
	for _, name := range importsOf(t, filepath.Join("..", "..", filepath.FromSlash(current))) {
		if local, inModule := strings.CutPrefix(name, module); inModule {
			found = append(found, impureChains(t, append(chain[:len(chain):len(chain)], local), seen)...)
		} else if isImpure(name) {
			found = append(found, strings.Join(append(chain[1:len(chain):len(chain)], name), " -> "))
		}
	}
	return found
}

// importsOf returns the imports of the files of a package, except those of tests.
func importsOf(t *testing.T, directory string) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(directory, "*.go"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no Go files in %s (%v)", directory, err)
	}
	var imports []string
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ImportsOnly)
		if err != nil {
			t.Fatal(err)
		}
		for _, spec := range parsed.Imports {
			name, err := strconv.Unquote(spec.Path.Value)
			if err != nil {
				t.Fatal(err)
			}
			imports = append(imports, name)
		}
	}
	return imports
}

// Guards against a list of pure packages that differs from that of the design page.
func TestPurePackagesMatchTheDesign(t *testing.T) {
	page, err := os.ReadFile("../../docs/design.md")
	if err != nil {
		t.Fatal(err)
	}
	marked := strings.Count(string(page), "` P |")
	if marked != len(purePackages) {
		t.Fatalf("the design page marks %d packages with P, the test knows %d", marked, len(purePackages))
	}
	for _, name := range purePackages {
		if !strings.Contains(string(page), "| `internal/"+name+"` P |") {
			t.Errorf("the design page does not mark %s with P", name)
		}
	}
}

// Guards against packages without a doc.go.
func TestEveryPackageHasADoc(t *testing.T) {
	err := filepath.WalkDir("../..", func(name string, entry fs.DirEntry, err error) error {
		if err != nil || !entry.IsDir() {
			return err
		}
		if base := entry.Name(); base == "testdata" || base == "cmd" || base == "bin" || base == "docgen" || base == "test" ||
			strings.HasPrefix(base, ".") && base != ".." {
			return fs.SkipDir
		}
		files, err := filepath.Glob(filepath.Join(name, "*.go"))
		if err != nil || len(files) == 0 {
			return err
		}
		if _, err := os.Stat(path.Join(filepath.ToSlash(name), "doc.go")); err != nil {
			t.Errorf("%s has no doc.go", name)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
