package front

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/admission"
	"github.com/bulrushshelf/bulrushshelf/internal/keys"
	"github.com/bulrushshelf/bulrushshelf/internal/message"
)

// Reasons of refusals that the front decides itself.
const (
	reasonStopping    = "stopping"
	reasonBadDeadline = "bad_deadline"
	reasonEventsFull  = "event_queue_full"
	reasonDeadline    = "deadline_during_run"
	reasonBroken      = "target_connection_broken"
	reasonPeerBroken  = "peer_connection_broken"
)

var errDeadline = errors.New("the deadline passed before the answer started")

// commandsPerRequest is more than the decisions that can wait for a request.
const commandsPerRequest = 8

// request is one request in progress. One goroutine serves it.
type request struct {
	id         admission.RequestID
	arrive     admission.Arrive
	in         *http.Request
	out        http.ResponseWriter
	body       *replayBody
	hasBody    bool
	within     time.Duration // deadline as a duration
	explicit   bool          // the caller set the deadline
	idempotent bool
	commands   chan admission.Action

	// Of a keyed request only.
	keyCommands chan keys.Action
	outcome     message.Outcome
	answer      *message.Answer
	tooLarge    bool
}

func (f *Front) serveCaller(w http.ResponseWriter, r *http.Request) {
	f.serveRequest(w, r, admission.Arrive{FirstSend: true})
}

// serveRequest serves one request of a caller or of another agent.
func (f *Front) serveRequest(w http.ResponseWriter, r *http.Request, arrive admission.Arrive) {
	n := f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	if f.closing() {
		w.Header().Set("Connection", "close")
	}
	switch {
	case f.stopping.Load():
		f.refuseEarly(w, r, http.StatusServiceUnavailable, reasonStopping, time.Second)
		return
	case n > int64(f.o.MaxRequests):
		f.refuseEarly(w, r, http.StatusServiceUnavailable, admission.ReasonTooManyRequests.String(), time.Second)
		return
	}
	policy := f.view.Load().Policy
	within, err := requestDeadline(r.Header, policy.Deadline)
	if err != nil {
		f.refuseEarly(w, r, http.StatusBadRequest, reasonBadDeadline, 0)
		return
	}
	req := &request{
		id: admission.RequestID(f.nextID.Add(1)), arrive: arrive, in: r, out: w,
		body:       newReplayBody(r.Body, r.ContentLength, f.o.Now),
		hasBody:    r.ContentLength != 0,
		within:     within,
		explicit:   r.Header.Get(HeaderDeadline) != "",
		idempotent: slices.Contains(policy.IdempotentMethods, r.Method),
		commands:   make(chan admission.Action, commandsPerRequest),
	}
	req.arrive.ID = req.id
	req.arrive.Deadline = f.o.Now().Add(within)
	req.arrive.Idempotent = req.idempotent
	if key := f.keyOf(req); key != "" {
		req.keyCommands = make(chan keys.Action, 1)
		f.serveKeyed(req, key)
		return
	}
	f.admit(req)
}

// refuseEarly answers before anything is known of the request. An earlier send
// of the same key may have run.
func (f *Front) refuseEarly(w http.ResponseWriter, r *http.Request, status int, reason string, retryAfter time.Duration) {
	o := message.OutcomeNotRun
	if f.keys != nil && r.Header.Get(HeaderIdempotencyKey) != "" {
		o = message.OutcomeUnknown
	}
	f.answerError(w, status, o, reason, retryAfter)
}

// admit hands the request to the admission core and carries out its decisions.
func (f *Front) admit(req *request) {
	if !f.events.Put(requestEvent{req: req, ev: req.arrive}) {
		f.refuse(req.out, http.StatusServiceUnavailable, reasonEventsFull, time.Second)
		return
	}
	for {
		select {
		case a := <-req.commands:
			if f.carryOut(req, a) {
				return
			}
		case <-req.in.Context().Done():
			// Nothing was sent: if a decision to run is on its way, it is void.
			f.report(admission.Cancelled{ID: req.id})
			f.report(admission.Finished{ID: req.id, Outcome: message.OutcomeNotRun})
			f.count("requests_finished", "cancelled_waiting")
			return
		}
	}
}

// carryOut reports whether the request has ended.
func (f *Front) carryOut(req *request, a admission.Action) bool {
	var res result
	switch x := a.(type) {
	case admission.Refuse:
		status := http.StatusServiceUnavailable
		if x.Outcome == message.OutcomeUnknown {
			status = http.StatusBadGateway
		}
		req.outcome = x.Outcome
		f.answerError(req.out, status, x.Outcome, x.Reason.String(), x.RetryAfter)
		return true
	case admission.Run:
		req.outcome = message.OutcomeUnknown
		res = f.sendToTarget(req)
	case admission.MoveTo:
		req.outcome = message.OutcomeUnknown
		res = f.sendToPeer(req, x)
	default:
		return false
	}
	req.outcome = res.outcome
	f.report(admission.Finished{ID: req.id, Outcome: res.outcome, Shed: res.shed, SafeToMove: res.again})
	if res.again {
		return false
	}
	f.count("requests_finished", res.outcome.String())
	if res.status != 0 {
		f.answerError(req.out, res.status, res.outcome, res.reason, 0)
	}
	if res.abort { // the caller must not take a part for the whole answer
		panic(http.ErrAbortHandler)
	}
	return true
}

// refuse answers a request that was not run.
func (f *Front) refuse(w http.ResponseWriter, status int, reason string, retryAfter time.Duration) {
	f.answerError(w, status, message.OutcomeNotRun, reason, retryAfter)
}

func (f *Front) answerError(w http.ResponseWriter, status int, o message.Outcome, reason string, retryAfter time.Duration) {
	f.count("requests_refused", reason)
	h := w.Header()
	h.Set(HeaderOutcome, o.String())
	h.Set(HeaderReason, reason)
	if retryAfter > 0 {
		h.Set("Retry-After", retryAfterSeconds(retryAfter))
	}
	http.Error(w, o.String()+": "+reason, status)
}

// untilAnswer returns a context that ends with the caller's connection, and at
// the deadline unless answered is called before. Without a deadline of the
// caller's own, an upload may take longer as long as it makes progress.
func (f *Front) untilAnswer(req *request) (ctx context.Context, answered, cancel func()) {
	ctx, cancelCause := context.WithCancelCause(req.in.Context())
	stop := make(chan struct{})
	stopOnce := sync.OnceFunc(func() { close(stop) })
	go func() {
		timer := time.NewTimer(req.arrive.Deadline.Sub(f.o.Now()))
		defer timer.Stop()
		for {
			select {
			case <-stop:
				return
			case <-timer.C:
			}
			idle, uploading := req.body.idle(f.o.Now())
			if req.explicit || !req.hasBody || !uploading || idle >= req.within {
				cancelCause(errDeadline)
				return
			}
			timer.Reset(req.within - idle)
		}
	}()
	return ctx, stopOnce, func() { stopOnce(); cancelCause(context.Canceled) }
}
