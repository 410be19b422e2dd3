// Package wire encodes peer messages as authenticated CBOR datagrams. It refuses
// datagrams that are forged, replayed, stale or of another format version.
//
// A datagram is the CBOR array [version, key id, recipient, sender, incarnation,
// sequence, kind, body] followed by its MAC. Fields may be added to a message
// without a new version: a receiver ignores unknown fields and leaves missing
// ones at their zero value. Any other change needs a new version.
//
// In every version a datagram starts with the one-byte head of an array and a
// one-byte version, so that a receiver can count the datagrams of other versions.
package wire

import (
	"bytes"
	"fmt"
	"sync"
	"sync/atomic"
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// Version is the format version that a Codec writes and accepts. Version 1 had no
// recipient.
const Version = 2

const (
	// MaxDatagram is the largest UDP payload over IPv4.
	MaxDatagram = 65507
	// MaxNodeIDSize bounds the length of a NodeID in bytes.
	MaxNodeIDSize = 128
	// MaxBody bounds an encoded body, so that it fits a datagram whatever the node ids.
	MaxBody = MaxDatagram - macSize - maxHeaderSize

	// maxHeaderSize bounds the bytes before the body: array head, version, key id,
	// recipient and sender with 2-byte heads, incarnation, sequence and kind.
	maxHeaderSize = 1 + 1 + keyIDSize + 2*(2+MaxNodeIDSize) + 9 + 9 + 2

	arrayLen         = 8 // of the array
	arrayInitialByte = majorArray | arrayLen

	// maxArrayElements admits a digest of 7,278 bucket hashes, which fills a datagram.
	// Decoded elements may be larger than encoded ones, so it also bounds memory.
	maxArrayElements = 8192
	maxMapPairs      = 1024
	maxNesting       = 8
)

// Options configures a Codec. Formatting it never shows the keys.
type Options struct {
	Self        model.NodeID
	Incarnation model.Incarnation
	// Keys holds one key, or two during a key rotation. The first one signs.
	Keys [][]byte
	// MaxSenders bounds the senders with a replay window, DefaultMaxSenders if 0.
	MaxSenders int
	// SequenceCounters is the number of sequence counters, DefaultSequenceCounters if
	// 0. Recipients beyond that number share counters, and each replay window then
	// covers fewer messages of one recipient.
	SequenceCounters int
}

// DefaultSequenceCounters covers the planned 59,000 agents, at 8 bytes each.
const DefaultSequenceCounters = 1 << 16

// DefaultMaxSenders covers the planned 12,000 balancers and several days of
// replaced VMs. A sender takes about 300 bytes, or 870 if it forwards packets:
// 10.5 MB for 12,000 balancers, 57 MB for a full table.
const DefaultMaxSenders = 1 << 16

// Format implements fmt.Formatter, so that no verb prints the keys.
func (o Options) Format(f fmt.State, _ rune) {
	fmt.Fprintf(f, "wire options of %q with %d keys", string(o.Self), len(o.Keys))
}

// Envelope is an authenticated message with its sender.
type Envelope struct {
	From        model.NodeID
	Incarnation model.Incarnation
	Seq         uint64
	Msg         message.Message
}

// Codec seals and opens the datagrams of one process. It is safe for use by
// several goroutines.
type Codec struct {
	self        model.NodeID
	incarnation atomic.Uint64
	seqs        sequences
	keys        atomic.Pointer[keySet]
	enc         cbor.UserBufferEncMode
	dec         cbor.DecMode
	replay      *replayTable
	buffers     sync.Pool
}

// New returns a codec.
func New(o Options) (*Codec, error) {
	if o.Self == "" || len(o.Self) > MaxNodeIDSize || !utf8.ValidString(string(o.Self)) {
		return nil, trace.BadParameter("node id %q must be 1 to %d bytes of UTF-8", string(o.Self), MaxNodeIDSize)
	}
	if o.MaxSenders <= 0 {
		o.MaxSenders = DefaultMaxSenders
	}
	if o.SequenceCounters <= 0 {
		o.SequenceCounters = DefaultSequenceCounters
	}
	enc, err := cbor.EncOptions{
		Sort:        cbor.SortBytewiseLexical,
		Time:        cbor.TimeRFC3339Nano,  // floating-point times lose precision
		NaNConvert:  cbor.NaNConvertReject, // receivers refuse NaN and infinity
		InfConvert:  cbor.InfConvertReject,
		IndefLength: cbor.IndefLengthForbidden,
		TagsMd:      cbor.TagsForbidden,
	}.UserBufferEncMode()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	dec, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:   maxNesting,
		MaxArrayElements:  maxArrayElements,
		MaxMapPairs:       maxMapPairs,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		FieldNameMatching: cbor.FieldNameMatchingCaseSensitive,
		NaN:               cbor.NaNDecodeForbidden,
		Inf:               cbor.InfDecodeForbidden,
	}.DecMode()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	c := &Codec{self: o.Self, enc: enc, dec: dec, replay: newReplayTable(o.MaxSenders), seqs: make(sequences, o.SequenceCounters)}
	c.buffers.New = func() any { return new(bytes.Buffer) }
	c.incarnation.Store(uint64(o.Incarnation))
	if err := c.SetKeys(o.Keys); err != nil {
		return nil, trace.Wrap(err)
	}
	return c, nil
}

