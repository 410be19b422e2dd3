package docgen

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// timeOfDayUses lists the files of the own HTTP mode that may read the time of day: for seeds and
// incarnations, which peers correct, and for times that other processes give, with a bound on the skew.
var timeOfDayUses = []string{
	"admission/admission.go", // reservation IDs; peers drop entries of an earlier process after 1.1 s
	"ctl/run.go",             // seed
	"daemon/daemon.go",       // seed, incarnation
	"demo/deployment.go",     // incarnation
	"front/peer.go",          // send time of moved requests
	"keys/core.go",           // attempt IDs, times of UUIDv7 keys
}

// Guards against age, expiry or order from the time of day, which may step: see the rule in design.md,
// section 3.1.
func TestTimeOfDayIsReadOnlyWhereSkewIsBounded(t *testing.T) {
	is := is.New(t)
	var found []string
	err := filepath.WalkDir("..", func(path string, d os.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		rel := strings.TrimPrefix(filepath.ToSlash(path), "../")
		if strings.HasPrefix(rel, "steer") || strings.HasPrefix(rel, "pass") || strings.HasPrefix(rel, "standin/") {
			return nil // the platform's own packages; stand-ins
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if s, ok := n.(*ast.SelectorExpr); ok && slices.Contains([]string{"Unix", "UnixNano", "UnixMilli", "UnixMicro"}, s.Sel.Name) {
				found = append(found, rel)
			}
			return true
		})
		return nil
	})
	is.NoErr(err)
	slices.Sort(found)
	is.Equal(slices.Compact(found), timeOfDayUses)
}
