package pace

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_700_000_000, 0)

func ms(n float64) time.Time { return start.Add(time.Duration(n * float64(time.Millisecond))) }

// serve runs n requests one after the other and returns the time at which the last one ends.
func serve(t *Tracker, from time.Time, n int, c Class, d func() time.Duration) time.Time {
	for range n {
		id := t.Start(from, c, 2)
		from = from.Add(d())
		t.End(from, id, Answered)
	}
	return from
}

func constant(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

func speedOf(t *Tracker, now time.Time, others ...*Tracker) (float64, bool) {
	all := [][]ClassTime{t.Times(now)}
	for _, o := range others {
		all = append(all, o.Times(now))
	}
	return NewReference(all).Speed(t.Times(now))
}

// Guards against a speed that depends on the mix of requests or on a heavy tail. Three
// targets of equal speed serve different shares of requests of 5 ms and 39 ms, 3 in 100
// of which take seven times as long; a fourth one serves at half the speed.
func TestSpeedIsRobustToMixesAndTails(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 2))
	target := func(shortShare, slowdown float64) (*Tracker, time.Time) {
		tr, now := new(Tracker), start
		for range 400 {
			class, work := Class(2), 39.0
			if r.Float64() < shortShare {
				class, work = 1, 5
			}
			if r.Float64() < 0.03 {
				work *= 7
			}
			now = serve(tr, now, 1, class, constant(time.Duration(work*slowdown*float64(time.Millisecond))))
		}
		return tr, now
	}
	few, now := target(0.1, 1)
	half, _ := target(0.5, 1)
	many, _ := target(0.9, 1)
	slow, _ := target(0.5, 2)
	for _, tr := range []*Tracker{few, half, many} {
		speed, rejects := speedOf(tr, now, few, half, many, slow)
		t.Logf("speed of an even target %.2f", speed)
		is.True(speed > 0.7 && speed < 1.4 && !rejects)
	}
	speed, _ := speedOf(slow, now, few, half, many, slow)
	t.Logf("speed of the slow target %.2f", speed)
	is.True(speed > 0.35 && speed < 0.65)
}

// Guards against a target that gets its full share before it has answered, or that waits
// for long: it starts at half the speed and is near its own after ten answers.
func TestSpeedStartsLowAndRises(t *testing.T) {
	is := is.New(t)
	other, tr := new(Tracker), new(Tracker)
	now := serve(other, start, 100, 1, constant(13*time.Millisecond))
	speed, _ := speedOf(tr, now, other)
	is.Equal(speed, unknownSpeed)
	now = serve(tr, now, 10, 1, constant(13*time.Millisecond))
	speed, _ = speedOf(tr, now, other)
	is.True(speed > 0.8)
	reset := tr.Reset()
	speed, _ = speedOf(&reset, now, other)
	is.Equal(speed, unknownSpeed)
	speed, _ = speedOf(tr, now.Add(time.Minute), other) // no answers for a minute, as after an evacuation
	is.Equal(speed, unknownSpeed)
}

// Guards against a target that stops answering and keeps its speed until an answer comes,
// and against one that does not get it back.
func TestSpeedFallsWhileNothingIsAnswered(t *testing.T) {
	is := is.New(t)
	other, tr := new(Tracker), new(Tracker)
	serve(other, start, 100, 1, constant(13*time.Millisecond))
	now := serve(tr, start, 100, 1, constant(13*time.Millisecond))
	id := tr.Start(now, 1, 2)
	speed, _ := speedOf(tr, now.Add(90*time.Millisecond), other) // as long as one in a heavy tail
	is.True(speed > 0.9)
	speed, _ = speedOf(tr, now.Add(500*time.Millisecond), other)
	is.True(speed < 0.3)
	now = now.Add(510 * time.Millisecond)
	tr.End(now, id, Abandoned)
	serve(other, now, 10, 1, constant(13*time.Millisecond))
	now = serve(tr, now, 10, 1, constant(13*time.Millisecond))
	speed, _ = speedOf(tr, now, other)
	is.True(speed > 0.8)
}

// Guards against rejections that make a target look fast: one that rejects some requests,
// and one that has rejected all since its start.
func TestQuickAnswersAreRejections(t *testing.T) {
	is := is.New(t)
	other, some, all := new(Tracker), new(Tracker), new(Tracker)
	now := serve(other, start, 100, 1, constant(13*time.Millisecond))
	serve(some, start, 100, 1, constant(13*time.Millisecond))
	id := some.Start(now, 1, 2)
	_, o := some.End(now.Add(300*time.Microsecond), id, Answered)
	is.Equal(o, Quick)
	speed, rejects := speedOf(some, now, other)
	is.True(speed < 1.1 && !rejects)
	serve(all, start, 100, 1, constant(300*time.Microsecond))
	third := *other
	_, rejects = speedOf(all, now, other, &third)
	is.True(rejects)
}

// Guards against time in the target's own queue that counts as service time.
func TestQueueAtTheTargetIsNoService(t *testing.T) {
	is := is.New(t)
	tr := new(Tracker)
	a, b, c := tr.Start(ms(0), 1, 2), tr.Start(ms(0), 1, 2), tr.Start(ms(0), 1, 2)
	_, _ = tr.End(ms(10), a, Answered)
	_, _ = tr.End(ms(12), b, Answered)
	d, _ := tr.End(ms(20), c, Answered)
	is.Equal(d, 10*time.Millisecond)
	d, o := tr.End(ms(30), 99, Answered)
	is.True(d == 0 && o == Abandoned)
}
