package passthrough

import (
	"testing"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/segment"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

// Guards against packets that reach the target of a closed flow, while another target holds
// the next flow from the same port.
func TestClosedFlowRefusesPacketsOfThePortsNextFlow(t *testing.T) {
	is := is.New(t)
	c := newReadyCore()
	openFlow(c, ms(10), 1)
	last := request(1)
	last.Flags |= segment.FIN
	forward(c, ms(20), last)
	fin := response(1)
	fin.Flags |= segment.FIN
	c.FromTarget(ms(30), fin, nil)

	ack := last
	ack.Ack, ack.DataLen = fin.Seq+uint32(fin.DataLen)+1, 0
	is.Equal(delivered(forward(c, ms(40), last)), 1) // retransmissions of the closing flow
	is.Equal(delivered(forward(c, ms(40), ack)), 1)
	is.Equal(c.flowStatus(flowOf(1), ack.Ack), steerwire.Held)

	next := request(1)
	next.Seq, next.Ack = last.Seq+1<<30, last.Ack+1<<30
	is.Equal(refusal(forward(c, ms(50), next)), steerwire.ReasonNotHeld)
	is.Equal(c.flowStatus(flowOf(1), next.Ack), steerwire.NotHeld)
}

// Guards against packets of a port's next flow at the target of a flow that its caller has
// abandoned, and against a reset of an open flow because of a late packet of an earlier one.
func TestOpenFlowRefusesPacketsOfOtherFlowsOfItsPort(t *testing.T) {
	is := is.New(t)
	c := newReadyCore()
	openFlow(c, ms(10), 1)
	other := request(1)
	other.Ack += 1 << 30
	is.Equal(refusal(forward(c, ms(50), other)), steerwire.ReasonOtherFlow)
	is.Equal(c.flowStatus(flowOf(1), other.Ack), steerwire.Unsure) // not a denial
	is.Equal(delivered(forward(c, ms(60), request(1))), 1)
}

// Guards against refused packets of a flow that the target opened in place of one that its
// caller has abandoned.
func TestPortOpenedAgainAtTheSameTargetWithoutAClose(t *testing.T) {
	is := is.New(t)
	c := newReadyCore()
	openFlow(c, ms(10), 1)
	forward(c, ms(500), syn(1))
	answer := synAck(1)
	answer.Seq += 1 << 30
	c.FromTarget(ms(501), answer, nil)
	next := request(1)
	next.Ack = answer.Seq + 1
	is.Equal(delivered(forward(c, ms(502), next)), 1)
	is.Equal(c.flowStatus(flowOf(1), next.Ack), steerwire.Held)
}

// Guards against refused packets of an open flow whose answers an agent has not seen because
// it has just started.
func TestRestartedAgentTakesAcknowledgementsOfUnseenAnswers(t *testing.T) {
	is := is.New(t)
	c := newReadyCore()
	c.mayHoldUnseen = true
	early := response(1)
	c.FromTarget(ms(10), early, nil) // a retransmission; later data was acknowledged before
	late := request(1)
	late.Ack = early.Seq + 16*1200
	is.Equal(delivered(forward(c, ms(20), late)), 1)
	late.Ack = early.Seq - 80_000
	is.Equal(delivered(forward(c, ms(30), late)), 1)
}

// Guards against packets of the port's next flow at the target of a closed one whose agent does
// not know all flows of its target.
func TestClosedFlowAtAnUncertainAgent(t *testing.T) {
	is := is.New(t)
	c := newReadyCore()
	c.mayHoldUnseen = true
	openFlow(c, ms(10), 1)
	last := request(1)
	last.Flags |= segment.FIN
	forward(c, ms(20), last)
	fin := response(1)
	fin.Flags |= segment.FIN
	c.FromTarget(ms(30), fin, nil)
	next := request(1)
	next.Seq, next.Ack = last.Seq+1<<30, last.Ack+1<<30
	is.Equal(refusal(forward(c, ms(50), next)), steerwire.ReasonNotHeld)
}

// Guards against refused requests of an open flow after a late copy of its opening packet was
// answered, at an agent that has not seen the flow's answers.
func TestLateOpeningOfAFlowKnownFromAProbe(t *testing.T) {
	is := is.New(t)
	c := newReadyCore()
	c.mayHoldUnseen = true
	ack := request(1)
	ack.DataLen, ack.Ack = 0, targetSeq+1+200_000
	is.Equal(delivered(forward(c, ms(10), ack)), 1)
	c.FromTarget(ms(20), response(9), nil) // the target runs
	c.Tick(ms(100))
	is.Equal(c.flowStatus(flowOf(1), ack.Ack), steerwire.Held)
	is.Equal(delivered(forward(c, ms(110), syn(1))), 1)
	c.FromTarget(ms(111), synAck(1), nil)
	again := request(1)
	again.Ack = ack.Ack
	is.Equal(delivered(forward(c, ms(120), again)), 1)
}
