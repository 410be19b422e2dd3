package docgen

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// reasonPattern matches the form of a reason: words in snake_case.
var reasonPattern = regexp.MustCompile(`^[a-z][a-z0-9]*(_[a-z0-9]+)*$`)

// Reasons returns the reasons under which the packages below dir count events, sorted.
// They are the string constants and table values named after a reason or an error, and
// the literals passed to counters. Test files and the packages of
// internal/standin are left out.
func Reasons(dir string) ([]string, error) {
	found := make(map[string]bool)
	err := filepath.WalkDir(dir, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.Contains(path, "standin") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			for _, e := range candidateExprs(n) {
				addReason(found, e)
			}
			return true
		})
		return nil
	})
	return slices.Sorted(maps.Keys(found)), err
}

// candidateExprs returns the expressions of a node that may hold a reason.
func candidateExprs(n ast.Node) []ast.Expr {
	switch n := n.(type) {
	case *ast.ValueSpec:
		name := strings.ToLower(n.Names[0].Name)
		if strings.HasPrefix(name, "reason") || strings.HasPrefix(name, "err") {
			return n.Values
		}
	case *ast.KeyValueExpr:
		if key, ok := n.Key.(*ast.Ident); ok && (strings.HasPrefix(key.Name, "Reason") || strings.HasPrefix(key.Name, "Move")) {
			return []ast.Expr{n.Value}
		}
	case *ast.CallExpr:
		if f, ok := n.Fun.(*ast.SelectorExpr); ok && strings.EqualFold(f.Sel.Name, "count") && len(n.Args) >= 2 {
			return n.Args[1:2]
		}
	}
	return nil
}

// addReason adds e to found if it is a string literal in the form of a reason.
func addReason(found map[string]bool, e ast.Expr) {
	lit, ok := e.(*ast.BasicLit)
	if !ok || lit.Kind != token.STRING {
		return
	}
	if s, err := strconv.Unquote(lit.Value); err == nil && reasonPattern.MatchString(s) {
		found[s] = true
	}
}
