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

// Guards against a page whose fields, ranges or defaults differ from the code.
func TestGoldenConfigurationPageMatchesCode(t *testing.T) {
	comparePage(t, "../../docs/CONFIGURATION.md", Configuration())
}

func comparePage(t *testing.T, path, want string) {
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
	is.True(len(reasons) > 60) // guards against a search that finds too few
	for _, r := range reasons {
		if !strings.Contains(string(page), "`"+r+"`") {
			t.Errorf("docs/OPERATIONS.md does not explain the reason %q", r)
		}
	}
}

// Guards against a counter reason of the platform adapter that the operators' page does
// not explain.
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

// Guards against capacity figures that differ from those computed from the slopes.
func TestGoldenCapacityPageMatchesSlopes(t *testing.T) {
	comparePage(t, "../../docs/CAPACITY.md", Capacity())
}

// Guards against different file size limits, such as 64 KB for checking a decision file
// and 32 KB for sending it: balancers could then not distribute an accepted file.
func TestFileLimitsAgree(t *testing.T) {
	is.New(t).Equal(strictyaml.MaxBytes, confsync.MaxFile)
}
