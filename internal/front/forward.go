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

const (
	dialTimeout = time.Second
	copyBuffer  = 32 << 10
)

// result is the end of one send.
type result struct {
	outcome message.Outcome
	shed    bool // the target marked its answer as not run
	again   bool // the core decides about another send
	status  int  // error answer to the caller; 0 if an answer was passed on
	reason  string
	abort   bool // the answer broke off
}

// newClient returns a client that sends each request at most once. Keep-alive
// is off because net/http resends a request by itself when a reused connection
// turns out to be closed, requests with an Idempotency-Key included.
func newClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
			DisableKeepAlives:  true,
			DisableCompression: true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// outgoing returns the request to send on. connected is set once a connection
// was obtained; until then no byte was written.
func (f *Front) outgoing(ctx context.Context, req *request, host string) (out *http.Request, connected *atomic.Bool) {
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
		out.Body = req.body.reader() // non-nil without GetBody: net/http must not replay it
	}
	copyEndToEnd(out.Header, req.in.Header)
	if req.in.Header.Get("User-Agent") == "" {
		out.Header.Set("User-Agent", "") // otherwise net/http adds its own
	}
	left := req.arrive.Deadline.Sub(f.o.Now()).Milliseconds()
	out.Header.Set(HeaderDeadline, strconv.FormatInt(max(left, 0), 10))
	return out, connected
}

func (f *Front) sendToTarget(req *request) result {
	if !f.o.Now().Before(req.arrive.Deadline) { // the process may have been paused
		return result{outcome: message.OutcomeNotRun, status: http.StatusServiceUnavailable, reason: admission.ReasonDeadlinePassed.String()}
	}
	ctx, answered, cancel := f.untilAnswer(req)
	defer cancel()
	out, connected := f.outgoing(ctx, req, f.o.Target.Host)
	if host, _, err := net.SplitHostPort(req.in.RemoteAddr); err == nil && !req.arrive.Moved {
		out.Header.Add("X-Forwarded-For", host)
	}
	resp, err := f.target.Do(out)
	if err != nil {
		return f.failed(ctx, req, connected.Load(), reasonBroken)
	}
	defer resp.Body.Close()
	answered()
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderOutcome) == message.OutcomeNotRun.String() {
		return f.shed(req)
	}
	req.body.forget()
	stream := streaming(resp.Header)
	if stream {
		f.report(admission.Started{ID: req.id, Streaming: true})
	}
	req.out.Header().Set(HeaderOutcome, message.OutcomeRan.String())
	return result{outcome: message.OutcomeRan, abort: !f.passOn(req, resp, stream)}
}

// shed handles an answer by which the target said that it did not run the request.
func (f *Front) shed(req *request) result {
	res := result{outcome: message.OutcomeNotRun, shed: true, again: req.body.replayable()}
	if !res.again {
		res.status, res.reason = http.StatusServiceUnavailable, admission.ReasonTargetShed.String()
		req.out.Header().Set("Retry-After", "1")
	}
	return res
}

// failed handles a send without an answer.
func (f *Front) failed(ctx context.Context, req *request, connected bool, reason string) result {
	late := errors.Is(context.Cause(ctx), errDeadline)
	switch {
	case req.in.Context().Err() != nil: // the caller is gone
		if !connected {
			return result{outcome: message.OutcomeNotRun}
		}
		return result{outcome: message.OutcomeUnknown}
	case !connected && late:
		return result{outcome: message.OutcomeNotRun, status: http.StatusServiceUnavailable, reason: admission.ReasonDeadlinePassed.String()}
	case !connected:
		return result{outcome: message.OutcomeNotRun, again: true}
	case late:
		return result{outcome: message.OutcomeUnknown, status: http.StatusGatewayTimeout, reason: reasonDeadline}
	case req.idempotent && req.body.replayable():
		return result{outcome: message.OutcomeUnknown, again: true}
	}
	return result{outcome: message.OutcomeUnknown, status: http.StatusBadGateway, reason: reason}
}

// sendToPeer moves the request to another agent, which answers for it.
func (f *Front) sendToPeer(req *request, to admission.MoveTo) result {
	addr, ok := f.peerAddr(to.Node)
	if !ok || !req.body.replayable() {
		return result{outcome: message.OutcomeNotRun, again: req.body.replayable(),
			status: http.StatusServiceUnavailable, reason: admission.ReasonTargetUnreachable.String()}
	}
	ctx, answered, cancel := f.untilAnswer(req)
	defer cancel()
	out, connected := f.outgoing(ctx, req, addr.String())
	if host, _, err := net.SplitHostPort(req.in.RemoteAddr); err == nil {
		out.Header.Add("X-Forwarded-For", host)
	}
	f.signMoved(out, to.Reservation)
	resp, err := f.peers.Do(out)
	if err != nil {
		return f.failed(ctx, req, connected.Load(), reasonPeerBroken)
	}
	defer resp.Body.Close()
	answered()
	outcome := parseOutcome(resp.Header.Get(HeaderOutcome))
	h := req.out.Header()
	h.Set(HeaderOutcome, outcome.String())
	if reason := resp.Header.Get(HeaderReason); reason != "" {
		h.Set(HeaderReason, reason)
	}
	return result{outcome: outcome, abort: !f.passOn(req, resp, streaming(resp.Header))}
}

// passOn copies an answer to the caller and reports whether it was complete.
func (f *Front) passOn(req *request, resp *http.Response, stream bool) bool {
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
		_ = control.Flush() // a feed's header must not wait for its first event
	}
	buf := make([]byte, copyBuffer)
	for {
		n, err := resp.Body.Read(buf)
		req.keep(resp.StatusCode, resp.Header, buf[:n], err == io.EOF)
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
