package steerwire

import (
	"bytes"
	"encoding/hex"
	"errors"
	"net/netip"
	"os"
	"strings"
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
		{Kind: KindHolderQuery, Query: Query{Queries: []QueryEntry{{Flow: flow, Ack: 5}}}},
		{Kind: KindHolderAnswer, Answer: Answer{Answers: []AnswerEntry{{Flow: flow, FlowStatus: Unsure}}}},
		{Kind: KindHintQuery, Query: Query{Queries: []QueryEntry{{Flow: flow}}}},
		{Kind: KindHints, Hints: Hints{Hints: []Hint{{Flow: flow, Target: flow.Dst}, {Flow: flow}}}},
		{Kind: KindHello, Hello: Hello{Node: "b", Incarnation: 1, Revision: 2, Agents: []netip.AddrPort{flow.Src}, WantAgents: true, Decisions: 5, DecisionDigest: 6, DataCentre: "dc"}},
		{Kind: KindReport, Report: Report{Node: "a", Incarnation: 1, Sequence: 2, Service: "s", State: TargetReady, Slots: 3, BusyCenti: 150, TargetStartMillis: 9, Empty: true, FailingCenti: 40}},
		{Kind: KindListingQuery, ListingQuery: ListingQuery{ID: 8}},
		{Kind: KindListing, Listing: Listing{ID: 8, Part: 1, Parts: 2, Agents: []netip.AddrPort{flow.Src}}},
		{Kind: KindHello, Hello: Hello{Node: "b", Incarnation: 1, DataCentre: "dc", NoStore: true}},
		{Kind: KindHello, Hello: Hello{Node: "b", Incarnation: 1, ColdFlowsPerSecond: new(float64), Evacuations: &Evacuations{
			Epoch: 1, Revision: 7, AgeMillis: 40, Entries: []EvacuationEntry{{DataCentre: "dc", Version: 6}, {DataCentre: "dc2", Version: 5, Lifted: true}, {DataCentre: "dc3", Missing: true}},
		}}},
		{Kind: KindReport, Report: Report{Node: "a", Incarnation: 1, Sequence: 2, Service: "s", State: TargetDraining, Evacuated: true}},
	}
}

// Guards against fields that are lost in encoding or decoding.
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

// Guards against a change of the encoding: nodes of different releases exchange these
// messages, so a datagram that an earlier release encoded must keep its bytes.
func TestGoldenDatagrams(t *testing.T) {
	golden, err := os.ReadFile("testdata/datagrams.golden")
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSuffix(string(golden), "\n"), "\n")
	want := messages()
	if len(lines) != len(want) {
		t.Fatalf("testdata/datagrams.golden has %d lines for %d messages", len(lines), len(want))
	}
	for i, m := range want {
		is := is.New(t)
		b, err := Append(nil, m)
		is.NoErr(err)
		if got := hex.EncodeToString(b); got != lines[i] {
			t.Errorf("kind %d is encoded as\n%s, want\n%s", m.Kind, got, lines[i])
		}
		datagram, err := hex.DecodeString(lines[i])
		is.NoErr(err)
		got, err := Decode(datagram)
		is.NoErr(err)
		is.Equal(got, m)
	}
}

// Guards against decoding a truncated datagram, or one of another format, as a message.
func TestMalformed(t *testing.T) {
	is := is.New(t)
	good, err := Append(nil, messages()[0])
	is.NoErr(err)
	for _, b := range [][]byte{
		nil, {magic}, good[:headerLen], good[:forwardHeaderLen-1], {magic, Format + 1, byte(KindHello)},
		{0, Format, byte(KindHello)}, {magic, Format, 99}, {magic, Format, byte(KindHello), 0xff},
	} {
		_, err := Decode(b)
		is.True(errors.Is(err, ErrMalformed))
	}
}

// Guards against lists of maximum length that exceed MaxMessage.
func TestLongestListsFit(t *testing.T) {
	is := is.New(t)
	addrs := make([]netip.AddrPort, MaxPeers)
	for i := range addrs {
		addrs[i] = flow.Src
	}
	b, err := Append(nil, Message{Kind: KindReport, Report: Report{Balancers: addrs}})
	is.NoErr(err)
	is.True(len(b) <= MaxMessage)
	queries := make([]QueryEntry, MaxQueryEntries)
	for i := range queries {
		queries[i] = QueryEntry{Flow: flow, Ack: 1 << 31}
	}
	b, err = Append(nil, Message{Kind: KindHolderQuery, Query: Query{Queries: queries}})
	is.NoErr(err)
	is.True(len(b) <= MaxMessage)
	hints := make([]Hint, MaxQueryEntries)
	for i := range hints {
		hints[i] = Hint{Flow: flow, Target: netip.MustParseAddrPort("255.255.255.255:65535")}
	}
	b, err = Append(nil, Message{Kind: KindHints, Hints: Hints{Hints: hints}})
	is.NoErr(err)
	is.True(len(b) <= MaxMessage)
}

// Guards against lookups that fill the link of a small balancer: 300 flows a second that
// are looked up at 50 agents may use at most half of 10 Mbit/s in each direction.
func TestQueriesAndAnswersAreSmall(t *testing.T) {
	is := is.New(t)
	const budget = 10_000_000 / 8 / 2 / (300 * 50) // bytes per entry of a query or answer
	var queries []QueryEntry
	var answers []AnswerEntry
	for range MaxQueryEntries {
		queries = append(queries, QueryEntry{Flow: flow, Ack: 1 << 31})
		answers = append(answers, AnswerEntry{Flow: flow, FlowStatus: NotHeld})
	}
	for _, m := range []Message{{Kind: KindHolderQuery, Query: Query{Queries: queries}}, {Kind: KindHolderAnswer, Answer: Answer{Answers: answers}}} {
		b, err := Append(nil, m)
		is.NoErr(err)
		is.True(len(b) <= budget*MaxQueryEntries)
		for cut := headerLen + 1; cut < len(b); cut++ {
			if _, err := Decode(b[:cut]); (cut-headerLen)*MaxQueryEntries%(len(b)-headerLen) != 0 {
				is.True(errors.Is(err, ErrMalformed)) // the last entry is truncated
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

// Guards against panics on arbitrary datagrams, and against decoded messages that cannot be
// encoded again.
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
		reencoded, err := Append(nil, m)
		if err != nil {
			t.Fatal(err)
		}
		if m.Kind == KindForward && !bytes.Equal(m.Forward.Packet, b[forwardHeaderLen:]) {
			t.Fatal("the packet changed")
		}
		if _, err := Decode(reencoded); err != nil {
			t.Fatal(err)
		}
	})
}
