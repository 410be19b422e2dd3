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

// Reasons of refusals that don't come from one of the cores.
const (
	reasonStopping    = "stopping"
	reasonBadDeadline = "bad_deadline"
	reasonEventsFull  = "event_queue_full"
	reasonDeadline    = "deadline_during_run"
	reasonBroken      = "target_connection_broken"
	reasonPeerBroken  = "peer_connection_broken"
)

var errDeadline = errors.New("the deadline passed before the response started")

// actionsPerRequest exceeds the admission actions that can be queued for one request.
const actionsPerRequest = 8

// request is a request in progress, served by one goroutine.
type request struct {
	id               admission.RequestID
	arrival          admission.Arrive
	in               *http.Request
	out              http.ResponseWriter
	body             *replayBody
	hasBody          bool
	timeout          time.Duration // from arrival to the deadline
	explicitDeadline bool          // the caller set the deadline
	idempotent       bool
	actions          chan admission.Action

	// Used only for requests with an idempotency key.
	keyActions     chan keys.Action
	outcome        message.Outcome
	answer         *message.Answer
	answerTooLarge bool
}

func (f *Front) serveCaller(w http.ResponseWriter, r *http.Request) {
	f.serveRequest(w, r, admission.Arrive{FirstSend: true})
}

// serveRequest serves a request of a caller, or one that another agent moved here.
func (f *Front) serveRequest(w http.ResponseWriter, r *http.Request, arrival admission.Arrive) {
	inProgress := f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	if f.closing() {
		w.Header().Set("Connection", "close")
	}
	switch {
	case f.stopping.Load():
		f.refuseBeforeAdmission(w, r, http.StatusServiceUnavailable, reasonStopping, time.Second)
		return
	case inProgress > int64(f.opts.MaxRequests):
		f.refuseBeforeAdmission(w, r, http.StatusServiceUnavailable, admission.ReasonTooManyRequests.String(), time.Second)
		return
	}
	policy := f.view.Load().Policy
	timeout, err := requestDeadline(r.Header, policy.Deadline)
	if err != nil {
		f.refuseBeforeAdmission(w, r, http.StatusBadRequest, reasonBadDeadline, 0)
		return
	}
	req := &request{
		id: admission.RequestID(f.nextID.Add(1)), arrival: arrival, in: r, out: w,
		body:             newReplayBody(r.Body, r.ContentLength, f.opts.Now),
		hasBody:          r.ContentLength != 0,
		timeout:          timeout,
		explicitDeadline: r.Header.Get(HeaderDeadline) != "",
		idempotent:       slices.Contains(policy.IdempotentMethods, r.Method),
		actions:          make(chan admission.Action, actionsPerRequest),
	}
	req.arrival.ID = req.id
	req.arrival.Deadline = f.opts.Now().Add(timeout)
	req.arrival.Idempotent = req.idempotent
	if key := f.idempotencyKey(req); key != "" {
		req.keyActions = make(chan keys.Action, 1)
		f.serveKeyed(req, key)
		return
	}
	f.admit(req)
}

// refuseBeforeAdmission refuses a request that neither core has handled. If it has an
// idempotency key, its outcome is unknown: an earlier attempt with that key may have run.
func (f *Front) refuseBeforeAdmission(w http.ResponseWriter, r *http.Request, status int, reason string, retryAfter time.Duration) {
	outcome := message.OutcomeNotRun
	if f.keys != nil && r.Header.Get(HeaderIdempotencyKey) != "" {
		outcome = message.OutcomeUnknown
	}
	f.writeError(w, status, outcome, reason, retryAfter)
}

// admit passes the request to the admission core and executes the actions until it ends.
func (f *Front) admit(req *request) {
	if !f.events.Put(requestEvent{req: req, event: req.arrival}) {
		f.refuseNotRun(req.out, http.StatusServiceUnavailable, reasonEventsFull, time.Second)
		return
	}
	for {
		select {
		case a := <-req.actions:
			if f.execute(req, a) {
				return
			}
		case <-req.in.Context().Done():
			// The request was not forwarded, and a queued Run action is ignored.
			f.enqueueEvent(admission.Cancelled{ID: req.id})
			f.enqueueEvent(admission.Finished{ID: req.id, Outcome: message.OutcomeNotRun})
			f.count("requests_finished", "cancelled_waiting")
			return
		}
	}
}

// execute executes an action and reports whether the request has ended.
func (f *Front) execute(req *request, a admission.Action) bool {
	var res result
	switch x := a.(type) {
	case admission.Refuse:
		status := http.StatusServiceUnavailable
		if x.Outcome == message.OutcomeUnknown {
			status = http.StatusBadGateway
		}
		req.outcome = x.Outcome
		f.writeError(req.out, status, x.Outcome, x.Reason.String(), x.RetryAfter)
		return true
	case admission.Run:
		req.outcome = message.OutcomeUnknown
		res = f.sendToTarget(req)
	case admission.MoveTo:
		req.outcome = message.OutcomeUnknown
		res = f.moveToPeer(req, x)
	default:
		return false
	}
	req.outcome = res.outcome
	f.enqueueEvent(admission.Finished{ID: req.id, Outcome: res.outcome, Shed: res.shed, SafeToMove: res.retry})
	if res.retry {
		return false
	}
	f.count("requests_finished", res.outcome.String())
	if res.status != 0 {
		f.writeError(req.out, res.status, res.outcome, res.reason, 0)
	}
	if res.truncated { // the caller must see that the response is incomplete
		panic(http.ErrAbortHandler)
	}
	return true
}

// refuseNotRun refuses a request that was not run.
func (f *Front) refuseNotRun(w http.ResponseWriter, status int, reason string, retryAfter time.Duration) {
	f.writeError(w, status, message.OutcomeNotRun, reason, retryAfter)
}

// writeError writes an error response with its outcome and reason, and counts the refusal.
func (f *Front) writeError(w http.ResponseWriter, status int, outcome message.Outcome, reason string, retryAfter time.Duration) {
	f.count("requests_refused", reason)
	h := w.Header()
	h.Set(HeaderOutcome, outcome.String())
	h.Set(HeaderReason, reason)
	if retryAfter > 0 {
		h.Set("Retry-After", retryAfterSeconds(retryAfter))
	}
	http.Error(w, outcome.String()+": "+reason, status)
}

// withResponseDeadline returns a context that ends when the caller disconnects, and at the
// deadline unless stopDeadline is called before. If the caller set no deadline, an upload may
// exceed it while parts of the body keep arriving within the timeout.
func (f *Front) withResponseDeadline(req *request) (ctx context.Context, stopDeadline, cancel func()) {
	ctx, cancelCause := context.WithCancelCause(req.in.Context())
	stop := make(chan struct{})
	stopOnce := sync.OnceFunc(func() { close(stop) })
	go func() {
		timer := time.NewTimer(req.arrival.Deadline.Sub(f.opts.Now()))
		defer timer.Stop()
		for {
			select {
			case <-stop:
				return
			case <-timer.C:
			}
			idleTime, uploading := req.body.idleTime(f.opts.Now())
			if req.explicitDeadline || !req.hasBody || !uploading || idleTime >= req.timeout {
				cancelCause(errDeadline)
				return
			}
			timer.Reset(req.timeout - idleTime)
		}
	}()
	return ctx, stopOnce, func() { stopOnce(); cancelCause(context.Canceled) }
}
