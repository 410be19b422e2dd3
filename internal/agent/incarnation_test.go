package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// Guards against messages that are sealed under the lower incarnation and refused again, which delays
// the return of the target until the next heartbeat.
func TestIncarnationIsRaisedBeforeMessagesAreSent(t *testing.T) {
	is := is.New(t)
	s := newDriver(t, 1)
	out := s.core.Step(s.now, Received{From: "b1", Incarnation: 1, Msg: message.Superseded{Incarnation: 70}})
	is.True(len(out) > 1) // with a heartbeat
	is.Equal(out[0], Action(Incarnation{Incarnation: 71}))
}

// registeredIn returns the flows that the agent registers within d. Each batch is acknowledged.
func (s *driver) registeredIn(d time.Duration) map[model.Flow]bool {
	out := map[model.Flow]bool{}
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(50 * time.Millisecond)
		for _, a := range append([]Action{}, s.core.Step(s.now, Tick{})...) {
			if send, ok := a.(Send); ok {
				if m, ok := send.Msg.(message.FlowRegister); ok {
					for _, f := range m.Flows {
						out[f] = true
					}
					s.core.Step(s.now, Received{From: send.To, Incarnation: 1, Msg: message.FlowAck{Seq: m.Seq}})
				}
			}
		}
	}
	return out
}

// Guards against homes that forget the holders of open flows, because the holder had to raise its
// incarnation after it opened them: to the homes it looks restarted.
func TestFlowsAreRegisteredAgainUnderARaisedIncarnation(t *testing.T) {
	is := is.New(t)
	s := newDriver(t, 50)
	s.registeredIn(5 * time.Second)
	held := s.core.HeldFlows()
	is.True(held >= 50)
	is.Equal(len(s.registeredIn(5*time.Second)), 0) // all are registered
	for _, known := range []model.Incarnation{70, 90} {
		s.core.Step(s.now, Received{From: "b1", Incarnation: 1, Msg: message.Superseded{Incarnation: known}})
		is.Equal(s.core.Self().Incarnation, known+1)
		is.Equal(len(s.registeredIn(time.Second)), held)
	}
}
