package wire

import (
	"go/ast"
	"go/parser"
	"go/token"
	"testing"

	"github.com/matryer/is"
)

// Guards against a message type without a kind, which cannot be sent: when
// KeyPull and Reserve had none, the demo dropped both and no keyed request ran.
func TestEveryMessageHasAKind(t *testing.T) {
	is := is.New(t)
	file, err := parser.ParseFile(token.NewFileSet(), "../message/message.go", nil, 0)
	is.NoErr(err)
	known := map[string]bool{}
	for typ, k := range kinds {
		known[typ.Name()] = decoders[k] != nil
	}
	found := 0
	for _, d := range file.Decls {
		f, ok := d.(*ast.FuncDecl)
		if !ok || f.Recv == nil || f.Name.Name != "peerMessage" {
			continue
		}
		found++
		name := f.Recv.List[0].Type.(*ast.Ident).Name
		if !known[name] {
			t.Errorf("message %s has no kind or no decoder", name)
		}
	}
	is.Equal(found, len(kinds))
}
