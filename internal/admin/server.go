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

// Reasons of refused connections and calls.
const (
	ReasonHandshake = "bad_handshake"
	ReasonKey       = "bad_key"
	ReasonBusy      = "too_many_connections"
	ReasonMethod    = "unknown_method"
	ReasonParams    = "bad_params"
	ReasonAccept    = "accept_failed"
)

// maxConns is the limit on the open connections of a node, authenticated or not.
const maxConns = 32

// acceptRetryDelay is the wait after a failed accept, for example when
// the process has run out of file descriptors, which must not stop the node.
const acceptRetryDelay = 100 * time.Millisecond

// Error codes of the admin API, in the range that JSON-RPC reserves for servers.
const (
	codeNotFound       = -32001
	codeNotImplemented = -32002
	codeUnavailable    = -32003
)

// Recorder counts refusals; *telemetry.Metrics implements it.
type Recorder interface {
	Count(name, reason string, n int64)
}

// Server serves the admin API of a node.
type Server struct {
	node     Node
	keys     []settings.Secret
	recorder Recorder
}

// NewServer returns a server that authenticates clients with any of the keys.
func NewServer(node Node, keys []settings.Secret, recorder Recorder) *Server {
	return &Server{node: node, keys: keys, recorder: recorder}
}

// Serve accepts connections until ctx is done, then closes them and waits for their
// goroutines. It closes the listener.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	defer ln.Close()
	var conns sync.WaitGroup
	defer conns.Wait()
	connLimit := make(chan struct{}, maxConns)
	for {
		conn, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			if errors.Is(err, net.ErrClosed) {
				return trace.Wrap(err, "admin endpoint")
			}
			s.recorder.Count(CounterRefused, ReasonAccept, 1)
			time.Sleep(acceptRetryDelay)
			continue
		}
		select {
		case connLimit <- struct{}{}:
			conns.Go(func() {
				defer func() { <-connLimit }()
				s.serveConn(ctx, conn)
			})
		default:
			s.recorder.Count(CounterRefused, ReasonBusy, 1)
			_ = conn.Close()
		}
	}
}

// serveConn authenticates one connection and answers its calls until it or ctx ends.
func (s *Server) serveConn(ctx context.Context, raw net.Conn) {
	defer raw.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	conn := newAuthConn(raw)
	if reason := conn.serverHandshake(s.keys); reason != "" {
		s.recorder.Count(CounterRefused, reason, 1)
		return
	}
	handler := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(s.handle).SuppressErrClosed())
	rpc := jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(conn), handler, jsonrpc2.SetLogger(discardLogger{}))
	<-rpc.DisconnectNotify()
}

// discardLogger drops the log messages of the jsonrpc2 library, which contain what a client
// sent.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// handle dispatches a call to the method of the node.
func (s *Server) handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	switch req.Method {
	case MethodStatus:
		return handleCall(s, req, func(struct{}) (Status, error) { return s.node.Status(ctx) })
	case MethodDrain:
		return handleCall(s, req, func(p DrainParams) (DrainResult, error) { return s.node.Drain(ctx, p) })
	case MethodPushFile:
		return handleCall(s, req, func(p PushFileParams) (PushFileResult, error) { return s.node.PushFile(ctx, p) })
	case MethodMembers:
		return handleCall(s, req, func(p MembersParams) (MembersResult, error) { return s.node.Members(ctx, p) })
	case MethodExplainFlow:
		return handleCall(s, req, func(p ExplainFlowParams) (ExplainFlowResult, error) { return s.node.ExplainFlow(ctx, p) })
	}
	s.recorder.Count(CounterRefused, ReasonMethod, 1)
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + req.Method}
}

// handleCall decodes the parameters, refusing unknown fields, calls the method, and converts
// its trace error to a JSON-RPC error.
func handleCall[P, R any](s *Server, req *jsonrpc2.Request, method func(P) (R, error)) (any, error) {
	var params P
	if req.Params != nil {
		dec := json.NewDecoder(bytes.NewReader(*req.Params))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&params); err != nil {
			s.recorder.Count(CounterRefused, ReasonParams, 1)
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
	}
	result, err := method(params)
	if err == nil {
		return result, nil
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
