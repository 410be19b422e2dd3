package steersim

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/passthrough"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

const (
	powerLossTime  = 1400 * time.Millisecond
	maxStartSpread = 300 * time.Millisecond // between the starts of the VMs after a loss of power
	maxTimeToLearn = time.Second            // until the caller of an ended flow is reset
)

// losePower ends all processes and targets. All VMs start again after powerLossTime, each
// target together with its agent. It returns the time at which the last one has started.
func (s *sim) losePower() time.Time {
	last := s.now
	startAfter := func(start func()) {
		d := powerLossTime + s.randomUpTo(maxStartSpread)
		if at := s.now.Add(d); at.After(last) {
			last = at
		}
		s.after(d, start)
	}
	for _, a := range s.agents {
		a.target.exited = true
		a.kill()
		startAfter(func() {
			a.newTarget(a.target.service)
			a.start(false)
			core := a.core
			s.after(25*time.Millisecond, func() {
				if a.core == core {
					a.execute(core.HandleHealthCheck(s.clock(a.addr), passthrough.Healthy))
				}
			})
		})
	}
	for _, b := range s.balancers {
		b.kill()
		startAfter(b.start)
	}
	clear(s.holders)
	return last
}

// messageCount counts the messages that balancers send to look up flows.
type messageCount struct{ queries, entries, probes int }

func (m *messageCount) record(_, _ netip.AddrPort, x steerwire.Message) bool {
	switch x.Kind {
	case steerwire.KindHolderQuery:
		m.queries++
		m.entries += len(x.Query.Queries)
	case steerwire.KindForward:
		m.probes++ // the callers open no flows
	}
	return false
}

// Guards against callers that wait for their own timeout after a loss of power, and against
// probes of each of their flows at each target. Load: 3,000 open flows, a third of them in
// use, beside 50 agents.
func TestFaultAllVMsLosePower(t *testing.T) {
	for _, seed := range seeds[:3] {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := newSim(t, seed, 16, nil)
			s.heartbeatInterval, s.patience, s.promptTimers = 770*time.Millisecond, time.Minute, true
			s.addService("alpha", 40)
			s.addService("beta", 10)
			s.run(2 * time.Second)
			for i := range 3000 {
				pause := 4 * time.Second
				if i%3 == 0 {
					pause = 700 * time.Millisecond
				}
				s.after(s.randomUpTo(2*time.Second), func() { s.openFlow(i%2, 100, pause) })
			}
			s.run(5 * time.Second)
			callers := s.openCallers()
			count := &messageCount{}
			s.drop = count.record
			up := s.losePower()
			s.sentAt, s.resetAt = map[model.Flow]time.Time{}, map[model.Flow]time.Time{}
			s.run(powerLossTime + 8*time.Second)
			t.Logf("%d flows, %d agents: %+v", len(callers), len(s.agents), *count)
			s.checkCallersReset(callers, up)
			if count.probes > len(callers) {
				s.fail("%d probes of %d flows at %d agents", count.probes, len(callers), len(s.agents))
			}
		})
	}
}

// openCallers returns the callers with an open flow.
func (s *sim) openCallers() []*caller {
	var out []*caller
	for _, c := range s.callers {
		if c.established {
			out = append(out, c)
		}
	}
	return out
}

// checkCallersReset fails the test if a caller was not reset within maxTimeToLearn after its
// first packet, or after all processes had started if that was later.
func (s *sim) checkCallersReset(callers []*caller, up time.Time) {
	late, worst := 0, time.Duration(0)
	for _, c := range callers {
		since := s.sentAt[c.flow]
		if since.Before(up) {
			since = up
		}
		at := s.resetAt[c.flow]
		if at.IsZero() {
			at = s.now
		}
		worst = max(worst, at.Sub(since))
		if at.Sub(since) > maxTimeToLearn {
			late++
		}
	}
	s.t.Logf("%d callers, worst time to a reset %s", len(callers), worst)
	if late > 0 {
		s.fail("%d of %d callers were reset after more than %s, the last after %s", late, len(callers), maxTimeToLearn, worst)
	}
}
