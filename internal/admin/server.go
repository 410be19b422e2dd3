package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/bulrushshelf/bulrushshelf/internal/settings"
)

// CounterRefused counts refused connections and calls by reason.
const CounterRefused = "admin_refused"

// The reasons of refusals.
const (
	ReasonHandshake = "bad_handshake"
	ReasonKey       = "bad_key"
	ReasonBusy      = "too_many_connections"
	ReasonMethod    = "unknown_method"
	ReasonParams    = "bad_params"
	ReasonAccept    = "accept_failed"
)

// maxConns bounds the connections of one node, authenticated or not.
const maxConns = 32

// acceptPause is the wait after a failed accept, which may mean that the
// process has no free file descriptor; that must not end the node.
const acceptPause = 100 * time.Millisecond

// The codes of errors, besides those of JSON-RPC.
const (
	codeNotFound       = -32001
	codeNotImplemented = -32002
	codeUnavailable    = -32003
)

// Recorder counts refusals; *telemetry.Metrics is one.
type Recorder interface {
	Count(name, reason string, n int64)
}

// Server serves a node to ctl.
type Server struct {
	node    Node
	keys    []settings.Secret
	counter Recorder
}

// NewServer returns a server that accepts clients that know one of the keys.
func NewServer(node Node, keys []settings.Secret, counter Recorder) *Server {
	return &Server{node: node, keys: keys, counter: counter}
}

// Serve serves connections until ctx is done, then closes them and waits for
// their goroutines. It closes the listener.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	defer ln.Close()
	var conns sync.WaitGroup
	defer conns.Wait()
	slots := make(chan struct{}, maxConns)
	for {
		conn, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			if errors.Is(err, net.ErrClosed) {
				return trace.Wrap(err, "admin endpoint")
			}
			s.counter.Count(CounterRefused, ReasonAccept, 1)
			time.Sleep(acceptPause)
			continue
		}
		select {
		case slots <- struct{}{}:
			conns.Go(func() {
				defer func() { <-slots }()
				s.serveConn(ctx, conn)
			})
		default:
			s.counter.Count(CounterRefused, ReasonBusy, 1)
			_ = conn.Close()
		}
	}
}

func (s *Server) serveConn(ctx context.Context, raw net.Conn) {
	defer raw.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	conn := newAuthConn(raw)
	if reason := conn.serveHandshake(s.keys); reason != "" {
		s.counter.Count(CounterRefused, reason, 1)
		return
	}
	handler := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(s.handle).SuppressErrClosed())
	rpc := jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(conn), handler, jsonrpc2.SetLogger(silent{}))
	<-rpc.DisconnectNotify()
}

// silent drops the messages of the library, which repeat what a client sent.
type silent struct{}

func (silent) Printf(string, ...any) {}

func (s *Server) handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	switch req.Method {
	case MethodStatus:
		return call(s, req, func(struct{}) (Status, error) { return s.node.Status(ctx) })
	case MethodDrain:
		return call(s, req, func(p DrainParams) (DrainResult, error) { return s.node.Drain(ctx, p) })
	case MethodPushFile:
		return call(s, req, func(p PushFileParams) (PushFileResult, error) { return s.node.PushFile(ctx, p) })
	case MethodMembers:
		return call(s, req, func(p MembersParams) (MembersResult, error) { return s.node.Members(ctx, p) })
	case MethodExplainFlow:
		return call(s, req, func(p ExplainFlowParams) (ExplainFlowResult, error) { return s.node.ExplainFlow(ctx, p) })
	}
	s.counter.Count(CounterRefused, ReasonMethod, 1)
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + req.Method}
}

// call decodes the parameters strictly and maps the error of the node.
func call[P, R any](s *Server, req *jsonrpc2.Request, f func(P) (R, error)) (any, error) {
	var p P
	if req.Params != nil {
		dec := json.NewDecoder(bytes.NewReader(*req.Params))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&p); err != nil {
			s.counter.Count(CounterRefused, ReasonParams, 1)
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
	}
	r, err := f(p)
	if err == nil {
		return r, nil
	}
	code := int64(jsonrpc2.CodeInternalError)
	switch {
	case trace.IsBadParameter(err):
		code = jsonrpc2.CodeInvalidParams
	case trace.IsNotFound(err):
		code = codeNotFound
	case trace.IsNotImplemented(err):
		code = codeNotImplemented
	case trace.IsConnectionProblem(err), trace.IsLimitExceeded(err):
		code = codeUnavailable
	}
	return nil, &jsonrpc2.Error{Code: code, Message: trace.UserMessage(err)}
}
