package front

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/keys"
	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

const (
	maxKeyLength = 255
	// maxStoredAnswer is the largest response body that is stored for later attempts
	// with the same key. The keys core stores larger responses without their body.
	maxStoredAnswer = 32 << 10

	reasonBadKey  = "bad_key"
	reasonBadBody = "body_not_received"
)

// viewApplier is implemented by Options.Homes that need each view.
type viewApplier interface {
	Apply(now time.Time, v model.ServiceView)
}

// idempotencyKey returns the key of a request that the keys core handles, or "". Keys of
// idempotent requests are ignored.
func (f *Front) idempotencyKey(req *request) string {
	if f.keys == nil || req.arrival.Moved || req.idempotent {
		return ""
	}
	return req.in.Header.Get(HeaderIdempotencyKey)
}

// serveKeyed runs a request with an idempotency key after the homes have granted the key. If
// it is refused before the homes were queried, its outcome is unknown: an earlier attempt may
// have run.
func (f *Front) serveKeyed(req *request, key string) {
	if len(key) > maxKeyLength {
		f.writeError(req.out, http.StatusBadRequest, message.OutcomeUnknown, reasonBadKey, 0)
		return
	}
	sum, err := fingerprint(req)
	if err != nil {
		f.writeError(req.out, http.StatusRequestTimeout, message.OutcomeUnknown, reasonBadBody, 0)
		return
	}
	begin := keys.Begin{ID: uint64(req.id), Key: key, Fingerprint: sum, Deadline: req.arrival.Deadline}
	if !f.events.Put(requestEvent{req: req, keyEvent: begin}) {
		f.writeError(req.out, http.StatusServiceUnavailable, message.OutcomeUnknown, reasonEventsFull, time.Second)
		return
	}
	req.outcome = message.OutcomeNotRun // until it is forwarded
	defer func() {
		f.events.Put(requestEvent{keyEvent: keys.Ended{ID: uint64(req.id), Outcome: req.outcome, Answer: req.answer}})
	}()
	select {
	case a := <-req.keyActions:
		switch x := a.(type) {
		case keys.Proceed:
			f.admit(req)
		case keys.Replay:
			f.replay(req, x.Answer)
		case keys.Refuse:
			f.writeError(req.out, keyStatus(x.Reason), x.Outcome, x.Reason.String(), x.RetryAfter)
		}
	case <-req.in.Context().Done():
	}
}

// keyStatus returns the HTTP status of a refusal by the keys core.
func keyStatus(r keys.Reason) int {
	switch r {
	case keys.ReasonInProgress, keys.ReasonUnknown, keys.ReasonTruncated:
		return http.StatusConflict
	case keys.ReasonMismatch:
		return http.StatusUnprocessableEntity
	}
	return http.StatusServiceUnavailable
}

// replay responds with the stored answer of the run of the key.
func (f *Front) replay(req *request, a *message.Answer) {
	f.count("requests_finished", "replayed")
	h := req.out.Header()
	copyEndToEnd(h, a.Header)
	h.Set(HeaderOutcome, message.OutcomeRan.String())
	req.out.WriteHeader(a.Status)
	_, _ = req.out.Write(a.Body) // a caller that disconnected can send the key again
}

// fingerprint hashes the method, the path, the content length and the body. If the body is too
// large to be buffered or its length is unknown, it hashes the Content-Digest and Repr-Digest
// header fields instead; without these fields, bodies of equal length are not distinguished.
func fingerprint(req *request) (uint64, error) {
	h := sha256.New()
	fmt.Fprintf(h, "%s %s %d\n", req.in.Method, req.in.URL.RequestURI(), req.in.ContentLength)
	if n := req.in.ContentLength; n >= 0 && n <= maxReplayBytes {
		control := http.NewResponseController(req.out)
		if err := control.SetReadDeadline(time.Now().Add(req.timeout)); err != nil {
			return 0, err
		}
		if _, err := io.Copy(h, req.body.reader()); err != nil {
			return 0, err
		}
		if err := control.SetReadDeadline(time.Time{}); err != nil {
			return 0, err
		}
	} else {
		fmt.Fprintf(h, "%s\n%s\n", req.in.Header.Get("Content-Digest"), req.in.Header.Get("Repr-Digest"))
	}
	return binary.BigEndian.Uint64(h.Sum(nil)) | 1, nil // never 0
}

// recordAnswer adds a part of the response body to the answer that the keys core stores. It
// ignores requests without a key.
func (req *request) recordAnswer(status int, header http.Header, body []byte, complete bool) {
	if req.keyActions == nil {
		return
	}
	if req.answer == nil {
		req.answer = &message.Answer{Status: status, Header: make(map[string][]string), Truncated: true}
		copyEndToEnd(req.answer.Header, header)
		delete(req.answer.Header, "Trailer")
	}
	if len(req.answer.Body)+len(body) > maxStoredAnswer {
		req.answerTooLarge = true
	}
	if req.answerTooLarge {
		req.answer.Body = nil
		return
	}
	req.answer.Body = append(req.answer.Body, body...)
	req.answer.Truncated = !complete
}

// stepKeys passes an event to the keys core and applies its actions. Only the loop calls it.
func (f *Front) stepKeys(ev keys.Event) {
	if f.keys == nil {
		return
	}
	for _, a := range f.keys.Step(f.opts.Now(), ev) {
		switch x := a.(type) {
		case keys.Send:
			f.sendMessage(x.To, x.Msg)
		case keys.Proceed:
			f.sendKeyAction(x.ID, x)
		case keys.Replay:
			f.sendKeyAction(x.ID, x)
		case keys.Refuse:
			f.sendKeyAction(x.ID, x)
		}
	}
	if e, ok := ev.(keys.Ended); ok {
		delete(f.keyedRequests, e.ID)
	}
}

// sendKeyAction passes the only action for a keyed request to the goroutine that serves it.
func (f *Front) sendKeyAction(id uint64, a keys.Action) {
	if req, ok := f.keyedRequests[id]; ok {
		req.keyActions <- a // never blocks: buffered for one action
		delete(f.keyedRequests, id)
	}
}
