// Package caller is a stand-in for the callers of a service: a net/http client
// whose TCP connections are carried by the fabric as IP packets.
package caller

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"github.com/bulrushshelf/bulrushshelf/internal/netstack"
	"github.com/bulrushshelf/bulrushshelf/internal/standin/fabric"
)

const dialTimeout = 15 * time.Second

// Caller is a client host with one IP address.
type Caller struct {
	Addr netip.Addr

	fabric *fabric.Fabric
	stack  *netstack.Stack
}

// New returns a caller that is attached to the fabric.
func New(f *fabric.Fabric, addr netip.Addr) (*Caller, error) {
	return NewWithKeepalive(f, addr, netstack.Keepalive{})
}

// NewWithKeepalive is like New, with TCP keepalive settings.
func NewWithKeepalive(f *fabric.Fabric, addr netip.Addr, k netstack.Keepalive) (*Caller, error) {
	s, err := netstack.New(netstack.Options{Output: f.Send, Addrs: []netip.Addr{addr}, Keepalive: k})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	f.Attach(addr, s.Inject)
	return &Caller{Addr: addr, fabric: f, stack: s}, nil
}

// Dial opens a connection to a service.
func (c *Caller) Dial(ctx context.Context, service netip.AddrPort) (net.Conn, error) {
	return c.stack.Dial(ctx, service)
}

// Client returns an HTTP client whose requests are sent over the fabric. With
// keepAlive it reuses connections.
func (c *Caller) Client(keepAlive bool) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DisableKeepAlives:  !keepAlive,
		DisableCompression: true,
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			ap, err := netip.ParseAddrPort(addr)
			if err != nil {
				return nil, trace.Wrap(err)
			}
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			return c.stack.Dial(ctx, ap)
		},
	}}
}

// Close drops the caller's connections without FIN or RST, as if the host had lost
// power.
func (c *Caller) Close() {
	c.fabric.Detach(c.Addr)
	c.stack.Close()
}
