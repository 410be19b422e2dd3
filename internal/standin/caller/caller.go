// Package caller is a stand-in for the users of a service: an ordinary net/http
// client whose connections run over the fabric, packet by packet.
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

// Caller has one IP address.
type Caller struct {
	Addr netip.Addr

	fabric *fabric.Fabric
	stack  *netstack.Stack
}

// New attaches a caller to the fabric.
func New(f *fabric.Fabric, addr netip.Addr) (*Caller, error) {
	return NewWithKeepalive(f, addr, netstack.Keepalive{})
}

// NewWithKeepalive attaches a caller with its own TCP keepalive to the fabric.
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

// Client returns an HTTP client whose requests go over the fabric. With
// keepAlive a connection serves several requests.
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

// Close ends the caller's connections without a word to the other side, as a
// device that loses power does.
func (c *Caller) Close() {
	c.fabric.Detach(c.Addr)
	c.stack.Close()
}
