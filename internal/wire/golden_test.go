package wire

import (
	"encoding/hex"
	"flag"
	"fmt"
	"maps"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "write testdata/bodies.golden")

// Guards against a change of the keys, kinds or encoding of messages, after which
// releases with the same format version could not understand each other. Existing
// content of the file must not change; a new field adds a pair to its message.
func TestGoldenBodies(t *testing.T) {
	is := is.New(t)
	c := newTestCodec(t, "a", 1, oldKey)
	types := slices.SortedFunc(maps.Keys(kinds), func(a, b reflect.Type) int { return int(kinds[a]) - int(kinds[b]) })
	var out strings.Builder
	fmt.Fprintf(&out, "version %d\n", Version)
	for _, typ := range types {
		v := reflect.New(typ).Elem()
		setNonZero(v)
		body, err := c.enc.Marshal(v.Interface())
		is.NoErr(err)
		fmt.Fprintf(&out, "%d %s %s\n", kinds[typ], typ.Name(), hex.EncodeToString(body))
	}
	if *update {
		is.NoErr(os.WriteFile("testdata/bodies.golden", []byte(out.String()), 0o644))
	}
	want, err := os.ReadFile("testdata/bodies.golden")
	is.NoErr(err)
	is.Equal(out.String(), string(want))
}

// Guards against fields that are encoded by name: the text key "Incarnation"
// takes 12 bytes in every message, an integer key 1 byte.
func TestFieldsHaveIntegerKeys(t *testing.T) {
	tag := regexp.MustCompile(`^(\d+),keyasint`)
	seen := map[reflect.Type]bool{}
	var check func(typ reflect.Type)
	check = func(typ reflect.Type) {
		switch typ.Kind() {
		case reflect.Slice, reflect.Pointer:
			check(typ.Elem())
			return
		case reflect.Struct:
		default:
			return
		}
		ownType := strings.HasPrefix(typ.PkgPath(), "github.com/bulrushshelf/")
		if !ownType || seen[typ] {
			return
		}
		seen[typ] = true
		keys := map[string]bool{}
		for i := range typ.NumField() {
			f := typ.Field(i)
			key := tag.FindStringSubmatch(f.Tag.Get("cbor"))
			if key == nil || keys[key[1]] {
				t.Errorf("%s.%s has no unique integer key", typ, f.Name)
				continue
			}
			keys[key[1]] = true
			check(f.Type)
		}
	}
	for typ := range kinds {
		check(typ)
	}
}
