package route

import (
	"net/netip"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// addrList is a compact list of addresses, with 8 bytes per IPv4 address instead of 40. It is
// decoded only when a view changes.
type addrList string

// packAddrs encodes addrs in their order.
func packAddrs(addrs []model.ServiceAddr) addrList {
	var buf []byte
	for _, a := range addrs {
		head := len(buf)
		buf = append(buf, 0, byte(a.Proto))
		if b, err := a.Addr.AppendBinary(buf); err == nil { // never fails
			buf = b
		}
		buf[head] = byte(len(buf) - head)
	}
	return addrList(buf)
}

// unpack decodes the addresses.
func (l addrList) unpack() []model.ServiceAddr {
	var out []model.ServiceAddr
	for len(l) > 0 {
		n := int(l[0])
		var a netip.AddrPort
		if err := a.UnmarshalBinary([]byte(l[2:n])); err == nil {
			out = append(out, model.ServiceAddr{Addr: a, Proto: model.Protocol(l[1])})
		}
		l = l[n:]
	}
	return out
}
