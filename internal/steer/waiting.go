package steer

import (
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/segment"
)

// preConfigPacket is a packet received before the first configuration.
type preConfigPacket struct {
	receivedAt time.Time
	segment    segment.Segment
	raw        []byte
}

// bufferPreConfig buffers a packet until the first configuration, which arrives within
// a few milliseconds if the store answers.
func (c *Core) bufferPreConfig(now time.Time, s segment.Segment, raw []byte) {
	if len(c.preConfig) >= maxPreConfigPackets {
		c.count(CounterDropped, "no_configuration")
		return
	}
	c.preConfig = append(c.preConfig, preConfigPacket{now, s, slices.Clone(raw)})
	for now.Sub(c.preConfig[0].receivedAt) > preConfigTimeout {
		c.preConfig = c.preConfig[1:]
		c.count(CounterDropped, "no_configuration")
	}
}

// openingsWait reports whether opening packets are buffered although there is a
// configuration: it may be outdated, or decision files may override it.
func (c *Core) openingsWait(now time.Time) bool {
	return !c.unconfirmedSince.IsZero() || c.decisionsMissing(now)
}

// replayPreConfig handles the buffered packets, except for opening packets that still
// have to wait.
func (c *Core) replayPreConfig(now time.Time) {
	preConfig, openingsWait := c.preConfig, c.openingsWait(now)
	c.preConfig = nil
	for _, p := range preConfig {
		switch {
		case now.Sub(p.receivedAt) > preConfigTimeout:
			c.count(CounterDropped, "no_configuration")
		case p.segment.Opens() && openingsWait:
			c.preConfig = append(c.preConfig, p)
		case p.segment.Opens():
			c.handleOpening(now, p.segment, p.raw)
		default:
			c.handleSubsequent(now, p.segment, p.raw)
		}
	}
}

// detectPause detects that the process has not run for a while. Routes may have been
// removed meanwhile, so new flows wait until the configuration is confirmed.
func (c *Core) detectPause(now time.Time) {
	pause := now.Sub(c.lastTick)
	if pause < pauseThreshold || c.config == nil {
		return
	}
	c.lastTick, c.unconfirmedSince = now, now
	c.log(Entry{Event: "resumed", Reason: "paused", Age: pause})
	c.actions = append(c.actions, Action{Kind: ConfirmConfig})
}

// ConfigConfirmed records that the configuration in effect is the one in the store, or
// that the store does not answer.
func (c *Core) ConfigConfirmed(now time.Time) []Action {
	c.actions = c.actions[:0]
	c.confirmConfig(now)
	return c.actions
}

func (c *Core) confirmConfig(now time.Time) {
	if !c.unconfirmedSince.IsZero() {
		c.unconfirmedSince = time.Time{}
		c.replayPreConfig(now)
	}
}
