package steerwire

import (
	"bytes"
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

var flow = model.Flow{
	Src: netip.MustParseAddrPort("100.64.0.7:40001"), Dst: netip.MustParseAddrPort("198.18.0.1:443"), Proto: model.TCP,
}

func messages() []Message {
	return []Message{
		{Kind: KindForward, Forward: Forward{Service: 7, Packet: []byte("p"), Terms: Terms{Priority: 2, Objective: 150 * time.Millisecond, Deadline: 1200 * time.Millisecond}}},
		{Kind: KindRefuse, Refuse: Refuse{Reason: ReasonFull, Service: 7, Packet: []byte("p")}},
		{Kind: KindOpened, Opened: Opened{Flow: flow}},
		{Kind: KindAsk, Ask: Ask{Questions: []Question{{Flow: flow, Ack: 5}}}},
		{Kind: KindAnswer, Answer: Answer{Verdicts: []Verdict{{Flow: flow, Holding: Unsure}}}},
		{Kind: KindFind, Ask: Ask{Questions: []Question{{Flow: flow}}}},
		{Kind: KindHints, Hints: Hints{Hints: []Hint{{Flow: flow, Target: flow.Dst}, {Flow: flow}}}},
		{Kind: KindHello, Hello: Hello{Node: "b", Incarnation: 1, Revision: 2, Agents: []netip.AddrPort{flow.Src}, WantAgents: true, Decisions: 5, DecisionDigest: 6, DataCentre: "dc"}},
		{Kind: KindReport, Report: Report{Node: "a", Incarnation: 1, Sequence: 2, Service: "s", State: TargetReady, Slots: 3, BusyCenti: 150, BornMillis: 9, Empty: true, FailingCenti: 40}},
	}
}

// Guards against fields that are lost between two processes.
func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	for _, m := range messages() {
		b, err := Append(nil, m)
		is.NoErr(err)
		got, err := Decode(b)
		is.NoErr(err)
		is.Equal(got, m)
		is.True(len(b) <= MaxMessage)
	}
}

// Guards against a datagram of another format or sender that is taken for a message.
func TestMalformed(t *testing.T) {
	is := is.New(t)
	good, err := Append(nil, messages()[0])
	is.NoErr(err)
	for _, b := range [][]byte{
		nil, {magic}, good[:headLen], good[:forwardLen-1], {magic, Format + 1, byte(KindHello)},
		{0, Format, byte(KindHello)}, {magic, Format, 99}, {magic, Format, byte(KindHello), 0xff},
	} {
		_, err := Decode(b)
		is.True(errors.Is(err, ErrMalformed))
	}
}

// Guards against lists that do not fit a datagram.
func TestLongestListsFit(t *testing.T) {
	is := is.New(t)
	addrs := make([]netip.AddrPort, MaxPeers)
	for i := range addrs {
		addrs[i] = flow.Src
	}
	b, err := Append(nil, Message{Kind: KindReport, Report: Report{Balancers: addrs}})
	is.NoErr(err)
	is.True(len(b) <= MaxMessage)
	questions := make([]Question, MaxQuestions)
	for i := range questions {
		questions[i] = Question{Flow: flow, Ack: 1 << 31}
	}
	b, err = Append(nil, Message{Kind: KindAsk, Ask: Ask{Questions: questions}})
	is.NoErr(err)
	is.True(len(b) <= MaxMessage)
	hints := make([]Hint, MaxQuestions)
	for i := range hints {
		hints[i] = Hint{Flow: flow, Target: netip.MustParseAddrPort("255.255.255.255:65535")}
	}
	b, err = Append(nil, Message{Kind: KindHints, Hints: Hints{Hints: hints}})
	is.NoErr(err)
	is.True(len(b) <= MaxMessage)
}

// Guards against searches that fill the link of a small balancer: 300 flows a second
// that are asked about at 50 agents may take half of 10 Mbit/s each way.
func TestQuestionsAreSmall(t *testing.T) {
	is := is.New(t)
	const budget = 10_000_000 / 8 / 2 / (300 * 50) // bytes for a question or a verdict
	var questions []Question
	var verdicts []Verdict
	for range MaxQuestions {
		questions = append(questions, Question{Flow: flow, Ack: 1 << 31})
		verdicts = append(verdicts, Verdict{Flow: flow, Holding: NotHeld})
	}
	for _, m := range []Message{{Kind: KindAsk, Ask: Ask{Questions: questions}}, {Kind: KindAnswer, Answer: Answer{Verdicts: verdicts}}} {
		b, err := Append(nil, m)
		is.NoErr(err)
		is.True(len(b) <= budget*MaxQuestions)
		for cut := headLen + 1; cut < len(b); cut++ {
			if _, err := Decode(b[:cut]); (cut-headLen)*MaxQuestions%(len(b)-headLen) != 0 {
				is.True(errors.Is(err, ErrMalformed)) // an entry is cut off
			}
		}
	}
	six := model.Flow{Src: netip.MustParseAddrPort("[fd00::1]:1"), Dst: netip.MustParseAddrPort("[fd00::2]:2"), Proto: model.TCP}
	m := Message{Kind: KindHints, Hints: Hints{Hints: []Hint{{Flow: six, Target: six.Dst}, {Flow: flow}}}}
	b, err := Append(nil, m)
	is.NoErr(err)
	got, err := Decode(b)
	is.NoErr(err)
	is.Equal(got, m)
}

func FuzzDecode(f *testing.F) {
	for _, m := range messages() {
		b, err := Append(nil, m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Decode(b)
		if err != nil {
			return
		}
		again, err := Append(nil, m)
		if err != nil {
			t.Fatal(err)
		}
		if m.Kind == KindForward && !bytes.Equal(m.Forward.Packet, b[forwardLen:]) {
			t.Fatal("the packet changed")
		}
		if _, err := Decode(again); err != nil {
			t.Fatal(err)
		}
	})
}
