package flows

import (
	"strings"
	"testing"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/matryer/is"
)

// Guards against a home that opens a flow a second time, because its clock stepped ahead after
// another agent had asked it, and against a home that sends callers to an agent that gave up the
// opening, because its clock stepped back.
func TestFaultTentativeHolderExpiresOnTimeWhileTheClockSteps(t *testing.T) {
	for _, step := range []time.Duration{20 * time.Second, -20 * time.Second, time.Hour, -time.Hour} {
		is := is.New(t)
		s := newSession(Options{Seed: 1})
		f := s.flow("t0", 0)
		query := Message{From: "t1", Incarnation: 1, Msg: message.FlowQuery{ID: 9, Service: "s", Flow: f, Opening: true}}
		is.True(strings.Contains(s.step(query), "Verdict:1")) // not held: t1 may open the flow
		for _, d := range []time.Duration{step, -2 * step} {
			s.clock.Step(d)
			s.advance(tentativeTTL/2 - time.Second)
			is.True(strings.Contains(s.packet(f, openingPacket), "Pass{")) // to t1
		}
		s.clock.Step(step)
		s.advance(2*time.Second + tickInterval)
		is.True(strings.Contains(s.packet(f, openingPacket), "Opened:true"))
	}
}

// Guards against a home that forgets the holder of a flow, or keeps one that never appears in the
// view, because the clock steps.
func TestFaultHolderOutsideTheViewExpiresOnTimeWhileTheClockSteps(t *testing.T) {
	for _, step := range []time.Duration{time.Minute, -time.Minute} {
		is := is.New(t)
		s := newSession(Options{Seed: 1})
		f := s.flow("t0", 0)
		s.core.recordHolder(s.clock.Now(), f.Hash(), f, "unlisted", 1, 0) // kept for learnedTTL
		s.clock.Step(step)
		s.advance(learnedTTL / 2)
		s.clock.Step(-2 * step)
		s.advance(learnedTTL/2 - time.Second)
		is.Equal(s.core.exceptionFor(s.clock.Now(), f.Hash(), f).holder, model.NodeID("unlisted"))
		s.advance(time.Second)
		is.True(s.core.exceptionFor(s.clock.Now(), f.Hash(), f) == nil)
	}
}
