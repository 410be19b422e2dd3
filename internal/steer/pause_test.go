package steer

import (
	"testing"

	"github.com/matryer/is"
)

// newPausedCore returns a core that ran until 1 s and was then paused for 5 s. Its
// configuration routes the address to alpha.
func newPausedCore() *Core {
	c := newCore(agentA)
	for now := 0; now <= 1000; now += 100 {
		c.Tick(ms(now))
	}
	ready(c, ms(1000), 1, agentA)
	return c
}

// Guards against new flows that a paused balancer places by a route that was removed
// while it was paused.
func TestPausedBalancerConfirmsItsConfiguration(t *testing.T) {
	is := is.New(t)
	c := newPausedCore()
	got := c.Packet(ms(6000), syn(1), raw)
	is.Equal(len(forwardedTo(got)), 0)
	is.True(hasAction(got, ConfirmConfig))
	got = c.SetConfig(ms(6010), configOf(2)) // the route is gone
	is.Equal(len(forwardedTo(got)), 0)
	is.True(hasAction(got, ResetCaller))
}

// Guards against new flows that wait although nothing has changed.
func TestPausedBalancerContinuesOnceConfirmed(t *testing.T) {
	is := is.New(t)
	c := newPausedCore()
	c.Packet(ms(6000), syn(1), raw)
	is.Equal(len(forwardedTo(c.ConfigConfirmed(ms(6005)))), 1)
	is.Equal(len(forwardedTo(c.Packet(ms(6006), syn(2), raw))), 1)
}

// Guards against new flows that wait for a store that does not answer.
func TestPausedBalancerContinuesWithoutTheStore(t *testing.T) {
	is := is.New(t)
	c := newPausedCore()
	c.Packet(ms(6000), syn(1), raw)
	is.True(!c.Next().After(ms(6150)))
	is.Equal(len(forwardedTo(c.Tick(ms(6150)))), 1)
}
