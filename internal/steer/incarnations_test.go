package steer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

// Guards against reports that are ignored without a trace.
func TestIgnoredReportIsLogged(t *testing.T) {
	is := is.New(t)
	c := newCore(agentA)
	report(c, ms(5), agentA, steerwire.Report{Incarnation: 7, Sequence: 1, State: steerwire.TargetReady})
	late := steerwire.Report{Incarnation: 6, Sequence: 1, State: steerwire.TargetReady}
	is.True(logged(report(c, ms(1200), agentA, late), "report_ignored"))
	late.Sequence++
	is.True(!logged(report(c, ms(1300), agentA, late), "report_ignored"))
	late.Sequence++
	is.True(logged(report(c, ms(2300), agentA, late), "report_ignored"))
}

// helloIDTo returns the ID of the hello in actions to an agent, 0 if there is none.
func helloIDTo(actions []Action, to netip.AddrPort) uint64 {
	for _, a := range actions {
		if a.Kind == SendMessage && a.To == to && a.Message.Kind == steerwire.KindHello {
			return a.Message.Hello.ID
		}
	}
	return 0
}

// reportAnswering plays the first report of an agent's process that answers a hello.
func reportAnswering(c *Core, now time.Time, incarnation model.Incarnation, helloID uint64, state steerwire.TargetState) []Action {
	return report(c, now, agentA, steerwire.Report{Incarnation: incarnation, Sequence: 1, State: state, HelloID: &helloID})
}

// Guards against an agent that is ignored because its clock went back before it started.
func TestAgentWithLowerIncarnationIsHeard(t *testing.T) {
	is := is.New(t)
	c := newCore(agentA)
	first := helloIDTo(c.Tick(ms(250)), agentA)
	reportAnswering(c, ms(260), 7, first, steerwire.TargetReady)
	second := helloIDTo(c.Tick(ms(500)), agentA)
	is.True(second > first)
	is.True(logged(reportAnswering(c, ms(510), 5, second, steerwire.TargetDraining), "target"))
}

// Guards against a delayed report of an ended process that replaces those of the present one.
func TestDelayedReportOfAnEndedProcessIsIgnored(t *testing.T) {
	is := is.New(t)
	c := newCore(agentA)
	first := helloIDTo(c.Tick(ms(250)), agentA)
	second := helloIDTo(c.Tick(ms(500)), agentA)
	reportAnswering(c, ms(510), 5, second, steerwire.TargetReady)
	is.True(!logged(reportAnswering(c, ms(520), 7, first, steerwire.TargetGone), "target"))
	for _, foreign := range []uint64{second + 1, first - 1000, 0} {
		is.True(!logged(reportAnswering(c, ms(530), 7, foreign, steerwire.TargetGone), "target"))
	}
}

// Guards against a restarted agent whose reports are ignored until the next regular hello.
func TestRestartedAgentIsGreetedAtItsFirstReport(t *testing.T) {
	is := is.New(t)
	agents := fleetOf(150) // hellos are 1.25 s apart
	c := newCore(append(agents, agentA)...)
	id := helloIDTo(c.Tick(ms(1300)), agentA)
	reportAnswering(c, ms(1310), 7, id, steerwire.TargetReady)
	next := helloIDTo(reportAnswering(c, ms(1400), 5, 0, steerwire.TargetReady), agentA)
	is.True(next > id)
	is.True(helloIDTo(reportAnswering(c, ms(1410), 5, 0, steerwire.TargetReady), agentA) == 0)
	is.True(logged(reportAnswering(c, ms(1420), 5, next, steerwire.TargetDraining), "target"))
}

// Guards against an agent that is ignored for ever after a report of the same incarnation
// with a higher sequence number, when two processes started at the same time of day.
func TestAgentWithTheSameIncarnationIsHeard(t *testing.T) {
	is := is.New(t)
	c := newCore(agentA)
	first := helloIDTo(c.Tick(ms(250)), agentA)
	report(c, ms(260), agentA, steerwire.Report{Incarnation: 5, Sequence: 40, State: steerwire.TargetReady, HelloID: &first})
	second := helloIDTo(c.Tick(ms(500)), agentA)
	is.True(logged(reportAnswering(c, ms(510), 5, second, steerwire.TargetDraining), "target"))
}

// Guards against agents of an earlier release, which do not name hellos, that are ignored.
func TestAgentOfAnEarlierReleaseIsOrderedByIncarnation(t *testing.T) {
	is := is.New(t)
	c := newCore(agentA)
	for i, r := range []struct {
		incarnation model.Incarnation
		taken       bool
	}{{5, true}, {7, true}, {6, false}} {
		state := []steerwire.TargetState{steerwire.TargetReady, steerwire.TargetDraining}[i%2]
		got := report(c, ms(250+i), agentA, steerwire.Report{Incarnation: r.incarnation, Sequence: 1, State: state})
		is.Equal(logged(got, "target"), r.taken)
	}
}
