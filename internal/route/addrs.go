package route

import (
	"net/netip"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// addrList is a list of addresses in 8 bytes each for IPv4 instead of 40. It is
// read only when a view changes.
type addrList string

// packAddrs returns the list of addrs in their order.
func packAddrs(addrs []model.ServiceAddr) addrList {
	var buf []byte
	for _, a := range addrs {
		at := len(buf)
		buf = append(buf, 0, byte(a.Proto))
		if b, err := a.Addr.AppendBinary(buf); err == nil { // it has no case that fails
			buf = b
		}
		buf[at] = byte(len(buf) - at)
	}
	return addrList(buf)
}

// list returns the addresses.
func (l addrList) list() []model.ServiceAddr {
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
