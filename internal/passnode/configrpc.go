package passnode

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/jsonrpc2"
)

// methodConfig is the jsonrpc2 method that returns a balancer's configuration. Other
// balancers call it when they cannot get the configuration from the store.
const methodConfig = "configuration"

// acceptRetryDelay is the pause after a failed Accept.
const acceptRetryDelay = 50 * time.Millisecond

// sharedConfig is the configuration that balancers exchange: the content and revision
// of the object in the store, and the decision files that override it.
type sharedConfig struct {
	Revision  uint64           `json:"revision"`
	Content   json.RawMessage  `json:"content,omitempty"`
	Decisions *sharedDecisions `json:"decisions,omitempty"`
}

// serveConfig serves the configuration to other balancers until ctx is done.
func (b *Balancer) serveConfig(ctx context.Context) error {
	ln, err := net.Listen("tcp4", b.opts.PeerAddr.String())
	if err != nil {
		return trace.Wrap(err, "TCP address %s", b.opts.PeerAddr)
	}
	return b.acceptConfigCalls(ctx, ln)
}

// acceptConfigCalls serves the connections of a listener until ctx is done. An error of
// one Accept, such as a lack of descriptors, does not end it.
func (b *Balancer) acceptConfigCalls(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	for {
		conn, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			if errors.Is(err, net.ErrClosed) {
				return trace.Wrap(err, "TCP address %s", b.opts.PeerAddr)
			}
			b.opts.Metrics.Count(CounterConfig, "accept_failed", 1)
			b.logViaLoop(ctx, "accept_failed", "err", err.Error())
			time.Sleep(acceptRetryDelay)
			continue
		}
		// A connection serves one call. The deadline closes it if the peer goes silent.
		_ = conn.SetDeadline(time.Now().Add(fetchTimeout))
		jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(conn), jsonrpc2.HandlerWithError(b.handleConfigCall))
	}
}

func (b *Balancer) handleConfigCall(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	if r.Method != methodConfig {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + r.Method}
	}
	var out sharedConfig
	if c := b.config.Load(); c != nil {
		out = *c
	}
	out.Decisions = b.decisions.Load()
	return out, nil
}

// fetchConfigs fetches and applies the configuration of each balancer the core requests.
func (b *Balancer) fetchConfigs(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case from := <-b.fetchRequests:
			c, err := fetchConfig(ctx, from.String())
			if err != nil {
				b.opts.Metrics.Count(CounterConfig, "fetch_failed", 1)
				b.logViaLoop(ctx, "configuration_fetch_failed", "peer", from.String(), "err", err.Error())
				continue
			}
			if c.Decisions != nil {
				b.applyDecisions(ctx, *c.Decisions, "peer", time.Time{})
			}
			if len(c.Content) > 0 {
				b.applyConfig(ctx, c.Revision, c.Content, "peer")
			}
		}
	}
}

func fetchConfig(ctx context.Context, peer string) (sharedConfig, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp4", peer)
	if err != nil {
		return sharedConfig{}, trace.Wrap(err)
	}
	_ = conn.SetDeadline(time.Now().Add(fetchTimeout))
	rpc := jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(conn), jsonrpc2.HandlerWithError(
		func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "this side only calls"}
		}))
	defer rpc.Close()
	var c sharedConfig
	return c, trace.Wrap(rpc.Call(ctx, methodConfig, struct{}{}, &c))
}
