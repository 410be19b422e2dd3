package passthrough

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

func firstHeartbeats(seq uint64) Heartbeat {
	h := heartbeat(seq)
	h.First = seq == 1
	return h
}

// tickUntil runs the timers of a core as its runtime does.
func tickUntil(c *Core, from, to time.Time) {
	for at := from; at.Before(to); at = at.Add(firstHeartbeatCheckInterval) {
		c.Tick(at)
	}
}

// Guards against callers of ended flows that are not reset for flow_idle after a loss of power,
// and against resets of open flows because of heartbeats that do not come from the running target.
func TestFirstHeartbeatsMakeFlowsCertain(t *testing.T) {
	other := firstHeartbeats(1)
	other.StartMillis++
	second := func(change func(*Heartbeat)) Heartbeat {
		h := firstHeartbeats(2)
		change(&h)
		return h
	}
	tests := []struct {
		name    string
		between func(*Core)
		at      int // of the second heartbeat, ms
		second  Heartbeat
		after   *Heartbeat // of another start, after it
		certain bool
	}{
		{name: "on schedule", at: 1005, second: firstHeartbeats(2), certain: true},
		{name: "the running target sends one after it", at: 1005, second: firstHeartbeats(2), after: &other},
		{name: "released together with the first", at: 20, second: firstHeartbeats(2)},
		{name: "too late", at: 1600, second: firstHeartbeats(2)},
		{name: "a heartbeat was missed", at: 1005, second: firstHeartbeats(3)},
		{name: "another start", at: 1005, second: second(func(h *Heartbeat) { h.StartMillis++ })},
		{name: "another identity", at: 1005, second: second(func(h *Heartbeat) { h.Target = "t2" })},
		{name: "a heartbeat of another start in between", between: func(c *Core) { c.HandleHeartbeat(ms(500), other) }, at: 1005, second: firstHeartbeats(2)},
		{name: "a heartbeat of another service in between", between: func(c *Core) {
			h := firstHeartbeats(2)
			h.Service = "other"
			c.HandleHeartbeat(ms(500), h)
		}, at: 1005, second: firstHeartbeats(3)},
		{name: "an exit in between", between: func(c *Core) { c.HandleTargetExit(ms(500), Exit{Target: "t0"}) }, at: 1005, second: firstHeartbeats(2)},
		{name: "an unknown flow of the target in between", between: func(c *Core) { c.FromTarget(ms(500), response(7), nil) }, at: 1005, second: firstHeartbeats(2)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := newCore(false)
			c.HandleHeartbeat(ms(5), firstHeartbeats(1))
			is.Equal(c.flowStatus(flowOf(1), 0), steerwire.Unsure)
			tickUntil(c, ms(5), ms(500))
			if tt.between != nil {
				tt.between(c)
			}
			tickUntil(c, ms(500), ms(tt.at))
			c.HandleHeartbeat(ms(tt.at), tt.second)
			is.Equal(c.flowStatus(flowOf(1), 0), steerwire.Unsure) // the running target may send one later
			tickUntil(c, ms(tt.at), ms(1090))
			if tt.after != nil {
				c.HandleHeartbeat(ms(1090), *tt.after)
			}
			tickUntil(c, ms(1090), ms(1700))
			is.Equal(c.flowStatus(flowOf(1), 0) == steerwire.NotHeld, tt.certain)
			is.Equal(c.certainIn(ms(1700)), time.Duration(0))
		})
	}
}

// Guards against resets after a pause of the agent, which hides the heartbeats of the running target.
func TestFirstHeartbeatsRoundAPauseShowNothing(t *testing.T) {
	is := is.New(t)
	c := newCore(false)
	c.HandleHeartbeat(ms(5), firstHeartbeats(1))
	tickUntil(c, ms(5), ms(300))
	is.True(c.certainIn(ms(300)) > 0)
	c.HandleHeartbeat(ms(1005), firstHeartbeats(2))
	tickUntil(c, ms(1005), ms(1700))
	is.Equal(c.flowStatus(flowOf(1), 0), steerwire.Unsure)
}

// Guards against an agent that hears only the second heartbeat of its target.
func TestLaterCallsShowNothing(t *testing.T) {
	is := is.New(t)
	c := newCore(false)
	for seq := uint64(2); seq < 5; seq++ {
		c.HandleHeartbeat(ms(int(seq)*1000), firstHeartbeats(seq))
		tickUntil(c, ms(int(seq)*1000), ms(int(seq)*1000+1000))
	}
	is.Equal(c.flowStatus(flowOf(1), 0), steerwire.Unsure)
}
