package passthrough

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/segment"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

// Guards against an agent that was paused and then delivers a new flow by a heartbeat
// that is too old: the packet is handled before the timers.
func TestPausedAgentRefusesFlowsByAnOldHeartbeat(t *testing.T) {
	is := is.New(t)
	c := newReadyCore()
	is.Equal(delivered(forward(c, ms(2900), syn(1))), 1)
	got := forward(c, ms(5000), syn(2))
	is.Equal(delivered(got), 0)
	is.Equal(refusal(got), steerwire.ReasonSilent)
	c.HandleHeartbeat(ms(5100), heartbeat(2))
	is.Equal(delivered(forward(c, ms(5101), syn(3))), 1)
}

// Guards against an agent that was paused for so long that balancers may have removed its
// object, and accepts a flow before it is registered again.
func TestPausedAgentRefusesFlowsUntilItIsRegisteredAgain(t *testing.T) {
	is := is.New(t)
	c := newReadyCore()
	wake := start.Add(70 * time.Second)
	c.HandleHeartbeat(wake, heartbeat(2))
	is.Equal(delivered(forward(c, wake, syn(1))), 0)
	hello := steerwire.Message{Kind: steerwire.KindHello, Hello: steerwire.Hello{Node: "b1"}}
	registers := false
	for _, a := range c.Message(wake, balancer, hello, segment.Segment{}) {
		registers = registers || a.Kind == Register
	}
	is.True(registers)
	is.Equal(delivered(forward(c, wake, syn(2))), 0)
	c.Registered(wake.Add(10*time.Millisecond), 1)
	is.Equal(delivered(forward(c, wake.Add(11*time.Millisecond), syn(3))), 1)
}

// Guards against requests that wait for a slot when their agent stops: callers would have
// to send them again to the next agent.
func TestStoppingAgentDeliversWaitingRequests(t *testing.T) {
	is := is.New(t)
	c := newReadyCore()
	sent := 0
	const flows = 8 // three slots
	for port := uint16(1); port <= flows; port++ {
		sent += delivered(openFlow(c, ms(int(port)), port))
	}
	is.True(sent < flows)
	sent += delivered(c.Leave(ms(20)))
	sent += delivered(c.Flush(ms(270)))
	is.Equal(sent, flows)
	is.Equal(delivered(c.Flush(ms(271))), 0)
}

// Guards against a balancer that waits for an agent that has ended.
func TestEndedAgentReportsThatNoFlowIsLeft(t *testing.T) {
	is := is.New(t)
	c := newReadyCore()
	openFlow(c, ms(1), 1)
	c.HandleTargetExit(ms(10), Exit{Target: "t1"})
	c.Leave(ms(20))
	r, ok := reported(c.End(ms(21)))
	is.True(ok)
	is.True(r.Ended && r.Empty)
	is.Equal(r.State, steerwire.TargetGone)
	is.Equal(r.Flows, 0)
}