// Format implements fmt.Formatter, so that no verb prints the keys.
func (c *Codec) Format(f fmt.State, _ rune) { fmt.Fprintf(f, "wire codec of %q", string(c.self)) }

// SetKeys replaces the accepted keys during a key rotation.
func (c *Codec) SetKeys(keys [][]byte) error {
	ks, err := newKeySet(keys)
	if err != nil {
		return trace.Wrap(err)
	}
	c.keys.Store(ks)
	return nil
}

// SetIncarnation raises the incarnation of the messages sealed from now on. A
// lower value is ignored, because peers would refuse the messages as stale.
func (c *Codec) SetIncarnation(inc model.Incarnation) {
	for {
		old := c.incarnation.Load()
		if uint64(inc) <= old || c.incarnation.CompareAndSwap(old, uint64(inc)) {
			return
		}
	}
}

// Senders returns the number of senders with a replay window and how many were
// evicted to stay within MaxSenders.
func (c *Codec) Senders() (tracked int, evicted uint64) { return c.replay.stats() }

// Seal appends to dst the datagram of m for the recipient to. Other nodes refuse
// it. If m is a Digest or a Heartbeat, the recipient may be empty, for a seed
// whose node id is not known yet. On error dst is returned unchanged.
func (c *Codec) Seal(dst []byte, to model.NodeID, m message.Message) ([]byte, error) {
	kind, ok := kindOf(m)
	if !ok {
		return dst, ErrKind
	}
	if to == "" && !kind.mayOmitRecipient() || len(to) > MaxNodeIDSize || !utf8.ValidString(string(to)) {
		return dst, ErrRecipient
	}
	return c.seal(dst, Version, to, kind, m)
}

func (c *Codec) seal(dst []byte, version uint8, to model.NodeID, k kind, body any) ([]byte, error) {
	key := c.keys.Load().signingKey()
	buf := c.buffers.Get().(*bytes.Buffer)
	defer c.buffers.Put(buf)
	buf.Reset()
	if err := c.enc.MarshalToBuffer(body, buf); err != nil {
		return dst, ErrEncode
	}
	if buf.Len() > MaxBody {
		return dst, ErrTooLarge
	}
	start := len(dst)
	dst = append(dst, arrayInitialByte, version)
	dst = append(dst, key.id[:]...)
	dst = appendHeader(dst, string(to), string(c.self), c.incarnation.Load(), c.seqs.next(to, streamOf(to != "", k)), k)
	dst = append(dst, buf.Bytes()...)
	return key.appendMAC(dst, dst[start:]), nil
}

// Open authenticates and decodes a datagram and does not retain it. It returns an
// Error if it refuses the datagram; without a valid MAC, no state changes.
func (c *Codec) Open(datagram []byte) (Envelope, error) {
	signed, err := c.authenticate(datagram)
	if err != nil {
		return Envelope{}, err
	}
	h, body, ok := readHeader(signed[2+keyIDSize:])
	if !ok {
		return Envelope{}, ErrMalformed
	}
	switch {
	case string(h.from) == string(c.self):
		return Envelope{}, ErrSelf
	case len(h.to) == 0 && !h.kind.mayOmitRecipient(), len(h.to) > 0 && string(h.to) != string(c.self):
		return Envelope{}, ErrRecipient
	}
	from, err := c.replay.accept(h.from, model.Incarnation(h.incarnation), streamOf(len(h.to) > 0, h.kind), h.seq)
	if err != nil {
		return Envelope{}, err
	}
	decode := decoders[h.kind]
	if decode == nil {
		return Envelope{}, ErrKind
	}
	m, err := decode(c.dec, body)
	if err != nil {
		return Envelope{}, ErrMalformed
	}
	return Envelope{From: from, Incarnation: model.Incarnation(h.incarnation), Seq: h.seq, Msg: m}, nil
}

// Superseding returns the sender of a datagram that Open refused with ErrStale, and the
// highest incarnation of that sender that was accepted. It returns 0 if the sender is
// no longer known.
func (c *Codec) Superseding(datagram []byte) (from model.NodeID, accepted model.Incarnation) {
	signed, err := c.authenticate(datagram)
	if err != nil {
		return "", 0
	}
	h, _, ok := readHeader(signed[2+keyIDSize:])
	if !ok {
		return "", 0
	}
	return c.replay.incarnation(h.from)
}

// authenticate checks size, version and MAC and returns the signed part. Version
// and key id have fixed offsets, so no CBOR is decoded before the MAC is verified.
func (c *Codec) authenticate(datagram []byte) ([]byte, error) {
	switch {
	case len(datagram) > MaxDatagram:
		return nil, ErrTooLarge
	case len(datagram) < 2+keyIDSize+macSize || datagram[0]&majorMask != majorArray:
		return nil, ErrMalformed
	case datagram[1] < Version:
		return nil, ErrVersionOlder
	case datagram[1] > Version:
		return nil, ErrVersionNewer
	case datagram[0] != arrayInitialByte:
		return nil, ErrMalformed
	}
	signed, mac := datagram[:len(datagram)-macSize], datagram[len(datagram)-macSize:]
	key := c.keys.Load().find([keyIDSize]byte(signed[2:]))
	if key == nil {
		return nil, ErrKey
	}
	if !key.verify(signed, mac) {
		return nil, ErrMAC
	}
	return signed, nil
}
