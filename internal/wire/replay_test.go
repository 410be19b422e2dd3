package wire

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

func accept(t *replayTable, id model.NodeID, inc model.Incarnation, st stream, seq uint64) error {
	_, err := t.accept([]byte(id), inc, st, seq)
	return err
}

// Guards against a window that accepts a sequence twice or refuses a new one
// within it. The reference model stores every sequence.
func TestWindowAgreesWithModel(t *testing.T) {
	for st, window := range map[stream]uint64{
		streamControl: ControlWindow, streamForward: ForwardWindow, streamUnaddressed: UnaddressedWindow,
	} {
		t.Run(fmt.Sprint(window), func(t *testing.T) {
			is := is.New(t)
			rnd := rand.New(rand.NewPCG(1, 2))
			var s sender
			seen, highest := map[uint64]bool{}, uint64(0)
			for range 200_000 {
				seq := highest + 1 + rnd.Uint64N(3)
				switch rnd.IntN(50) {
				case 0:
					seq += rnd.Uint64N(3 * window) // may skip more than a window
				default:
					if back := rnd.Uint64N(window + 100); back < seq && rnd.IntN(2) == 0 {
						seq -= back
					}
				}
				want := !seen[seq] && seq+window > highest
				is.Equal(s.recordSequence(st, seq), want)
				if want {
					seen[seq] = true
					highest = max(highest, seq)
				}
			}
			is.True(!s.recordSequence(st, 0))
		})
	}
}

// Guards against a stream that advances the window of another, and against
// windows that are kept when the incarnation changes.
func TestStreamsHaveTheirOwnWindows(t *testing.T) {
	is := is.New(t)
	table := newReplayTable(replayShards)
	for inc := range model.Incarnation(2) {
		is.NoErr(accept(table, "a", inc, streamForward, 1_000_000))
		for st := range numStreams {
			is.NoErr(accept(table, "a", inc, st, 999_999))
			is.Equal(accept(table, "a", inc, st, 999_999), error(ErrReplay))
		}
	}
	is.NoErr(accept(table, "a", 2, streamForward, 1))
}

// Guards against unbounded growth with the number of senders, and against
// evicting a sender that still sends while others are added.
func TestSendersAreBounded(t *testing.T) {
	is := is.New(t)
	table := newReplayTable(replayShards * 4)
	for i := range uint64(10_000) {
		is.NoErr(accept(table, "kept", 1, streamControl, i+1))
		is.NoErr(accept(table, model.NodeID(fmt.Sprint("passing-", i)), 1, streamControl, 1))
	}
	tracked, evicted := table.stats()
	is.Equal(tracked, replayShards*4)
	is.Equal(evicted, uint64(10_001-replayShards*4))
	is.Equal(accept(table, "kept", 1, streamControl, 10_000), error(ErrReplay))
	is.NoErr(accept(table, "kept", 2, streamControl, 1)) // restarted
	is.Equal(accept(table, "kept", 1, streamControl, 10_001), error(ErrStale))
}

// Guards against a process that is refused as stale for ever after its clock went back between two
// starts: the refusing node must know which incarnation the process has to exceed.
func TestRefusedSenderIsToldTheIncarnationToExceed(t *testing.T) {
	is := is.New(t)
	receiver := newTestCodec(t, "b", 1, oldKey)
	probe := message.Probe{ID: 1}
	for _, inc := range []model.Incarnation{50, 30, 40} { // starts of "a", the clock goes back twice
		a := newTestCodec(t, "a", inc, oldKey)
		d := mustSeal(t, a, "b", probe)
		if _, err := receiver.Open(d); err != nil {
			is.Equal(err, error(ErrStale))
			from, accepted := receiver.Superseding(d)
			is.Equal(from, model.NodeID("a"))
			is.True(accepted > inc)
			a.SetIncarnation(accepted + 1)
			_, err = receiver.Open(mustSeal(t, a, "b", probe))
			is.NoErr(err)
		}
	}
	forged := mustSeal(t, newTestCodec(t, "a", 1, oldKey), "b", probe)
	forged[len(forged)-1]++
	_, accepted := receiver.Superseding(forged)
	is.Equal(accepted, model.Incarnation(0))
}
