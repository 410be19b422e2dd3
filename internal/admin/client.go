package admin

import (
	"context"
	"errors"
	"net"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/bulrushshelf/bulrushshelf/internal/settings"
)

// Client is a connection to a node. It is itself a Node.
type Client struct {
	rpc *jsonrpc2.Conn
}

var _ Node = (*Client)(nil)

// Dial connects to the admin address of a node. ctx bounds the connection
// attempt; each call has its own.
func Dial(ctx context.Context, addr string, key settings.Secret) (*Client, error) {
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "connecting to %s", addr)
	}
	conn := newAuthConn(raw)
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	err = conn.handshake(key)
	if !stop() && err == nil {
		err = trace.ConnectionProblem(ctx.Err(), "connecting to %s", addr)
	}
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	handler := jsonrpc2.HandlerWithError(refuse)
	return &Client{jsonrpc2.NewConn(context.Background(), jsonrpc2.NewPlainObjectStream(conn), handler, jsonrpc2.SetLogger(silent{}))}, nil
}

func refuse(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "a client serves no methods"}
}

// Close closes the connection.
func (c *Client) Close() error { return trace.Wrap(c.rpc.Close()) }

func do[R any](ctx context.Context, c *Client, method string, params any) (R, error) {
	var r R
	err := c.rpc.Call(ctx, method, params, &r)
	var e *jsonrpc2.Error
	switch {
	case err == nil:
		return r, nil
	case !errors.As(err, &e):
		return r, trace.ConnectionProblem(err, "call of %s", method)
	}
	switch e.Code {
	case jsonrpc2.CodeInvalidParams:
		return r, trace.BadParameter("%s", e.Message)
	case codeNotFound:
		return r, trace.NotFound("%s", e.Message)
	case codeNotImplemented, jsonrpc2.CodeMethodNotFound:
		return r, trace.NotImplemented("%s", e.Message)
	case codeUnavailable:
		return r, trace.ConnectionProblem(nil, "%s", e.Message)
	}
	return r, trace.Errorf("%s", e.Message)
}

// Status calls Node.Status.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return do[Status](ctx, c, MethodStatus, struct{}{})
}

// Drain calls Node.Drain.
func (c *Client) Drain(ctx context.Context, p DrainParams) (DrainResult, error) {
	return do[DrainResult](ctx, c, MethodDrain, p)
}

// PushFile calls Node.PushFile.
func (c *Client) PushFile(ctx context.Context, p PushFileParams) (PushFileResult, error) {
	return do[PushFileResult](ctx, c, MethodPushFile, p)
}

// Members calls Node.Members.
func (c *Client) Members(ctx context.Context, p MembersParams) (MembersResult, error) {
	return do[MembersResult](ctx, c, MethodMembers, p)
}

// ExplainFlow calls Node.ExplainFlow.
func (c *Client) ExplainFlow(ctx context.Context, p ExplainFlowParams) (ExplainFlowResult, error) {
	return do[ExplainFlowResult](ctx, c, MethodExplainFlow, p)
}
