package admin

import (
	"context"
	"errors"
	"net"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/bulrushshelf/bulrushshelf/internal/settings"
)

// Client calls the admin API of one node over one connection. It implements Node.
type Client struct {
	rpc *jsonrpc2.Conn
}

var _ Node = (*Client)(nil)

// Dial connects to the admin address of a node and authenticates both sides. ctx bounds only
// this; each call has its own context.
func Dial(ctx context.Context, addr string, key settings.Secret) (*Client, error) {
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "connecting to %s", addr)
	}
	conn := newAuthConn(raw)
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	err = conn.clientHandshake(key)
	if !stop() && err == nil {
		err = trace.ConnectionProblem(ctx.Err(), "connecting to %s", addr)
	}
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	handler := jsonrpc2.HandlerWithError(rejectCall)
	return &Client{jsonrpc2.NewConn(context.Background(), jsonrpc2.NewPlainObjectStream(conn), handler, jsonrpc2.SetLogger(discardLogger{}))}, nil
}

// rejectCall answers the calls that a node makes to a client.
func rejectCall(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "a client serves no methods"}
}

// Close closes the connection.
func (c *Client) Close() error { return trace.Wrap(c.rpc.Close()) }

// callMethod calls a method and converts its JSON-RPC error to the matching trace error.
func callMethod[R any](ctx context.Context, c *Client, method string, params any) (R, error) {
	var result R
	err := c.rpc.Call(ctx, method, params, &result)
	var rpcErr *jsonrpc2.Error
	switch {
	case err == nil:
		return result, nil
	case !errors.As(err, &rpcErr):
		return result, trace.ConnectionProblem(err, "call of %s", method)
	}
	switch rpcErr.Code {
	case jsonrpc2.CodeInvalidParams:
		return result, trace.BadParameter("%s", rpcErr.Message)
	case codeNotFound:
		return result, trace.NotFound("%s", rpcErr.Message)
	case codeNotImplemented, jsonrpc2.CodeMethodNotFound:
		return result, trace.NotImplemented("%s", rpcErr.Message)
	case codeUnavailable:
		return result, trace.ConnectionProblem(nil, "%s", rpcErr.Message)
	}
	return result, trace.Errorf("%s", rpcErr.Message)
}

// Status calls Node.Status.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return callMethod[Status](ctx, c, MethodStatus, struct{}{})
}

// Drain calls Node.Drain.
func (c *Client) Drain(ctx context.Context, p DrainParams) (DrainResult, error) {
	return callMethod[DrainResult](ctx, c, MethodDrain, p)
}

// PushFile calls Node.PushFile.
func (c *Client) PushFile(ctx context.Context, p PushFileParams) (PushFileResult, error) {
	return callMethod[PushFileResult](ctx, c, MethodPushFile, p)
}

// Members calls Node.Members.
func (c *Client) Members(ctx context.Context, p MembersParams) (MembersResult, error) {
	return callMethod[MembersResult](ctx, c, MethodMembers, p)
}

// ExplainFlow calls Node.ExplainFlow.
func (c *Client) ExplainFlow(ctx context.Context, p ExplainFlowParams) (ExplainFlowResult, error) {
	return callMethod[ExplainFlowResult](ctx, c, MethodExplainFlow, p)
}
