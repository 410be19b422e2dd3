package membership

import (
	"net/netip"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/replica"
)

// record is the compact form in which a model.Member is stored: the ID and version
// are in the replica's entry, the three addresses normally share one IP address, and
// rarely used fields are behind a pointer. A model.Member takes 248 of the 256 bytes
// that a balancer may use in all for each target.
type record struct {
	dc          model.DataCentre
	service     model.ServiceName
	ip          netip.Addr
	weight      float64
	started     time.Duration // since the origin of the codec, 0 if unset
	extra       *recordExtra
	slots       int32
	maxFlows    int32
	peerPort    uint16
	requestPort uint16
	adminPort   uint16
	kind        model.Kind
	state       model.State
}

type recordExtra struct {
	heldAddrs              []model.ServiceAddr
	requestAddr, adminAddr netip.AddrPort
}

// recordCodec converts members to records and back. It deduplicates the names of data
// centres, but not of services: most services have one or two targets, so that would
// cost more than it saves.
type recordCodec struct {
	names  map[string]string
	origin time.Time // of record.started
}

func newRecordCodec() recordCodec { return recordCodec{names: map[string]string{}} }

func (c *recordCodec) intern(s string) string {
	if t, ok := c.names[s]; ok {
		return t
	}
	c.names[s] = s
	return s
}

func (c *recordCodec) pack(m *model.Member) replica.Entry[record] {
	r := record{
		dc:          model.DataCentre(c.intern(string(m.DC))),
		service:     m.Service,
		ip:          m.PeerAddr.Addr(),
		weight:      m.Weight,
		slots:       int32(m.Slots),
		maxFlows:    int32(m.MaxFlows),
		peerPort:    m.PeerAddr.Port(),
		requestPort: m.RequestAddr.Port(),
		adminPort:   m.AdminAddr.Port(),
		kind:        m.Kind,
		state:       m.State,
	}
	if !m.Started.IsZero() {
		if r.started = m.Started.Sub(c.origin); r.started == 0 {
			r.started = 1
		}
	}
	onPeerIP := func(a netip.AddrPort) bool { return !a.IsValid() || a.Addr() == r.ip }
	if len(m.HeldAddrs) > 0 || !onPeerIP(m.RequestAddr) || !onPeerIP(m.AdminAddr) {
		r.extra = &recordExtra{heldAddrs: m.HeldAddrs, requestAddr: m.RequestAddr, adminAddr: m.AdminAddr}
	}
	return replica.Entry[record]{
		Key:     string(m.ID),
		Version: replica.Version{Hi: uint64(m.Incarnation), Lo: m.Seq, Rank: uint8(m.State)},
		Deleted: m.State == model.StateGone,
		Value:   r,
	}
}

func (c *recordCodec) unpack(e replica.Entry[record]) model.Member {
	r := &e.Value
	m := model.Member{
		ID: model.NodeID(e.Key), Kind: r.kind, DC: r.dc, Service: r.service,
		Incarnation: model.Incarnation(e.Version.Hi), Seq: e.Version.Lo, State: r.state,
		Slots: int(r.slots), MaxFlows: int(r.maxFlows), Weight: r.weight,
	}
	addr := func(port uint16) netip.AddrPort {
		if port == 0 || !r.ip.IsValid() {
			return netip.AddrPort{}
		}
		return netip.AddrPortFrom(r.ip, port)
	}
	m.PeerAddr, m.RequestAddr, m.AdminAddr = addr(r.peerPort), addr(r.requestPort), addr(r.adminPort)
	if r.extra != nil {
		m.HeldAddrs, m.RequestAddr, m.AdminAddr = r.extra.heldAddrs, r.extra.requestAddr, r.extra.adminAddr
	}
	if r.started != 0 {
		m.Started = c.origin.Add(r.started)
	}
	return m
}

// validMember reports whether a record from the network can be stored.
func validMember(m *model.Member) bool {
	return m.ID != "" && m.DC != "" && m.Incarnation > 0 &&
		(m.Kind == model.KindBalancer || m.Kind == model.KindAgent) &&
		m.State >= model.StateActive && m.State <= model.StateGone
}

// memberSize estimates the encoded size of a record in bytes.
func memberSize(m model.Member) int {
	return 80 + len(m.ID) + len(m.DC) + len(m.Service) + 24*len(m.HeldAddrs)
}

func (c *recordCodec) size(e replica.Entry[record]) int { return memberSize(c.unpack(e)) }
