package wire

import (
	"encoding/hex"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

var (
	oldKey  = []byte("old-key-old-key-old-key-old-key!")
	nextKey = []byte("new-key-new-key-new-key-new-key!")
)

func newTestCodec(t testing.TB, id model.NodeID, inc model.Incarnation, keys ...[]byte) *Codec {
	t.Helper()
	c, err := New(Options{Self: id, Incarnation: inc, Keys: keys, MaxSenders: 64, SequenceCounters: 64})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func mustSeal(t testing.TB, c *Codec, to model.NodeID, m message.Message) []byte {
	t.Helper()
	out, err := c.Seal(nil, to, m)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// setNonZero sets every field of v to a value other than zero.
func setNonZero(v reflect.Value) {
	switch x := v.Addr().Interface().(type) {
	case *time.Time:
		*x = time.Date(2026, 3, 1, 12, 0, 0, 123456789, time.UTC)
		return
	case *netip.AddrPort:
		*x = netip.MustParseAddrPort("[2001:db8::1]:80")
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			setNonZero(v.Field(i))
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		setNonZero(v.Index(0))
		setNonZero(v.Index(1))
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		setNonZero(key)
		setNonZero(value)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		setNonZero(v.Elem())
	case reflect.String:
		v.SetString("dispatch")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(0.3)
	default:
		if v.CanInt() {
			v.SetInt(7)
		} else {
			v.SetUint(7)
		}
	}
}

// Guards against a kind that cannot be sent, and against a message field that is
// lost in encoding or decoding.
func TestEveryMessageRoundTrips(t *testing.T) {
	a, b := newTestCodec(t, "a", 5, oldKey), newTestCodec(t, "b", 1, oldKey)
	var seqs [numStreams]uint64
	for typ, k := range kinds {
		v := reflect.New(typ).Elem()
		setNonZero(v)
		t.Run(typ.Name(), func(t *testing.T) {
			is := is.New(t)
			is.True(decoders[k] != nil)
			st := streamOf(true, k)
			seqs[st]++
			env, err := b.Open(mustSeal(t, a, "b", v.Interface().(message.Message)))
			is.NoErr(err)
			is.Equal(env, Envelope{From: "a", Incarnation: 5, Seq: seqs[st], Msg: v.Interface().(message.Message)})
		})
	}
}

// Guards against accepting a datagram that must be dropped, against dropping it
// with the wrong reason, and against a forged datagram that advances the replay
// window.
func TestRefusals(t *testing.T) {
	probe := message.Probe{ID: 9}
	for _, c := range []struct {
		name string
		want error
		data func(a, b *Codec) []byte
	}{
		{"changed content", ErrMAC, func(a, b *Codec) []byte { d := mustSeal(t, a, "b", probe); d[12] ^= 1; return d }},
		{"forged far sequence", ErrMAC, func(a, b *Codec) []byte {
			counter := a.seqs.counter("b", streamControl)
			counter.Add(5000)
			d := mustSeal(t, a, "b", probe)
			counter.Store(0)
			d[len(d)-1] ^= 1
			return d
		}},
		{"cut off", ErrMAC, func(a, b *Codec) []byte { d := mustSeal(t, a, "b", probe); return d[:len(d)-1] }},
		{"short", ErrMalformed, func(a, b *Codec) []byte { return mustSeal(t, a, "b", probe)[:20] }},
		{"other key", ErrKey, func(a, b *Codec) []byte { return mustSeal(t, newTestCodec(t, "a", 5, nextKey), "b", probe) }},
		{"older version", ErrVersionOlder, func(a, b *Codec) []byte { d, _ := a.seal(nil, Version-1, "b", kindProbe, probe); return d }},
		{"newer version", ErrVersionNewer, func(a, b *Codec) []byte { d, _ := a.seal(nil, Version+1, "b", kindProbe, probe); return d }},
		{"unknown kind", ErrKind, func(a, b *Codec) []byte { d, _ := a.seal(nil, Version, "b", 200, probe); return d }},
		{"body of another type", ErrMalformed, func(a, b *Codec) []byte { d, _ := a.seal(nil, Version, "b", kindProbe, "text"); return d }},
		{"another version's array", ErrVersionOlder, func(a, b *Codec) []byte {
			d, _ := a.seal(nil, Version-1, "b", kindProbe, probe)
			d[0]--
			return d
		}},
		{"another array", ErrMalformed, func(a, b *Codec) []byte { d := mustSeal(t, a, "b", probe); d[0]--; return d }},
		{"for another process", ErrRecipient, func(a, b *Codec) []byte { return mustSeal(t, a, "c", probe) }},
		{"for no process", ErrRecipient, func(a, b *Codec) []byte { d, _ := a.seal(nil, Version, "", kindProbe, probe); return d }},
		{"recipient changed on the way", ErrMAC, func(a, b *Codec) []byte {
			d := mustSeal(t, a, "c", probe)
			d[2+keyIDSize+1] = 'b'
			return d
		}},
		{"own message", ErrSelf, func(a, b *Codec) []byte { return mustSeal(t, b, "a", probe) }},
		{"replay", ErrReplay, func(a, b *Codec) []byte { d := mustSeal(t, a, "b", probe); _, _ = b.Open(d); return d }},
		{"stale incarnation", ErrStale, func(a, b *Codec) []byte {
			d := mustSeal(t, a, "b", probe)
			a.SetIncarnation(6)
			_, _ = b.Open(mustSeal(t, a, "b", probe))
			return d
		}},
		{"too large", ErrTooLarge, func(a, b *Codec) []byte { return make([]byte, MaxDatagram+1) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a, b := newTestCodec(t, "a", 5, oldKey), newTestCodec(t, "b", 1, oldKey)
			env, err := b.Open(c.data(a, b))
			is.Equal(err, c.want)
			is.Equal(env, Envelope{})
			_, err = b.Open(mustSeal(t, a, "b", probe))
			is.NoErr(err) // the sender's next message is accepted
		})
	}
}

// Guards against a node that cannot contact a seed before it knows its node id,
// and against other kinds without a recipient, which any process would accept.
func TestUnaddressedKinds(t *testing.T) {
	a, b, c := newTestCodec(t, "a", 5, oldKey), newTestCodec(t, "b", 1, oldKey), newTestCodec(t, "c", 1, oldKey)
	for typ, k := range kinds {
		t.Run(typ.Name(), func(t *testing.T) {
			is := is.New(t)
			m := reflect.Zero(typ).Interface().(message.Message)
			d, err := a.Seal(nil, "", m)
			if k != kindDigest && k != kindHeartbeat {
				is.Equal(err, error(ErrRecipient))
				return
			}
			is.NoErr(err)
			for _, to := range []*Codec{b, c} {
				env, err := to.Open(d)
				is.NoErr(err)
				is.Equal(env.Msg, m)
				_, err = to.Open(d)
				is.Equal(err, error(ErrReplay))
			}
		})
	}
	is := is.New(t)
	for _, to := range []string{strings.Repeat("c", MaxNodeIDSize+1), "\xff"} {
		_, err := a.Seal(nil, model.NodeID(to), message.Probe{})
		is.Equal(err, error(ErrRecipient))
	}
}

// Guards against a header that differs from the CBOR library's encoding, and
// against accepting two encodings of the same header.
func TestHeaderIsCBOR(t *testing.T) {
	is := is.New(t)
	c := newTestCodec(t, "a", 1, oldKey)
	for _, n := range []uint64{0, 23, 24, 255, 256, 65535, 65536, math.MaxUint32, math.MaxUint32 + 1, math.MaxUint64} {
		want, err := c.enc.Marshal(n)
		is.NoErr(err)
		is.Equal(appendHead(nil, majorUint, n), want)
		got, rest, ok := readHead(append(want, 7), majorUint)
		is.True(ok)
		is.Equal(got, n)
		is.Equal(rest, []byte{7})
		for cut := range want {
			_, _, ok = readHead(want[:cut], majorUint)
			is.True(!ok)
		}
	}
	for _, item := range []string{"1817", "1900ff", "1a0000ffff", "1b00000000ffffffff", "1c", "1f", "20"} {
		raw, err := hex.DecodeString(item)
		is.NoErr(err)
		_, _, ok := readHead(raw, majorUint)
		is.True(!ok)
	}
	long := strings.Repeat("é", 150)
	want, err := c.enc.Marshal(long)
	is.NoErr(err)
	is.Equal(appendText(nil, long), want)
	for _, name := range []string{"\xff", long} {
		_, _, ok := readHeader(appendHeader(nil, name, "a", 1, 1, kindProbe))
		is.True(!ok)
		_, _, ok = readHeader(appendHeader(nil, "b", name, 1, 1, kindProbe))
		is.True(!ok)
	}
	_, _, ok := readHeader(appendHeader(nil, "b", "", 1, 1, kindProbe))
	is.True(!ok)
}

// Guards against accepting message bodies that a strict decoder must refuse.
func TestStrictCBOR(t *testing.T) {
	for _, body := range []string{
		"a2" + "01" + "01" + "01" + "02", // {1: 1, 1: 2}
		"bf" + "01" + "01" + "ff",        // indefinite length
		"a1" + "01" + "c101",             // tag
		"a1" + "01" + "01" + "00",        // bytes after the message
		"a1" + "01" + "20",               // a negative id
		strings.Repeat("81", 40) + "01",  // nesting
	} {
		is := is.New(t)
		raw, err := hex.DecodeString(body)
		is.NoErr(err)
		_, err = decoders[kindProbe](newTestCodec(t, "b", 1, oldKey).dec, raw)
		is.True(err != nil)
	}
	_, err := newTestCodec(t, "b", 1, oldKey).Seal(nil, "a", message.Heartbeat{Member: model.Member{Weight: math.NaN()}})
	is.New(t).Equal(err, error(ErrEncode))
}

// Guards against an upgrade that breaks communication with an older or newer
// release, whose messages of the same version have fewer or more fields.
func TestFieldsOfOtherReleases(t *testing.T) {
	is := is.New(t)
	a, b := newTestCodec(t, "a", 5, oldKey), newTestCodec(t, "b", 1, oldKey)
	newer, err := a.seal(nil, Version, "b", kindProbe, struct {
		ID    uint64   `cbor:"1,keyasint"`
		Path  uint8    `cbor:"2,keyasint"`
		Added []string `cbor:"99,keyasint"`
	}{9, 2, []string{"x"}})
	is.NoErr(err)
	env, err := b.Open(newer)
	is.NoErr(err)
	is.Equal(env.Msg, message.Probe{ID: 9, Path: 2})
	older, err := a.seal(nil, Version, "b", kindProbe, struct {
		ID uint64 `cbor:"1,keyasint"`
	}{9})
	is.NoErr(err)
	env, err = b.Open(older)
	is.NoErr(err)
	is.Equal(env.Msg, message.Probe{ID: 9})
}

// Guards against a key rotation during which two nodes refuse each other's
// messages.
func TestKeyRotation(t *testing.T) {
	is := is.New(t)
	a, b := newTestCodec(t, "a", 1, oldKey), newTestCodec(t, "b", 1, oldKey, nextKey)
	steps := [][][]byte{{oldKey, nextKey}, {nextKey, oldKey}, {nextKey}}
	for _, keys := range steps {
		is.NoErr(a.SetKeys(keys))
		_, err := b.Open(mustSeal(t, a, "b", message.FlowAck{Seq: 1}))
		is.NoErr(err)
		_, err = a.Open(mustSeal(t, b, "a", message.FlowAck{Seq: 1}))
		is.NoErr(err)
		is.NoErr(b.SetKeys(keys))
	}
	_, err := b.Open(mustSeal(t, newTestCodec(t, "c", 1, oldKey), "b", message.FlowAck{}))
	is.Equal(err, error(ErrKey))
}

// Guards against keys in logs and in status output.
func TestKeysAreNeverPrinted(t *testing.T) {
	is := is.New(t)
	o := Options{Self: "a", Keys: [][]byte{oldKey, oldKey}}
	_, err := New(o)
	is.True(err != nil) // the same key is configured twice
	o.Keys[1] = oldKey[:8]
	_, errShort := New(o)
	is.True(errShort != nil)
	out := fmt.Sprintf("%v %+v %#v %s %x %d", o, &o, o, o, o, o) +
		fmt.Sprintf("%+v %#v %x", newTestCodec(t, "a", 1, oldKey), newTestCodec(t, "a", 1, oldKey), newTestCodec(t, "a", 1, oldKey)) +
		fmt.Sprintf("%+v %+v", err, errShort)
	for _, form := range []string{"old-key", hex.EncodeToString(oldKey[:8]), strings.Trim(fmt.Sprint(oldKey[:8]), "[]")} {
		is.True(!strings.Contains(out, form))
	}
}

// Guards against a size limit that refuses a packet that fits, or accepts one
// that does not.
func TestLargestForward(t *testing.T) {
	is := is.New(t)
	a, b := newTestCodec(t, model.NodeID(strings.Repeat("a", MaxNodeIDSize)), math.MaxUint64, oldKey), newTestCodec(t, model.NodeID(strings.Repeat("b", MaxNodeIDSize)), 1, oldKey)
	a.seqs.counter(b.self, streamForward).Store(math.MaxUint64 - 4)
	m := message.Forward{Service: "dispatch", Hops: 3}
	empty, err := a.enc.Marshal(m)
	is.NoErr(err)
	m.Packet = make([]byte, MaxBody-len(empty)-4) // 4 bytes for the key and head of the byte string
	d := mustSeal(t, a, b.self, m)
	is.Equal(len(d), MaxDatagram-1) // a kind below 24 takes 1 of the 2 bytes reserved for it
	_, err = b.Open(d)
	is.NoErr(err)
	m.Packet = append(m.Packet, 0)
	prefix := []byte("kept")
	out, err := a.Seal(prefix, b.self, m)
	is.Equal(err, error(ErrTooLarge))
	is.Equal(out, prefix)
}

// Guards against dropping authentic messages as replays when a sender has many
// recipients, or many packets in flight to one: the packets that a balancer sends
// within 40 ms, at 100,000/s, arrive in any order.
func TestReorderedMessagesAreNotReplays(t *testing.T) {
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(3, 4))
	a, err := New(Options{Self: "a", Incarnation: 1, Keys: [][]byte{oldKey}})
	is.NoErr(err)
	b := newTestCodec(t, "b", 1, oldKey)
	var datagrams [][]byte
	for i := range uint64(4000) {
		if i%50 == 0 { // 80 control messages between the packets
			datagrams = append(datagrams, mustSeal(t, a, "b", message.Probe{ID: i}))
		}
		if i%1000 == 0 {
			datagrams = append(datagrams, mustSeal(t, a, "", message.Digest{}))
		}
		datagrams = append(datagrams, mustSeal(t, a, "b", message.Forward{ViewHash: i}))
		mustSeal(t, a, model.NodeID(fmt.Sprint("other-", i)), message.Probe{ID: i})
		mustSeal(t, a, model.NodeID(fmt.Sprint("other-", i)), message.Forward{})
	}
	rnd.Shuffle(len(datagrams), func(i, j int) { datagrams[i], datagrams[j] = datagrams[j], datagrams[i] })
	for _, d := range datagrams {
		_, err := b.Open(d)
		is.NoErr(err)
	}
	for _, d := range datagrams {
		_, err := b.Open(d)
		is.Equal(err, error(ErrReplay))
	}
}

// Guards against sequences that restart or repeat for a recipient because the
// number of counters is bounded.
func TestSequencesNeverRepeat(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{1, 3} {
		s := make(sequences, n)
		last := map[string]uint64{}
		for i := range 10_000 {
			to, st := model.NodeID(fmt.Sprint(i*i%97)), stream(i%int(numStreams))
			seq, key := s.next(to, st), fmt.Sprint(to, st)
			is.True(seq > last[key])
			last[key] = seq
		}
	}
}

// Guards against data races and duplicate sequences. Run with -race.
func TestConcurrentUse(t *testing.T) {
	is := is.New(t)
	a, b := newTestCodec(t, "a", 1, oldKey), newTestCodec(t, "b", 1, oldKey)
	var wg sync.WaitGroup
	errs := make(chan error, 8*50)
	for range 8 {
		wg.Go(func() {
			for range 50 { // 400 in total, fewer than the window, so any order is accepted
				d, err := a.Seal(nil, "b", message.FlowAck{Seq: 3})
				if err == nil {
					_, err = b.Open(d)
				}
				errs <- err
			}
		})
	}
	wg.Wait()
	close(errs)
	for err := range errs {
		is.NoErr(err)
	}
}

// Guards against panics on unauthenticated and on authenticated input, and
// against an error without a drop reason.
func FuzzOpen(f *testing.F) {
	a := newTestCodec(f, "a", 5, oldKey)
	for typ := range kinds {
		v := reflect.New(typ).Elem()
		setNonZero(v)
		d := mustSeal(f, a, "b", v.Interface().(message.Message))
		f.Add(d[:len(d)-macSize])
	}
	f.Fuzz(func(t *testing.T, signed []byte) {
		b := newTestCodec(t, "b", 1, oldKey)
		for _, d := range [][]byte{signed, b.keys.Load().signingKey().appendMAC(append([]byte(nil), signed...), signed)} {
			env, err := b.Open(d)
			if err == nil {
				if _, err := b.Seal(nil, "a", env.Msg); err != nil && err != ErrTooLarge {
					t.Fatalf("opened message %T cannot be sealed: %v", env.Msg, err)
				}
			} else if _, ok := err.(Error); !ok {
				t.Fatalf("error %T has no drop reason", err)
			}
		}
	})
}
