package env

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// coveredPackages are the packages whose code must use the environment only through Env.
var coveredPackages = []string{"pipeline", "httpwire", "state", "cluster", "peerrpc"}

// lifecycleFile must do so too. The other files of its package deal with the process itself and are not covered.
const lifecycleFile = "lifecycle/sidecar.go"

// bypasses lists, by package, the functions and types that would bypass Env; nil stands for the whole package.
var bypasses = map[string][]string{
	"time":         {"Now", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick", "Sleep", "Since", "Until"},
	"net":          {"Dial", "DialTimeout", "Listen", "Dialer", "ListenConfig"},
	"math/rand/v2": nil,
	"math/rand":    nil,
}

// Guards against code that reads the machine's clock, opens connections, starts goroutines or uses random numbers other than through Env:
// a simulation could not control that code.
func TestNetworkCodeUsesOnlyEnv(t *testing.T) {
	files := []string{filepath.Join("..", lifecycleFile)}
	for _, name := range coveredPackages {
		err := filepath.WalkDir(filepath.Join("..", name), func(path string, _ fs.DirEntry, err error) error {
			if err == nil && strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
				files = append(files, path)
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if len(files) < 15 {
		t.Fatalf("only %d files were found; want at least 15", len(files))
	}
	for _, path := range files {
		for _, found := range findBypasses(t, path, nil) {
			t.Error(found)
		}
	}
}

// Guards against a check that cannot fail: findBypasses must find each bypass in a sample.
func TestFindBypassesDetects(t *testing.T) {
	const text = `package x
import ("time"; "net"; rnd "math/rand/v2")
func f() {
	go f()
	_ = time.Now()
	_ = net.Dialer{}
	_ = rnd.N(3)
	_ = time.Second
}`
	if found := findBypasses(t, "x.go", text); len(found) != 4 {
		t.Errorf("found %q, want 4 places", found)
	}
}

// findBypasses returns the places in a file that bypass Env. text is the file's content; if it is nil, the file is read from path.
func findBypasses(t *testing.T, path string, text any) (found []string) {
	t.Helper()
	fileSet := token.NewFileSet()
	f, err := parser.ParseFile(fileSet, path, text, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	imported := map[string]string{} // import path by the package's name in this file
	for _, i := range f.Imports {
		full, err := strconv.Unquote(i.Path.Value)
		if err != nil {
			t.Fatal(err)
		}
		name := filepath.Base(strings.TrimSuffix(full, "/v2"))
		if i.Name != nil {
			name = i.Name.Name
		}
		imported[name] = full
	}
	ast.Inspect(f, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			found = append(found, fileSet.Position(n.Pos()).String()+": a go statement bypasses Env")
		case *ast.SelectorExpr:
			x, ok := n.X.(*ast.Ident)
			if !ok {
				break
			}
			names, listed := bypasses[imported[x.Name]]
			if listed && (names == nil || contains(names, n.Sel.Name)) {
				found = append(found, fileSet.Position(n.Pos()).String()+": "+x.Name+"."+n.Sel.Name+" bypasses Env")
			}
		}
		return true
	})
	return found
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}
