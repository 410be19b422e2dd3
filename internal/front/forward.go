package front

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/admission"
	"github.com/bulrushshelf/bulrushshelf/internal/message"
)

const copyBufferBytes = 32 << 10

// result is the result of one attempt to run a request.
type result struct {
	outcome   message.Outcome
	shed      bool // the target responded that it did not run the request
	retry     bool // the admission core decides about another attempt
	status    int  // of the error response; 0 if none is to be written
	reason    string
	truncated bool // the response ended before it was complete
}

// newClient returns a client that sends each request at most once. Keep-alive is off because
// net/http automatically resends some requests, such as those with an Idempotency-Key, when a
// reused connection turns out to be closed.
func newClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:        redialAfterPause((&net.Dialer{Timeout: dialTimeout}).DialContext, time.Now),
			DisableKeepAlives:  true,
			DisableCompression: true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// newOutgoing returns the request to forward to a target or peer. connected becomes true when
// a connection was obtained; before that, no byte of the request was written.
func (f *Front) newOutgoing(ctx context.Context, req *request, host string) (out *http.Request, connected *atomic.Bool) {
	connected = new(atomic.Bool)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	u := *req.in.URL
	u.Scheme, u.Host = "http", host
	out = (&http.Request{
		Method: req.in.Method, URL: &u, Host: req.in.Host, Header: make(http.Header),
		ContentLength: req.in.ContentLength,
	}).WithContext(ctx)
	if req.hasBody || !req.idempotent {
		out.Body = req.body.reader() // a body without GetBody keeps net/http from resending it
	}
	copyEndToEnd(out.Header, req.in.Header)
	if req.in.Header.Get("User-Agent") == "" {
		out.Header.Set("User-Agent", "") // an empty value keeps net/http from adding its own
	}
	remaining := req.arrival.Deadline.Sub(f.opts.Now()).Milliseconds()
	out.Header.Set(HeaderDeadline, strconv.FormatInt(max(remaining, 0), 10))
	return out, connected
}

// sendToTarget forwards the request to the local target.
func (f *Front) sendToTarget(req *request) result {
	if !f.opts.Now().Before(req.arrival.Deadline) { // for example after a pause of the process
		return result{outcome: message.OutcomeNotRun, status: http.StatusServiceUnavailable, reason: admission.ReasonDeadlinePassed.String()}
	}
	ctx, stopDeadline, cancel := f.withResponseDeadline(req)
	defer cancel()
	out, connected := f.newOutgoing(ctx, req, f.opts.Target.Host)
	if host, _, err := net.SplitHostPort(req.in.RemoteAddr); err == nil && !req.arrival.Moved {
		out.Header.Add("X-Forwarded-For", host)
	}
	resp, err := f.target.Do(out)
	if err != nil {
		return f.handleSendError(ctx, req, connected.Load(), reasonBroken)
	}
	defer resp.Body.Close()
	stopDeadline()
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderOutcome) == message.OutcomeNotRun.String() {
		return f.handleShed(req)
	}
	req.body.discard()
	stream := isStreaming(resp.Header)
	if stream {
		f.enqueueEvent(admission.Started{ID: req.id, Streaming: true})
	}
	req.out.Header().Set(HeaderOutcome, message.OutcomeRan.String())
	return result{outcome: message.OutcomeRan, truncated: !f.forwardResponse(req, resp, stream)}
}

// handleShed handles a response of the target that it shed the request, that is, did not run
// it. The request is retried if its body can be sent again.
func (f *Front) handleShed(req *request) result {
	res := result{outcome: message.OutcomeNotRun, shed: true, retry: req.body.replayable()}
	if !res.retry {
		res.status, res.reason = http.StatusServiceUnavailable, admission.ReasonTargetShed.String()
		req.out.Header().Set("Retry-After", "1")
	}
	return res
}

// handleSendError returns the result of an attempt that got no response. Without a connection
// the request was not run; with one, the outcome is unknown, and only an idempotent request is
// retried.
func (f *Front) handleSendError(ctx context.Context, req *request, connected bool, reason string) result {
	deadlinePassed := errors.Is(context.Cause(ctx), errDeadline)
	switch {
	case req.in.Context().Err() != nil: // the caller disconnected
		if !connected {
			return result{outcome: message.OutcomeNotRun}
		}
		return result{outcome: message.OutcomeUnknown}
	case !connected && deadlinePassed:
		return result{outcome: message.OutcomeNotRun, status: http.StatusServiceUnavailable, reason: admission.ReasonDeadlinePassed.String()}
	case !connected:
		return result{outcome: message.OutcomeNotRun, retry: true}
	case deadlinePassed:
		return result{outcome: message.OutcomeUnknown, status: http.StatusGatewayTimeout, reason: reasonDeadline}
	case req.idempotent && req.body.replayable():
		return result{outcome: message.OutcomeUnknown, retry: true}
	}
	return result{outcome: message.OutcomeUnknown, status: http.StatusBadGateway, reason: reason}
}

// moveToPeer moves the request to another agent and forwards its response.
func (f *Front) moveToPeer(req *request, to admission.MoveTo) result {
	addr, ok := f.peerAddr(to.Node)
	if !ok || !req.body.replayable() {
		return result{outcome: message.OutcomeNotRun, retry: req.body.replayable(),
			status: http.StatusServiceUnavailable, reason: admission.ReasonTargetUnreachable.String()}
	}
	ctx, stopDeadline, cancel := f.withResponseDeadline(req)
	defer cancel()
	out, connected := f.newOutgoing(ctx, req, addr.String())
	if host, _, err := net.SplitHostPort(req.in.RemoteAddr); err == nil {
		out.Header.Add("X-Forwarded-For", host)
	}
	f.signMoved(out, to.Reservation)
	resp, err := f.peers.Do(out)
	if err != nil {
		return f.handleSendError(ctx, req, connected.Load(), reasonPeerBroken)
	}
	defer resp.Body.Close()
	stopDeadline()
	outcome := parseOutcome(resp.Header.Get(HeaderOutcome))
	h := req.out.Header()
	h.Set(HeaderOutcome, outcome.String())
	if reason := resp.Header.Get(HeaderReason); reason != "" {
		h.Set(HeaderReason, reason)
	}
	return result{outcome: outcome, truncated: !f.forwardResponse(req, resp, isStreaming(resp.Header))}
}

// forwardResponse copies a response to the caller and reports whether it was complete.
func (f *Front) forwardResponse(req *request, resp *http.Response, stream bool) bool {
	w := req.out
	copyEndToEnd(w.Header(), resp.Header)
	if f.closing() {
		w.Header().Set("Connection", "close")
	}
	for name := range resp.Trailer {
		w.Header().Add("Trailer", name)
	}
	w.WriteHeader(resp.StatusCode)
	flush := stream || resp.ContentLength < 0
	control := http.NewResponseController(w)
	if flush {
		_ = control.Flush() // the caller gets the header of a feed before its first event
	}
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := resp.Body.Read(buf)
		req.recordAnswer(resp.StatusCode, resp.Header, buf[:n], err == io.EOF)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return false
			}
			if flush && control.Flush() != nil {
				return false
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return false
		}
	}
	for name, values := range resp.Trailer {
		w.Header()[name] = values
	}
	return true
}
