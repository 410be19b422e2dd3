// Package wire encodes peer messages as authenticated CBOR datagrams and
// refuses what is forged, replayed, stale or of another format version.
//
// A datagram is the CBOR array [version, key id, sender, incarnation, sequence,
// kind, body] followed by a MAC of it. A message may gain fields without a new
// version: a receiver ignores fields that it does not know and leaves missing
// ones at their zero value. Anything else needs a new version.
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

// Version is the format version that a Codec writes and accepts.
const Version = 1

const (
	// MaxDatagram is the largest UDP payload over IPv4.
	MaxDatagram = 65507
	// MaxSenderID bounds the length of a NodeID in bytes.
	MaxSenderID = 128
	// MaxBody is the largest encoded body that fits a datagram of any sender.
	MaxBody = MaxDatagram - macSize - headSize

	// headSize bounds the bytes before the body: the array head, version, key
	// id, sender with a 2-byte head, incarnation, sequence and kind.
	headSize = 1 + 1 + keyIDSize + 2 + MaxSenderID + 9 + 9 + 2

	arrayHead = 0x87 // CBOR head of an array of 7 elements

	// maxElements admits a digest of 7,278 bucket hashes, which fill a datagram.
	// Every element may decode to a larger value, so memory is bounded by it.
	maxElements = 8192
	maxPairs    = 1024
	maxNesting  = 8
)

// Options configure a Codec. Formatting them never shows the keys.
type Options struct {
	Self        model.NodeID
	Incarnation model.Incarnation
	// Keys holds one key, or two during a key rotation. The first one signs.
	Keys [][]byte
	// MaxSenders bounds the senders whose sequences are remembered, by default
	// DefaultMaxSenders.
	MaxSenders int
}

// DefaultMaxSenders covers the balancers of the planned size and several days
// of replaced VMs at about 300 bytes each.
const DefaultMaxSenders = 1 << 16

// Format implements fmt.Formatter, so that no verb prints the keys.
func (o Options) Format(f fmt.State, _ rune) {
	fmt.Fprintf(f, "wire options of %q with %d keys", string(o.Self), len(o.Keys))
}

// Envelope is an authentic message with its sender.
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
	seq         atomic.Uint64
	keys        atomic.Pointer[keySet]
	enc         cbor.UserBufferEncMode
	dec         cbor.DecMode
	replay      *replayTable
	buffers     sync.Pool
}

// New returns a codec.
func New(o Options) (*Codec, error) {
	if o.Self == "" || len(o.Self) > MaxSenderID || !utf8.ValidString(string(o.Self)) {
		return nil, trace.BadParameter("node id %q must be 1 to %d bytes of UTF-8", string(o.Self), MaxSenderID)
	}
	if o.MaxSenders <= 0 {
		o.MaxSenders = DefaultMaxSenders
	}
	enc, err := cbor.EncOptions{
		Sort:        cbor.SortBytewiseLexical,
		Time:        cbor.TimeRFC3339Nano,  // the floating-point forms lose digits
		NaNConvert:  cbor.NaNConvertReject, // receivers refuse them
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
		MaxArrayElements:  maxElements,
		MaxMapPairs:       maxPairs,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		FieldNameMatching: cbor.FieldNameMatchingCaseSensitive,
		NaN:               cbor.NaNDecodeForbidden,
		Inf:               cbor.InfDecodeForbidden,
	}.DecMode()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	c := &Codec{self: o.Self, enc: enc, dec: dec, replay: newReplayTable(o.MaxSenders)}
	c.buffers.New = func() any { return new(bytes.Buffer) }
	c.incarnation.Store(uint64(o.Incarnation))
	if err := c.SetKeys(o.Keys); err != nil {
		return nil, trace.Wrap(err)
	}
	return c, nil
}

// Format implements fmt.Formatter, so that no verb prints the keys.
func (c *Codec) Format(f fmt.State, _ rune) { fmt.Fprintf(f, "wire codec of %q", string(c.self)) }

