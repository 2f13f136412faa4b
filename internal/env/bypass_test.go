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

// coveredPackages are the packages that meet the world through the seam alone.
var coveredPackages = []string{"pipeline", "httpwire", "state", "cluster", "peerrpc"}

// lifecycleFile is covered too, but for what the process itself does.
const lifecycleFile = "lifecycle/sidecar.go"

// bypasses are the functions that would go past the seam.
var bypasses = map[string][]string{
	"time":         {"Now", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick", "Sleep", "Since", "Until"},
	"net":          {"Dial", "DialTimeout", "Listen", "Dialer", "ListenConfig"},
	"math/rand/v2": nil, // nothing of it
	"math/rand":    nil,
}

// Guards against code that reads the machine's clock, dials, starts goroutines or
// draws by itself: the simulation would not be in command of it.
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
		t.Fatalf("only %d files are looked at", len(files))
	}
	for _, path := range files {
		for _, found := range findBypasses(t, path, nil) {
			t.Error(found)
		}
	}
}

// The check itself must be able to fail.
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

func findBypasses(t *testing.T, path string, text any) (found []string) {
	t.Helper()
	files := token.NewFileSet()
	f, err := parser.ParseFile(files, path, text, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	imported := map[string]string{} // what a name in this file stands for
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
			found = append(found, files.Position(n.Pos()).String()+": a goroutine past the seam")
		case *ast.SelectorExpr:
			x, ok := n.X.(*ast.Ident)
			if !ok {
				break
			}
			names, listed := bypasses[imported[x.Name]]
			if listed && (names == nil || contains(names, n.Sel.Name)) {
				found = append(found, files.Position(n.Pos()).String()+": "+x.Name+"."+n.Sel.Name+" goes past the seam")
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
