package front

import (
	"context"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/admission"
	"github.com/bulrushshelf/bulrushshelf/internal/keys"
	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// maxTickInterval is the interval of ticks while neither core has an earlier deadline.
const maxTickInterval = time.Second

// runLoop runs the admission and keys cores until ctx ends. No other goroutine uses them.
func (f *Front) runLoop(ctx context.Context) {
	timer := time.NewTimer(maxTickInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-f.events.Items():
			f.handleRequestEvent(e)
		case in := <-f.incoming.Items():
			f.handlePeerMessage(in)
		case <-f.updateReady:
			f.mu.Lock()
			updates := f.updates
			f.updates = nil
			f.mu.Unlock()
			for _, ev := range updates {
				f.handleUpdate(ev)
			}
		case <-timer.C:
			f.stepAdmission(admission.Tick{})
			f.stepKeys(keys.Tick{})
		}
		f.idle.closeExpired(f.opts.Now())
		timer.Reset(f.nextTickDelay())
		load := f.core.Load()
		f.load.Store(&load)
		f.running.Store(int64(f.core.Busy()))
	}
}

func (f *Front) handleRequestEvent(e requestEvent) {
	if e.keyEvent != nil {
		if e.req != nil {
			f.keyedRequests[uint64(e.req.id)] = e.req
		}
		f.stepKeys(e.keyEvent)
		return
	}
	if e.req != nil {
		f.requests[e.req.id] = e.req
	}
	f.stepAdmission(e.event)
}

// handleUpdate handles a ViewChanged or Leave event.
func (f *Front) handleUpdate(ev admission.Event) {
	f.stepAdmission(ev)
	if e, ok := ev.(admission.ViewChanged); ok {
		if homes, ok := f.opts.Homes.(viewApplier); ok {
			homes.Apply(f.opts.Now(), e.View)
		}
		f.stepKeys(keys.ViewChanged{View: e.View})
	}
}

// nextTickDelay returns the time until the cores need a tick.
func (f *Front) nextTickDelay() time.Duration {
	next := f.core.Next()
	if f.keys != nil {
		if due := f.keys.Next(); next.IsZero() || due.Before(next) {
			next = due
		}
	}
	if next.IsZero() {
		return maxTickInterval
	}
	return min(max(next.Sub(f.opts.Now()), 0), maxTickInterval)
}

func (f *Front) handlePeerMessage(in peerMessage) {
	switch msg := in.msg.(type) {
	case message.Reserve:
		f.stepAdmission(admission.ReserveRequest{From: in.from, ID: msg.ID, Waited: msg.Waited, Queue: msg.Queue, Release: msg.Release})
	case message.ReserveReply:
		f.stepAdmission(admission.ReserveReply{From: in.from, ID: msg.ID, Granted: msg.Granted, Waiting: msg.Waiting, Load: msg.Load})
	case message.LoadReport:
		f.stepAdmission(admission.PeerLoad{Node: in.from, Load: msg.Load})
	case message.KeyBegin, message.KeyReply, message.KeyDone, message.KeyDoneAck, message.KeyPull, message.KeyCopy:
		f.stepKeys(keys.Received{From: in.from, Msg: msg})
	default:
		f.count("front_events_dropped", "unexpected_message")
	}
}

// stepAdmission passes an event to the admission core and applies its actions.
func (f *Front) stepAdmission(ev admission.Event) {
	for _, a := range f.core.Step(f.opts.Now(), ev) {
		f.applyAction(a)
	}
	if e, ok := ev.(admission.Finished); ok && !e.SafeToMove {
		delete(f.requests, e.ID)
	}
}

func (f *Front) applyAction(a admission.Action) {
	switch x := a.(type) {
	case admission.Run:
		f.sendAction(x.ID, x)
	case admission.MoveTo:
		f.count("requests_moved", x.Reason.String())
		f.sendAction(x.ID, x)
	case admission.Cancel:
		f.sendAction(x.ID, x)
	case admission.Refuse:
		f.sendAction(x.ID, x)
		delete(f.requests, x.ID)
	case admission.SendReserve:
		f.sendMessage(x.To, x.Msg)
	case admission.SendReserveReply:
		f.sendMessage(x.To, x.Msg)
	case admission.SendLoad:
		f.sendMessage(x.To, message.LoadReport{Load: x.Load})
	}
}

// sendAction passes an action to the goroutine that serves the request.
func (f *Front) sendAction(id admission.RequestID, a admission.Action) {
	r, ok := f.requests[id]
	if !ok {
		return
	}
	select {
	case r.actions <- a:
	default:
		f.count("front_events_dropped", "command")
	}
}

// enqueueEvent passes an event of a request to the loop.
func (f *Front) enqueueEvent(event admission.Event) { f.events.Put(requestEvent{event: event}) }

// sendMessage sends a message to another agent, if this agent has peers.
func (f *Front) sendMessage(to model.NodeID, m message.Message) {
	if f.opts.Peers != nil {
		f.opts.Peers.Send(to, m)
	}
}
