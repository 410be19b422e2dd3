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

// handler returns the target's endpoints. work, events, every and n are query
// parameters; times are in ms.
//
//	POST /confirm?work=        one work step
//	POST /upload               checks the Content-Digest of the body
//	GET  /list?n=&work=        n lines
//	GET  /feed?events=&every=  events as they come; 0 events never ends
//	GET  /health, GET /load    reports
func (t *Target) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /confirm", t.slotted(t.confirm))
	mux.HandleFunc("POST /upload", t.slotted(t.upload))
	mux.HandleFunc("GET /list", t.slotted(t.list))
	mux.HandleFunc("GET /feed", t.feed)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, r *http.Request) {
		if t.reported().Draining {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(t.reported())
	})
	return mux
}

// number returns a query parameter.
func number(r *http.Request, name string, byDefault int) int {
	if n, err := strconv.Atoi(r.URL.Query().Get(name)); err == nil {
		return n
	}
	return byDefault
}

func refuse(w http.ResponseWriter) {
	w.Header().Set(headerOutcome, "not-run")
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// slotted runs a handler in a slot, with the deadline that the request carries.
func (t *Target) slotted(h func(http.ResponseWriter, *http.Request) Ending) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id, ok := t.begin(r, false)
		if !ok {
			refuse(w)
			return
		}
		how := Cancelled
		defer func() { t.end(id, false, how) }()
		ctx := r.Context()
		if ms, err := strconv.Atoi(r.Header.Get(headerDeadline)); err == nil {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
			defer cancel()
		}
		how = h(w, r.WithContext(ctx))
		if how == Expired {
			w.WriteHeader(http.StatusGatewayTimeout)
		}
	}
}

// work takes the time of a run and returns how it ended.
func (t *Target) work(r *http.Request) Ending {
	d := t.o.Work
	if ms := number(r, "work", -1); ms >= 0 {
		d = time.Duration(ms) * time.Millisecond
	}
	if time.Since(t.started) < t.o.Cold {
		d = time.Duration(float64(d) * t.o.ColdFactor)
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

func (t *Target) confirm(w http.ResponseWriter, r *http.Request) Ending {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return Cancelled
	}
	if how := t.work(r); how != Completed {
		return how
	}
	fmt.Fprintf(w, "confirmed %s\n", body)
	return Completed
}

func (t *Target) upload(w http.ResponseWriter, r *http.Request) Ending {
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
	if how := t.work(r); how != Completed {
		return how
	}
	fmt.Fprintf(w, "%d %s\n", n, digest)
	return Completed
}

func (t *Target) list(w http.ResponseWriter, r *http.Request) Ending {
	if how := t.work(r); how != Completed {
		return how
	}
	for i := range number(r, "n", 1) {
		if _, err := fmt.Fprintf(w, "line %d\n", i); err != nil {
			return Cancelled
		}
	}
	return Completed
}

func (t *Target) feed(w http.ResponseWriter, r *http.Request) {
	id, ok := t.begin(r, true)
	if !ok {
		refuse(w)
		return
	}
	how := Cancelled
	defer func() { t.end(id, true, how) }()
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	if control.Flush() != nil {
		return
	}
	events := number(r, "events", 0)
	every := time.NewTicker(max(time.Duration(number(r, "every", 100))*time.Millisecond, time.Millisecond))
	defer every.Stop()
	for i := 0; events == 0 || i < events; i++ {
		select {
		case <-every.C:
		case <-t.stop:
			how = Completed
			return
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "data: %d\n\n", i); err != nil || control.Flush() != nil {
			return
		}
	}
	how = Completed
}
