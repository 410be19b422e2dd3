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

type fakeRecorder struct {
	mu       sync.Mutex
	byReason map[string]int64
}

func (c *fakeRecorder) Count(name, reason string, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byReason[reason] += n
}

func (c *fakeRecorder) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprint(c.byReason)
}

type fakeNode struct {
	mu    sync.Mutex
	calls []string
}

func (f *fakeNode) record(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, fmt.Sprintf(format, args...))
}

func (f *fakeNode) Status(context.Context) (Status, error) {
	f.record("status")
	return Status{NodeID: "b1", Load: model.Load{Flows: 7}}, nil
}
func (f *fakeNode) Drain(_ context.Context, p DrainParams) (DrainResult, error) {
	f.record("drain %+v", p)
	return DrainResult{}, trace.NotImplemented("a balancer has no drain")
}
func (f *fakeNode) PushFile(_ context.Context, p PushFileParams) (PushFileResult, error) {
	f.record("push %s %d %v %d", p.Name, p.Version, p.Removed, len(p.Content))
	return PushFileResult{Version: 9, Changed: true}, nil
}
func (f *fakeNode) Members(_ context.Context, p MembersParams) (MembersResult, error) {
	f.record("members %+v", p)
	return MembersResult{Members: []model.Member{{ID: "a1", AdminAddr: netip.MustParseAddrPort("127.0.0.1:5")}}}, nil
}
func (f *fakeNode) ExplainFlow(_ context.Context, p ExplainFlowParams) (ExplainFlowResult, error) {
	f.record("flow %v %v %s", p.Src, p.Dst, p.Protocol)
	return ExplainFlowResult{}, trace.NotFound("no service at %v", p.Dst)
}

func testKey(t *testing.T, fill byte) settings.Secret {
	t.Helper()
	s, err := settings.NewSecret(bytes.Repeat([]byte{fill}, settings.MinSecretBytes))
	is.New(t).NoErr(err)
	return s
}

func startServer(t *testing.T, keys ...settings.Secret) (addr string, node *fakeNode, n *fakeRecorder) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	node, n = &fakeNode{}, &fakeRecorder{byReason: make(map[string]int64)}
	done := make(chan error, 1)
	go func() { done <- NewServer(node, keys, n).Serve(ctx, ln) }()
	t.Cleanup(func() { cancel(); is.New(t).NoErr(<-done) })
	return ln.Addr().String(), node, n
}

// Guards against parameters, results and error kinds that are lost between client and node,
// and against a node that rejects one of two keys during a key rotation.
func TestCallsReachTheNode(t *testing.T) {
	is := is.New(t)
	addr, node, n := startServer(t, testKey(t, 1), testKey(t, 2))
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for i, k := range []settings.Secret{testKey(t, 1), testKey(t, 2)} {
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
		_, err = callMethod[Status](ctx, c, MethodDrain, map[string]int{"tagret": 1})
		is.True(trace.IsBadParameter(err))
		_, err = callMethod[Status](ctx, c, "stop", nil)
		is.True(trace.IsNotImplemented(err))
		if i == 0 { // the other connection stays open: server shutdown must not wait for it
			is.NoErr(c.Close())
		}
	}
	is.Equal(node.calls[:5], []string{"status", "drain {Target:a1 StatusOnly:false}", "push x.yaml 8 false 65536", "members {Service: ID:a1}", "flow 1.2.3.4:5 [fd00::1]:80 tcp"})
	is.Equal(n.String(), "map[bad_params:2 unknown_method:2]")
}

// Guards against calls without the shared key, replayed or reflected MACs, and a node that
// does not know the key.
func TestUnauthenticatedCallsAreRefusedAndCounted(t *testing.T) {
	is := is.New(t)
	addr, node, n := startServer(t, testKey(t, 1))
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	_, err := Dial(ctx, addr, testKey(t, 3))
	is.True(trace.IsAccessDenied(err))

	send := func(line string) string {
		conn, err := net.Dial("tcp", addr)
		is.NoErr(err)
		defer conn.Close()
		is.NoErr(conn.SetDeadline(time.Now().Add(10 * time.Second))) // the node closes a refused connection earlier
		_, err = conn.Write([]byte(line))
		is.NoErr(err)
		answer, _ := io.ReadAll(conn) // fails with a reset when the node left bytes unread
		return string(answer)
	}
	answer := send(`{"jsonrpc":"2.0","id":1,"method":"status"}` + "\n" + `{"jsonrpc":"2.0","id":2,"method":"status"}` + "\n")
	is.True(!strings.Contains(answer, "node_id"))
	send(strings.Repeat("x", 4*maxHandshakeLine))
	// A message recorded on another connection has the MAC of another nonce.
	nonce := newNonce()
	recorded := fmt.Sprintf(`{"nonce":%q,"mac":%q}`, b64(nonce), b64(mac(testKey(t, 1), roleClient, newNonce(), nonce)))
	is.True(strings.Contains(send(recorded+"\n"), "the key is not accepted"))
	is.Equal(len(node.calls), 0)
	is.Equal(n.String(), "map[bad_handshake:2 bad_key:2]")

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	go func() { // reflects the client's own MAC
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		c := newAuthConn(conn)
		var p clientProof
		_ = c.writeLine(nodeChallenge{newNonce()})
		_ = c.readLine(&p)
		_ = c.writeLine(authResult{MAC: p.MAC})
	}()
	_, err = Dial(ctx, ln.Addr().String(), testKey(t, 1))
	is.True(trace.IsAccessDenied(err))
}

func b64(b []byte) string { return base64.StdEncoding.EncodeToString(b) }