// SetKeys replaces the keys, as a key rotation does.
func (c *Codec) SetKeys(keys [][]byte) error {
	ks, err := newKeySet(keys)
	if err != nil {
		return trace.Wrap(err)
	}
	c.keys.Store(ks)
	return nil
}

// SetIncarnation raises the incarnation of the messages sealed from now on. A
// lower value than the current one has no effect, as peers would refuse it.
func (c *Codec) SetIncarnation(inc model.Incarnation) {
	for {
		old := c.incarnation.Load()
		if uint64(inc) <= old || c.incarnation.CompareAndSwap(old, uint64(inc)) {
			return
		}
	}
}

// Senders returns the number of senders whose sequences are remembered and how
// many were forgotten to stay within the bound.
func (c *Codec) Senders() (held int, evicted uint64) { return c.replay.stats() }

// Seal appends the datagram of m to dst. On an error dst is returned unchanged.
func (c *Codec) Seal(dst []byte, m message.Message) ([]byte, error) {
	kind, ok := kindOf(m)
	if !ok {
		return dst, ErrKind
	}
	return c.seal(dst, Version, kind, m)
}

func (c *Codec) seal(dst []byte, version uint8, k kind, body any) ([]byte, error) {
	key := c.keys.Load().signing()
	buf := c.buffers.Get().(*bytes.Buffer)
	defer c.buffers.Put(buf)
	buf.Reset()
	buf.WriteByte(arrayHead)
	buf.WriteByte(version)
	buf.Write(key.id[:])
	for _, field := range [...]any{string(c.self), c.incarnation.Load(), c.seq.Add(1), uint8(k)} {
		if err := c.enc.MarshalToBuffer(field, buf); err != nil {
			return dst, ErrEncode
		}
	}
	head := buf.Len()
	if err := c.enc.MarshalToBuffer(body, buf); err != nil {
		return dst, ErrEncode
	}
	if buf.Len()-head > MaxBody {
		return dst, ErrTooLarge
	}
	start := len(dst)
	dst = append(dst, buf.Bytes()...)
	return key.appendMAC(dst, dst[start:]), nil
}

// Open returns the message of a datagram, which it does not keep. A refusal is
// an Error; it changes nothing unless the MAC was right.
func (c *Codec) Open(datagram []byte) (Envelope, error) {
	signed, err := c.authenticate(datagram)
	if err != nil {
		return Envelope{}, err
	}
	var h struct {
		from             string
		incarnation, seq uint64
		kind             uint8
	}
	rest := signed[2+keyIDSize:]
	for _, field := range [...]any{&h.from, &h.incarnation, &h.seq, &h.kind} {
		if rest, err = c.dec.UnmarshalFirst(rest, field); err != nil {
			return Envelope{}, ErrMalformed
		}
	}
	if h.from == "" || len(h.from) > MaxSenderID {
		return Envelope{}, ErrMalformed
	}
	from := model.NodeID(h.from)
	if from == c.self {
		return Envelope{}, ErrSelf
	}
	if err := c.replay.accept(from, model.Incarnation(h.incarnation), h.seq); err != nil {
		return Envelope{}, err
	}
	decode := decoders[kind(h.kind)]
	if decode == nil {
		return Envelope{}, ErrKind
	}
	m, err := decode(c.dec, rest)
	if err != nil {
		return Envelope{}, ErrMalformed
	}
	return Envelope{From: from, Incarnation: model.Incarnation(h.incarnation), Seq: h.seq, Msg: m}, nil
}

// authenticate checks size, version and MAC and returns the signed part. The
// version and key id stand at fixed places, so no CBOR is decoded before the
// MAC is known to be right.
func (c *Codec) authenticate(datagram []byte) ([]byte, error) {
	switch {
	case len(datagram) > MaxDatagram:
		return nil, ErrTooLarge
	case len(datagram) < 2+keyIDSize+macSize || datagram[0] != arrayHead:
		return nil, ErrMalformed
	case datagram[1] < Version:
		return nil, ErrVersionOlder
	case datagram[1] > Version:
		return nil, ErrVersionNewer
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
