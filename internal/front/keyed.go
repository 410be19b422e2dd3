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
	// maxAnswer is the largest answer kept for a second send of its key; the
	// keys core stores larger ones without their body.
	maxAnswer = 32 << 10

	reasonBadKey  = "bad_key"
	reasonBadBody = "body_not_received"
)

// viewApplier is implemented by Homes that the loop keeps up to date.
type viewApplier interface {
	Apply(now time.Time, v model.ServiceView)
}

// keyOf returns the key of a request that the keys core takes care of. Keys of
// idempotent requests have no effect.
func (f *Front) keyOf(req *request) string {
	if f.keys == nil || req.arrive.Moved || req.idempotent {
		return ""
	}
	return req.in.Header.Get(HeaderIdempotencyKey)
}

// serveKeyed runs a keyed request once its homes have granted the key. A
// refusal before they were asked says unknown: an earlier send may have run.
func (f *Front) serveKeyed(req *request, key string) {
	if len(key) > maxKeyLength {
		f.answerError(req.out, http.StatusBadRequest, message.OutcomeUnknown, reasonBadKey, 0)
		return
	}
	print, err := fingerprint(req)
	if err != nil {
		f.answerError(req.out, http.StatusRequestTimeout, message.OutcomeUnknown, reasonBadBody, 0)
		return
	}
	begin := keys.Begin{ID: uint64(req.id), Key: key, Fingerprint: print, Deadline: req.arrive.Deadline}
	if !f.events.Put(requestEvent{req: req, key: begin}) {
		f.answerError(req.out, http.StatusServiceUnavailable, message.OutcomeUnknown, reasonEventsFull, time.Second)
		return
	}
	req.outcome = message.OutcomeNotRun // until it is sent
	defer func() {
		f.events.Put(requestEvent{key: keys.Ended{ID: uint64(req.id), Outcome: req.outcome, Answer: req.answer}})
	}()
	select {
	case a := <-req.keyCommands:
		switch x := a.(type) {
		case keys.Proceed:
			f.admit(req)
		case keys.Replay:
			f.replay(req, x.Answer)
		case keys.Refuse:
			f.answerError(req.out, keyStatus(x.Reason), x.Outcome, x.Reason.String(), x.RetryAfter)
		}
	case <-req.in.Context().Done():
	}
}

func keyStatus(r keys.Reason) int {
	switch r {
	case keys.ReasonInProgress, keys.ReasonUnknown, keys.ReasonTruncated:
		return http.StatusConflict
	case keys.ReasonMismatch:
		return http.StatusUnprocessableEntity
	}
	return http.StatusServiceUnavailable
}

// replay answers with the stored answer of the key's run.
func (f *Front) replay(req *request, a *message.Answer) {
	f.count("requests_finished", "replayed")
	h := req.out.Header()
	copyEndToEnd(h, a.Header)
	h.Set(HeaderOutcome, message.OutcomeRan.String())
	req.out.WriteHeader(a.Status)
	_, _ = req.out.Write(a.Body) // a caller that left sends the key again
}

// fingerprint covers the method, the path and the body. The body of an upload
// that is too large to keep counts by its digest field if it has one, else by
// its length.
func fingerprint(req *request) (uint64, error) {
	h := sha256.New()
	fmt.Fprintf(h, "%s %s %d\n", req.in.Method, req.in.URL.RequestURI(), req.in.ContentLength)
	if n := req.in.ContentLength; n >= 0 && n <= replayLimit {
		control := http.NewResponseController(req.out)
		if err := control.SetReadDeadline(time.Now().Add(req.within)); err != nil {
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
	return binary.BigEndian.Uint64(h.Sum(nil)) | 1, nil // not 0
}

// keep notes the answer to a keyed request for the record of its key.
func (req *request) keep(status int, header http.Header, body []byte, complete bool) {
	if req.keyCommands == nil {
		return
	}
	if req.answer == nil {
		req.answer = &message.Answer{Status: status, Header: make(map[string][]string), Truncated: true}
		copyEndToEnd(req.answer.Header, header)
		delete(req.answer.Header, "Trailer")
	}
	if len(req.answer.Body)+len(body) > maxAnswer {
		req.tooLarge = true
	}
	if req.tooLarge {
		req.answer.Body = nil
		return
	}
	req.answer.Body = append(req.answer.Body, body...)
	req.answer.Truncated = !complete
}

// stepKeys passes an event to the keys core. It runs on the loop.
func (f *Front) stepKeys(ev keys.Event) {
	if f.keys == nil {
		return
	}
	for _, a := range f.keys.Step(f.o.Now(), ev) {
		switch x := a.(type) {
		case keys.Send:
			f.send(x.To, x.Msg)
		case keys.Proceed:
			f.keyCommand(x.ID, x)
		case keys.Replay:
			f.keyCommand(x.ID, x)
		case keys.Refuse:
			f.keyCommand(x.ID, x)
		}
	}
	if e, ok := ev.(keys.Ended); ok {
		delete(f.keyed, e.ID)
	}
}

// keyCommand hands the only decision on a key to the request's goroutine.
func (f *Front) keyCommand(id uint64, a keys.Action) {
	if req, ok := f.keyed[id]; ok {
		req.keyCommands <- a // has room for one
		delete(f.keyed, id)
	}
}
