package keys

import (
	"testing"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/matryer/is"
)

// maxClockError is the largest error of one clock that the tests play.
const maxClockError = 20 * time.Second

// stepClocks sets the clocks of some agents wrong by up to limit, a few times, and right again.
func (s *sim) stepClocks(over, limit time.Duration) {
	wrong := make([]time.Duration, len(s.agents))
	for range 3 + s.rng.IntN(4) {
		i, next := s.rng.IntN(len(s.agents)), s.random(2*limit)-limit
		if s.rng.IntN(3) == 0 {
			next = 0
		}
		s.after(s.random(over), func() {
			s.timeAt(i)
			s.agents[i].clock.Step(next - wrong[i])
			wrong[i] = next
		})
	}
}

// Guards against a key that runs twice when the clocks of agents step by seconds, both ways and several
// times, while agents crash and restart.
func TestHistoryKeyRunsAtMostOnceWhileClocksStep(t *testing.T) {
	sum := tally{}
	for seed := range uint64(200) {
		s := newSim(seed, 1+int(seed%3))
		s.clockSkew = defaultClockSkew
		if seed%2 == 0 {
			s.opens = s.start.Add(60 * time.Second)
		}
		s.stepClocks(3*time.Minute, maxClockError)
		for i := range s.agents {
			s.boot(i)
		}
		for range 120 {
			s.addKey(40*time.Second+s.random(2*time.Minute), s.rng.IntN(4) > 0, 60*time.Second)
		}
		at := 62*time.Second + s.random(70*time.Second)
		for i := range s.agents { // all homes are lost
			s.after(at+s.random(time.Second), func() { s.crash(i, s.random(2*time.Second)) })
		}
		s.runUntil(5 * time.Minute)
		for _, f := range s.checkHistory() {
			t.Error(f)
		}
		s.tally(sum)
	}
	t.Log(sum)
	is.New(t).True(sum["ran"] > 1000)
}

// Guards against a second run of a key after its homes were lost, because the clock of a home went back
// when it restarted: the key looks newer than the home's records, or the service not open yet.
func TestFaultHomesRestartAfterTheClockWentBack(t *testing.T) {
	is := is.New(t)
	for _, timed := range []bool{false, true} {
		s := newSim(1, 1)
		s.clockSkew = defaultClockSkew
		s.opens = s.start.Add(50 * time.Second)
		s.boot(0)
		s.runUntil(51 * time.Second)
		key, first := ranKey(t, s, 0, timed)
		s.crash(0, time.Second)
		s.agents[0].clock.Step(-maxClockError)
		s.runUntil(s.now.Sub(s.start) + 10*time.Second)
		s.agents[0].clock.Step(maxClockError) // right again
		o := s.sendAt(0, key, 6*time.Second)
		is.Equal(o.refused, ReasonNoCoverage)
		is.Equal(o.run, 0)
		is.True(first.run > 0)
	}
}

// Guards against a request that is reported as not run although it ran, because the clock of an
// agent stepped back afterwards.
func TestFaultNoKeyIsReportedAsNotRunAfterItRan(t *testing.T) {
	is := is.New(t)
	s := newSim(1, 1)
	s.clockSkew = defaultClockSkew
	s.opens = s.start.Add(50 * time.Second)
	s.boot(0)
	s.runUntil(51 * time.Second)
	key, _ := ranKey(t, s, 0, true)
	s.agents[0].clock.Step(-maxClockError)
	o := s.sendAt(0, key, time.Second)
	is.True(o.replay > 0 || o.outcome == message.OutcomeUnknown)
	s.agents[0].clock.Step(maxClockError)
	future := s.uuid7(s.now.Add(time.Hour), 1)
	is.Equal(s.sendAt(0, future, time.Second).outcome, message.OutcomeNotRun)
}
