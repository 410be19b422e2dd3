package docgen

import (
	"flag"
	"os"
	"testing"

	"github.com/matryer/is"
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
