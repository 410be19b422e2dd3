package target

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// handler returns the target's endpoints. The query parameters work (duration of
// a run) and every (interval of events) are in milliseconds.
//
//	POST /confirm?work=        echoes the body
//	POST /upload               checks the Content-Digest of the body
//	GET  /list?n=&work=        n lines
//	GET  /feed?events=&every=  event stream of the given number of events; 0 is endless
//	GET  /health, GET /load    health and load reports
func (t *Target) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /confirm", t.withSlot(t.confirm))
	mux.HandleFunc("POST /upload", t.withSlot(t.upload))
	mux.HandleFunc("GET /list", t.withSlot(t.list))
	mux.HandleFunc("GET /feed", t.feed)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, r *http.Request) {
		if t.reportedLoad().Draining {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(t.reportedLoad())
	})
	return mux
}

// intParam returns an integer query parameter.
func intParam(r *http.Request, name string, defaultValue int) int {
	if n, err := strconv.Atoi(r.URL.Query().Get(name)); err == nil {
		return n
	}
	return defaultValue
}

func writeShed(w http.ResponseWriter) {
	w.Header().Set(headerOutcome, "not-run")
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// withSlot runs a handler in a slot, with the deadline of the request.
func (t *Target) withSlot(h func(http.ResponseWriter, *http.Request) Status) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id, ok := t.begin(r, false)
		if !ok {
			writeShed(w)
			return
		}
		status := Cancelled
		defer func() { t.end(id, false, status) }()
		ctx := r.Context()
		if ms, err := strconv.Atoi(r.Header.Get(headerDeadline)); err == nil {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
			defer cancel()
		}
		status = h(w, r.WithContext(ctx))
		if status == Expired {
			w.WriteHeader(http.StatusGatewayTimeout)
		}
	}
}

// run waits for the duration of a run and returns how the run ended.
func (t *Target) run(r *http.Request) Status {
	d := t.opts.RunTime
	if ms := intParam(r, "work", -1); ms >= 0 {
		d = time.Duration(ms) * time.Millisecond
	}
	if time.Since(t.started) < t.opts.ColdStart {
		d = time.Duration(float64(d) * t.opts.ColdFactor)
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return Completed
	case <-r.Context().Done():
		if r.Context().Err() == context.DeadlineExceeded {
			return Expired
		}
		return Cancelled
	}
}

func (t *Target) confirm(w http.ResponseWriter, r *http.Request) Status {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return Cancelled
	}
	if status := t.run(r); status != Completed {
		return status
	}
	fmt.Fprintf(w, "confirmed %s\n", body)
	return Completed
}

func (t *Target) upload(w http.ResponseWriter, r *http.Request) Status {
	h := sha256.New()
	n, err := io.Copy(h, r.Body)
	if err != nil {
		return Cancelled
	}
	digest := "sha-256=:" + base64.StdEncoding.EncodeToString(h.Sum(nil)) + ":"
	if want := r.Header.Get("Content-Digest"); want != "" && want != digest {
		http.Error(w, "the body does not match its Content-Digest", http.StatusBadRequest)
		return Invalid
	}
	if status := t.run(r); status != Completed {
		return status
	}
	fmt.Fprintf(w, "%d %s\n", n, digest)
	return Completed
}

func (t *Target) list(w http.ResponseWriter, r *http.Request) Status {
	if status := t.run(r); status != Completed {
		return status
	}
	for i := range intParam(r, "n", 1) {
		if _, err := fmt.Fprintf(w, "line %d\n", i); err != nil {
			return Cancelled
		}
	}
	return Completed
}

func (t *Target) feed(w http.ResponseWriter, r *http.Request) {
	id, ok := t.begin(r, true)
	if !ok {
		writeShed(w)
		return
	}
	status := Cancelled
	defer func() { t.end(id, true, status) }()
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	if control.Flush() != nil {
		return
	}
	events := intParam(r, "events", 0)
	every := time.NewTicker(max(time.Duration(intParam(r, "every", 100))*time.Millisecond, time.Millisecond))
	defer every.Stop()
	for i := 0; events == 0 || i < events; i++ {
		select {
		case <-every.C:
		case <-t.stop:
			status = Completed
			return
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "data: %d\n\n", i); err != nil || control.Flush() != nil {
			return
		}
	}
	status = Completed
}
