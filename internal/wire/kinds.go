package wire

import (
	"math"
	"reflect"

	"github.com/fxamacker/cbor/v2"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
)

// kind is the number of a message type in an envelope. Numbers are never reused.
type kind uint8

const (
	kindHeartbeat kind = iota + 1
	kindHeartbeatAck
	kindSlice
	kindMemberDelta
	kindSuspicion
	kindFileDelta
	kindDigest
	kindPull
	kindForward
	kindFlowQuery
	kindFlowAnswer
	kindFlowRegister
	kindFlowRelease
	kindFlowAck
	kindFlowHint
	kindLoadReport
	kindKeyBegin
	kindKeyReply
	kindKeyDone
	kindKeyDoneAck
	kindKeyCopy
	kindProbe
	kindProbeAck
	kindReserve
	kindReserveReply
	kindKeyPull
	kindSuperseded
)

// maxKind is the highest valid kind.
const maxKind = math.MaxUint8

// mayOmitRecipient reports whether messages of the kind may be sent to a seed
// whose node id is not known yet. A captured datagram without a recipient can be
// replayed once to every process. Member records and digests are versioned, so a
// replay does not overwrite newer state, but a replayed heartbeat delays the
// suspicion of a sender that crashed.
func (k kind) mayOmitRecipient() bool { return k == kindHeartbeat || k == kindDigest }

type decoder func(cbor.DecMode, []byte) (message.Message, error)

var decoders = map[kind]decoder{
	kindHeartbeat:    decode[message.Heartbeat],
	kindHeartbeatAck: decode[message.HeartbeatAck],
	kindSlice:        decode[message.Slice],
	kindMemberDelta:  decode[message.MemberDelta],
	kindSuspicion:    decode[message.Suspicion],
	kindFileDelta:    decode[message.FileDelta],
	kindDigest:       decode[message.Digest],
	kindPull:         decode[message.Pull],
	kindForward:      decode[message.Forward],
	kindFlowQuery:    decode[message.FlowQuery],
	kindFlowAnswer:   decode[message.FlowAnswer],
	kindFlowRegister: decode[message.FlowRegister],
	kindFlowRelease:  decode[message.FlowRelease],
	kindFlowAck:      decode[message.FlowAck],
	kindFlowHint:     decode[message.FlowHint],
	kindLoadReport:   decode[message.LoadReport],
	kindKeyBegin:     decode[message.KeyBegin],
	kindKeyReply:     decode[message.KeyReply],
	kindKeyDone:      decode[message.KeyDone],
	kindKeyDoneAck:   decode[message.KeyDoneAck],
	kindKeyCopy:      decode[message.KeyCopy],
	kindProbe:        decode[message.Probe],
	kindProbeAck:     decode[message.ProbeAck],
	kindReserve:      decode[message.Reserve],
	kindReserveReply: decode[message.ReserveReply],
	kindKeyPull:      decode[message.KeyPull],
	kindSuperseded:   decode[message.Superseded],
}

var kinds = map[reflect.Type]kind{
	reflect.TypeFor[message.Heartbeat]():    kindHeartbeat,
	reflect.TypeFor[message.HeartbeatAck](): kindHeartbeatAck,
	reflect.TypeFor[message.Slice]():        kindSlice,
	reflect.TypeFor[message.MemberDelta]():  kindMemberDelta,
	reflect.TypeFor[message.Suspicion]():    kindSuspicion,
	reflect.TypeFor[message.FileDelta]():    kindFileDelta,
	reflect.TypeFor[message.Digest]():       kindDigest,
	reflect.TypeFor[message.Pull]():         kindPull,
	reflect.TypeFor[message.Forward]():      kindForward,
	reflect.TypeFor[message.FlowQuery]():    kindFlowQuery,
	reflect.TypeFor[message.FlowAnswer]():   kindFlowAnswer,
	reflect.TypeFor[message.FlowRegister](): kindFlowRegister,
	reflect.TypeFor[message.FlowRelease]():  kindFlowRelease,
	reflect.TypeFor[message.FlowAck]():      kindFlowAck,
	reflect.TypeFor[message.FlowHint]():     kindFlowHint,
	reflect.TypeFor[message.LoadReport]():   kindLoadReport,
	reflect.TypeFor[message.KeyBegin]():     kindKeyBegin,
	reflect.TypeFor[message.KeyReply]():     kindKeyReply,
	reflect.TypeFor[message.KeyDone]():      kindKeyDone,
	reflect.TypeFor[message.KeyDoneAck]():   kindKeyDoneAck,
	reflect.TypeFor[message.KeyCopy]():      kindKeyCopy,
	reflect.TypeFor[message.Probe]():        kindProbe,
	reflect.TypeFor[message.ProbeAck]():     kindProbeAck,
	reflect.TypeFor[message.Reserve]():      kindReserve,
	reflect.TypeFor[message.ReserveReply](): kindReserveReply,
	reflect.TypeFor[message.KeyPull]():      kindKeyPull,
	reflect.TypeFor[message.Superseded]():   kindSuperseded,
}

func kindOf(m message.Message) (kind, bool) {
	k, ok := kinds[reflect.TypeOf(m)]
	return k, ok
}

func decode[M message.Message](dec cbor.DecMode, body []byte) (message.Message, error) {
	var m M
	if err := dec.Unmarshal(body, &m); err != nil {
		return nil, err
	}
	return m, nil
}
