package front

import (
	"context"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/admission"
	"github.com/bulrushshelf/bulrushshelf/internal/keys"
	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// idleTick is the longest time between two ticks of the cores.
const idleTick = time.Second

// run owns the cores until ctx ends.
func (f *Front) run(ctx context.Context) {
	timer := time.NewTimer(idleTick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-f.events.Items():
			f.takeEvent(e)
		case in := <-f.incoming.Items():
			f.receive(in)
		case <-f.wake:
			f.mu.Lock()
			news := f.news
			f.news = nil
			f.mu.Unlock()
			for _, ev := range news {
				f.takeNews(ev)
			}
		case <-timer.C:
			f.step(admission.Tick{})
			f.stepKeys(keys.Tick{})
		}
		f.idle.closeOld(f.o.Now())
		timer.Reset(f.untilTick())
		load := f.core.Load()
		f.load.Store(&load)
		f.running.Store(int64(f.core.Busy()))
	}
}

func (f *Front) takeEvent(e requestEvent) {
	if e.key != nil {
		if e.req != nil {
			f.keyed[uint64(e.req.id)] = e.req
		}
		f.stepKeys(e.key)
		return
	}
	if e.req != nil {
		f.requests[e.req.id] = e.req
	}
	f.step(e.ev)
}

func (f *Front) takeNews(ev admission.Event) {
	f.step(ev)
	if e, ok := ev.(admission.ViewChanged); ok {
		if homes, ok := f.o.Homes.(viewApplier); ok {
			homes.Apply(f.o.Now(), e.View)
		}
		f.stepKeys(keys.ViewChanged{View: e.View})
	}
}

func (f *Front) untilTick() time.Duration {
	next := f.core.Next()
	if f.keys != nil {
		if due := f.keys.Next(); next.IsZero() || due.Before(next) {
			next = due
		}
	}
	if next.IsZero() {
		return idleTick
	}
	return min(max(next.Sub(f.o.Now()), 0), idleTick)
}

func (f *Front) receive(in peerMessage) {
	switch m := in.m.(type) {
	case message.Reserve:
		f.step(admission.ReserveRequest{From: in.from, ID: m.ID, Waited: m.Waited, Queue: m.Queue, Release: m.Release})
	case message.ReserveReply:
		f.step(admission.ReserveReply{From: in.from, ID: m.ID, Granted: m.Granted, Waiting: m.Waiting, Load: m.Load})
	case message.LoadReport:
		f.step(admission.PeerLoad{Node: in.from, Load: m.Load})
	case message.KeyBegin, message.KeyReply, message.KeyDone, message.KeyDoneAck, message.KeyPull, message.KeyCopy:
		f.stepKeys(keys.Received{From: in.from, Msg: m})
	default:
		f.count("front_events_dropped", "unexpected_message")
	}
}

func (f *Front) step(ev admission.Event) {
	for _, a := range f.core.Step(f.o.Now(), ev) {
		f.act(a)
	}
	if e, ok := ev.(admission.Finished); ok && !e.SafeToMove {
		delete(f.requests, e.ID)
	}
}

func (f *Front) act(a admission.Action) {
	switch x := a.(type) {
	case admission.Run:
		f.command(x.ID, x)
	case admission.MoveTo:
		f.count("requests_moved", x.Reason.String())
		f.command(x.ID, x)
	case admission.Cancel:
		f.command(x.ID, x)
	case admission.Refuse:
		f.command(x.ID, x)
		delete(f.requests, x.ID)
	case admission.SendReserve:
		f.send(x.To, x.Msg)
	case admission.SendReserveReply:
		f.send(x.To, x.Msg)
	case admission.SendLoad:
		f.send(x.To, message.LoadReport{Load: x.Load})
	}
}

// command hands a decision to the goroutine that serves the request.
func (f *Front) command(id admission.RequestID, a admission.Action) {
	r, ok := f.requests[id]
	if !ok {
		return
	}
	select {
	case r.commands <- a:
	default:
		f.count("front_events_dropped", "command")
	}
}

// report hands an event of a request to the loop.
func (f *Front) report(ev admission.Event) { f.events.Put(requestEvent{ev: ev}) }

func (f *Front) send(to model.NodeID, m message.Message) {
	if f.o.Peers != nil {
		f.o.Peers.Send(to, m)
	}
}
