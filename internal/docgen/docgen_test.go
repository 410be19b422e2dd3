package docgen

import (
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/confsync"
	"github.com/bulrushshelf/bulrushshelf/internal/strictyaml"
)

var update = flag.Bool("update", false, "write the generated documents")

// Guards against a page that names other fields, ranges or defaults than the code.
func TestGoldenConfigurationPageMatchesCode(t *testing.T) {
	compare(t, "../../docs/CONFIGURATION.md", Configuration())
}

func compare(t *testing.T, path, want string) {
	t.Helper()
	is := is.New(t)
	if *update {
		is.NoErr(os.WriteFile(path, []byte(want), 0o644))
	}
	got, err := os.ReadFile(path)
	is.NoErr(err)
	if string(got) != want {
		t.Errorf("%s is out of date; run go test ./internal/docgen -update", path)
	}
}

// Guards against a counter reason that the operators' page does not explain.
func TestOperationsPageNamesEveryReason(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	is.NoErr(err)
	reasons, err := Reasons("..")
	is.NoErr(err)
	is.True(len(reasons) > 60) // the search still finds them
	for _, r := range reasons {
		if !strings.Contains(string(page), "`"+r+"`") {
			t.Errorf("docs/OPERATIONS.md does not explain the reason %q", r)
		}
	}
}

// Guards against the same for the adapter of the users' platform.
func TestOperationsPageNamesEveryReasonOfTheAdapter(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	is.NoErr(err)
	reasons, err := Reasons("../../platform")
	is.NoErr(err)
	is.True(len(reasons) > 0)
	for _, r := range reasons {
		if !strings.Contains(string(page), "`"+r+"`") {
			t.Errorf("docs/OPERATIONS.md does not explain the reason %q", r)
		}
	}
}

// Guards against capacity figures that no longer follow from their slopes.
func TestGoldenCapacityPageMatchesSlopes(t *testing.T) {
	compare(t, "../../docs/CAPACITY.md", Capacity())
}

// Guards against a decision file that check accepts and the balancers cannot
// spread: limits of 64 KB and 32 KB once stood side by side.
func TestFileLimitsAgree(t *testing.T) {
	is.New(t).Equal(strictyaml.MaxBytes, confsync.MaxFile)
}
