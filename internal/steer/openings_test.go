package steer

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

// Guards against the reset of a flow that the first target has opened without a notice, because
// the second one refuses the opening packet.
func TestOpeningIsNotRefusedWhileATargetMayHaveOpenedIt(t *testing.T) {
	is := is.New(t)
	c := newCore(agentA, agentB)
	ready(c, ms(10), 1, agentA, agentB)
	first := forwardedTo(c.Packet(ms(20), syn(1), raw))
	second := forwardedTo(c.Tick(ms(85))) // no answer in time
	is.True(first[0] != second[0])
	got := refuse(c, ms(86), second[0], syn(1), steerwire.ReasonFull)
	is.True(!hasAction(got, ResetCaller))
	is.Equal(forwardedTo(got), []netip.AddrPort{first[0]}) // its answer repeats the notice

	got = refuse(c, ms(87), first[0], syn(1), steerwire.ReasonFull)
	is.True(hasAction(got, ResetCaller)) // both have refused it
}

// Guards against callers that wait for their timeout although no target that answers is left.
func TestOpeningIsRefusedAtOnceWithoutARunningTarget(t *testing.T) {
	for _, state := range []steerwire.TargetState{steerwire.TargetGone, steerwire.TargetSilent} {
		is := is.New(t)
		c := newCore(agentA, agentB)
		ready(c, ms(10), 1, agentA, agentB)
		first := forwardedTo(c.Packet(ms(20), syn(1), raw))
		second := forwardedTo(c.Tick(ms(85)))
		report(c, ms(86), first[0], steerwire.Report{Incarnation: 1, Sequence: 2, State: state, DataCentre: "dc-1"})
		is.True(hasAction(refuse(c, ms(87), second[0], syn(1), steerwire.ReasonFull), ResetCaller))
	}
}
