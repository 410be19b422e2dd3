package admin

import (
	"bytes"
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/settings"
)

type counts struct {
	mu sync.Mutex
	m  map[string]int64
}

func (c *counts) Count(name, reason string, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.m[reason] += n
}

func (c *counts) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprint(c.m)
}

type fakeNode struct {
	mu    sync.Mutex
	calls []string
}

func (f *fakeNode) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, fmt.Sprintf(format, args...))
}

func (f *fakeNode) Status(context.Context) (Status, error) {
	f.note("status")
	return Status{NodeID: "b1", Load: model.Load{Flows: 7}}, nil
}
func (f *fakeNode) Drain(_ context.Context, p DrainParams) (DrainResult, error) {
	f.note("drain %+v", p)
	return DrainResult{}, trace.NotImplemented("a balancer has no drain")
}
func (f *fakeNode) PushFile(_ context.Context, p PushFileParams) (PushFileResult, error) {
	f.note("push %s %d %v %d", p.Name, p.Version, p.Removed, len(p.Content))
	return PushFileResult{Version: 9, Changed: true}, nil
}
func (f *fakeNode) Members(_ context.Context, p MembersParams) (MembersResult, error) {
	f.note("members %+v", p)
	return MembersResult{Members: []model.Member{{ID: "a1", AdminAddr: netip.MustParseAddrPort("127.0.0.1:5")}}}, nil
}
func (f *fakeNode) ExplainFlow(_ context.Context, p ExplainFlowParams) (ExplainFlowResult, error) {
	f.note("flow %v %v %s", p.Src, p.Dst, p.Protocol)
	return ExplainFlowResult{}, trace.NotFound("no service at %v", p.Dst)
}

func key(t *testing.T, fill byte) settings.Secret {
	t.Helper()
	s, err := settings.NewSecret(bytes.Repeat([]byte{fill}, settings.MinSecretBytes))
	is.New(t).NoErr(err)
	return s
}

func serve(t *testing.T, keys ...settings.Secret) (addr string, node *fakeNode, n *counts) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	node, n = &fakeNode{}, &counts{m: make(map[string]int64)}
	done := make(chan error, 1)
	go func() { done <- NewServer(node, keys, n).Serve(ctx, ln) }()
	t.Cleanup(func() { cancel(); is.New(t).NoErr(<-done) })
	return ln.Addr().String(), node, n
}

// Guards against parameters, results and kinds of error that are lost between
// client and node, and against a key of a rotation that is not accepted.
func TestCallsReachTheNode(t *testing.T) {
	is := is.New(t)
	addr, node, n := serve(t, key(t, 1), key(t, 2))
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for i, k := range []settings.Secret{key(t, 1), key(t, 2)} {
		c, err := Dial(ctx, addr, k)
		is.NoErr(err)
		s, err := c.Status(ctx)
		is.NoErr(err)
		is.Equal(s.Load.Flows, 7)
		_, err = c.Drain(ctx, DrainParams{Target: "a1"})
		is.True(trace.IsNotImplemented(err))
		p, err := c.PushFile(ctx, PushFileParams{Name: "x.yaml", Version: 8, Content: make([]byte, 64<<10)})
		is.NoErr(err)
		is.Equal(p, PushFileResult{Version: 9, Changed: true})
		m, err := c.Members(ctx, MembersParams{ID: "a1"})
		is.NoErr(err)
		is.Equal(m.Members[0].AdminAddr.String(), "127.0.0.1:5")
		_, err = c.ExplainFlow(ctx, ExplainFlowParams{Src: netip.MustParseAddrPort("1.2.3.4:5"), Dst: netip.MustParseAddrPort("[fd00::1]:80"), Protocol: "tcp"})
		is.True(trace.IsNotFound(err))
		is.True(strings.Contains(err.Error(), "no service at [fd00::1]:80"))
		_, err = do[Status](ctx, c, MethodDrain, map[string]int{"tagret": 1})
		is.True(trace.IsBadParameter(err))
		_, err = do[Status](ctx, c, "stop", nil)
		is.True(trace.IsNotImplemented(err))
		if i == 0 { // the end of the server must not wait for the other client
			is.NoErr(c.Close())
		}
	}
	is.Equal(node.calls[:5], []string{"status", "drain {Target:a1 StatusOnly:false}", "push x.yaml 8 false 65536", "members {Service: ID:a1}", "flow 1.2.3.4:5 [fd00::1]:80 tcp"})
	is.Equal(n.String(), "map[bad_params:2 unknown_method:2]")
}

// Guards against calls without the shared key, replayed proofs, and a node
// that does not know the key.
func TestUnauthenticatedCallsAreRefusedAndCounted(t *testing.T) {
	is := is.New(t)
	addr, node, n := serve(t, key(t, 1))
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	_, err := Dial(ctx, addr, key(t, 3))
	is.True(trace.IsAccessDenied(err))

	send := func(line string) string {
		conn, err := net.Dial("tcp", addr)
		is.NoErr(err)
		defer conn.Close()
		is.NoErr(conn.SetDeadline(time.Now().Add(10 * time.Second))) // a refused connection ends before
		_, err = conn.Write([]byte(line))
		is.NoErr(err)
		answer, _ := io.ReadAll(conn) // ends by a reset when the node did not read everything
		return string(answer)
	}
	answer := send(`{"jsonrpc":"2.0","id":1,"method":"status"}` + "\n" + `{"jsonrpc":"2.0","id":2,"method":"status"}` + "\n")
	is.True(!strings.Contains(answer, "node_id"))
	send(strings.Repeat("x", 4*maxHandshakeLine))
	// A proof recorded on another connection answers another nonce.
	nonce := newNonce()
	recorded := fmt.Sprintf(`{"nonce":%q,"mac":%q}`, b64(nonce), b64(mac(key(t, 1), roleClient, newNonce(), nonce)))
	is.True(strings.Contains(send(recorded+"\n"), "the key is not accepted"))
	is.Equal(len(node.calls), 0)
	is.Equal(n.String(), "map[bad_handshake:2 bad_key:2]")

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	go func() { // echoes the client's own proof
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		c := newAuthConn(conn)
		var p proof
		_ = c.writeLine(challenge{newNonce()})
		_ = c.readLine(&p)
		_ = c.writeLine(verdict{MAC: p.MAC})
	}()
	_, err = Dial(ctx, ln.Addr().String(), key(t, 1))
	is.True(trace.IsAccessDenied(err))
}

func b64(b []byte) string { return base64.StdEncoding.EncodeToString(b) }
