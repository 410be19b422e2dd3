package store

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"github.com/bulrushshelf/bulrushshelf/internal/storeapi"
)

// maxBodyBytes leaves room for the base64 form of content slightly above the
// limit, so that it is refused with 413 and a clear message.
const maxBodyBytes = 2 * storeapi.MaxContentBytes

// epochWriter adds the epoch at the time of the response.
type epochWriter struct {
	http.ResponseWriter
	store *Store
}

func (w epochWriter) WriteHeader(status int) {
	w.Header().Set(storeapi.EpochHeader, strconv.FormatUint(w.store.currentEpoch(), 10))
	w.ResponseWriter.WriteHeader(status)
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w = epochWriter{w, s}
	switch {
	case r.URL.Path == CountsPath && r.Method == http.MethodGet:
		writeJSON(w, http.StatusOK, s.Counts())
	case r.URL.Path == FaultsPath && r.Method == http.MethodPut:
		var f Faults
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&f); err != nil {
			writeError(w, http.StatusBadRequest, storeapi.ErrorResponse{Code: storeapi.CodeInvalid, Message: err.Error()})
			return
		}
		s.SetFaults(f)
		writeJSON(w, http.StatusOK, f)
	case r.URL.Path == storeapi.WatchPath && r.Method == http.MethodGet:
		if s.admit(w, r, &s.counts.Watches, s.reads) {
			s.serveWatch(w, r)
		}
	case r.URL.Path == storeapi.ObjectsPath && r.Method == http.MethodGet:
		if s.admit(w, r, &s.counts.Reads, s.reads) {
			s.serveList(w, r)
		}
	case strings.HasPrefix(r.URL.Path, storeapi.ObjectsPath+"/"):
		s.serveObject(w, r, strings.TrimPrefix(r.URL.Path, storeapi.ObjectsPath+"/"))
	default:
		writeError(w, http.StatusNotFound, storeapi.ErrorResponse{Code: storeapi.CodeInvalid, Message: "no such call: " + r.Method + " " + r.URL.Path})
	}
}

func (s *Store) serveObject(w http.ResponseWriter, r *http.Request, path string) {
	switch r.Method {
	case http.MethodGet:
		if !s.admit(w, r, &s.counts.Reads, s.reads) {
			return
		}
		o, err := s.get(path)
		if err != nil {
			writeStoreError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, o)
	case http.MethodPost, http.MethodPut, http.MethodDelete:
		s.serveWrite(w, r, path)
	default:
		writeError(w, http.StatusMethodNotAllowed, storeapi.ErrorResponse{Code: storeapi.CodeInvalid, Message: "method " + r.Method + " is not supported"})
	}
}

func (s *Store) serveWrite(w http.ResponseWriter, r *http.Request, path string) {
	content, ok := readContent(w, r)
	if !ok || !s.admit(w, r, &s.counts.Writes, s.writes) {
		return
	}
	if path == "" || len(path) > 1024 {
		writeError(w, http.StatusBadRequest, storeapi.ErrorResponse{Code: storeapi.CodeInvalid, Message: "the path must have 1 to 1024 bytes"})
		return
	}
	if len(content) > storeapi.MaxContentBytes {
		writeError(w, http.StatusRequestEntityTooLarge, storeapi.ErrorResponse{Code: storeapi.CodeTooLarge, Message: "the content is larger than 1 MB"})
		return
	}
	var version uint64
	var err error
	status := http.StatusOK
	if r.Method == http.MethodPost {
		status = http.StatusCreated
		version, err = s.create(path, content)
	} else {
		expected, parseErr := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
		if parseErr != nil {
			writeError(w, http.StatusBadRequest, storeapi.ErrorResponse{Code: storeapi.CodeInvalid, Message: "the parameter version must be a number"})
			return
		}
		version, err = s.replace(path, expected, content, r.Method == http.MethodDelete)
	}
	if s.consumeFault(func(f *Faults) *int { return &f.LoseAnswers }) {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		writeStoreError(w, err)
		return
	}
	writeJSON(w, status, storeapi.Object{Path: path, Version: version})
}

func readContent(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	if r.Method == http.MethodDelete {
		return nil, true
	}
	var body storeapi.WriteRequest
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		writeError(w, http.StatusRequestEntityTooLarge, storeapi.ErrorResponse{Code: storeapi.CodeTooLarge, Message: "the content is larger than 1 MB"})
		return nil, false
	case err != nil:
		writeError(w, http.StatusBadRequest, storeapi.ErrorResponse{Code: storeapi.CodeInvalid, Message: "body: " + err.Error()})
		return nil, false
	}
	return body.Content, true
}

func (s *Store) serveList(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit < 1 || limit > storeapi.MaxPageObjects {
		limit = storeapi.MaxPageObjects
	}
	writeJSON(w, http.StatusOK, s.list(q.Get("prefix"), q.Get("after"), limit))
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, errAfter := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, errWait := strconv.Atoi(q.Get("wait_ms"))
	if errAfter != nil || errWait != nil || wait < 0 {
		writeError(w, http.StatusBadRequest, storeapi.ErrorResponse{Code: storeapi.CodeInvalid, Message: "the parameters after and wait_ms must be numbers"})
		return
	}
	if s.consumeFault(func(f *Faults) *int { return &f.CutWatches }) {
		panic(http.ErrAbortHandler)
	}
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, storeapi.MaxWatchWait))
	defer timer.Stop()
	for {
		out, changed, cut, covered := s.changesSince(q.Get("prefix"), after)
		if !covered {
			writeError(w, http.StatusGone, storeapi.ErrorResponse{Code: storeapi.CodeTooOld, Message: "changes after this version are not covered"})
			return
		}
		if len(out.Changes) > 0 {
			writeJSON(w, http.StatusOK, out)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, http.StatusOK, out)
			return
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

// admit counts a call and applies the injected faults and the rate limit to it.
func (s *Store) admit(w http.ResponseWriter, r *http.Request, count *uint64, limit *rate.Limiter) bool {
	s.mu.Lock()
	*count++
	f := s.faults
	allowed := limit.AllowN(s.now(), 1)
	if !allowed {
		s.counts.RateLimited++
	}
	s.mu.Unlock()
	if f.Down {
		panic(http.ErrAbortHandler)
	}
	slow := time.Duration(f.SlowMillis) * time.Millisecond
	if r.Method == http.MethodGet {
		select {
		case <-time.After(slow):
		case <-r.Context().Done():
			return false
		}
	} else {
		time.Sleep(min(slow, storeapi.MaxWriteDelay)) // closing the connection does not cancel a write
	}
	switch {
	case f.Unavailable, slow > storeapi.MaxWriteDelay && r.Method != http.MethodGet:
		writeError(w, http.StatusServiceUnavailable, storeapi.ErrorResponse{Code: storeapi.CodeUnavailable, Message: "the store is not available"})
		return false
	case !allowed:
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusTooManyRequests, storeapi.ErrorResponse{Code: storeapi.CodeRateLimited, Message: "too many calls"})
		return false
	}
	return true
}

// consumeFault decrements a fault counter and reports whether the fault applies.
func (s *Store) consumeFault(field func(*Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := field(&s.faults)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

func writeStoreError(w http.ResponseWriter, err error) {
	var conflict conflictError
	if errors.As(err, &conflict) {
		writeError(w, http.StatusConflict, storeapi.ErrorResponse{Code: storeapi.CodeConflict, Message: err.Error(), Version: conflict.version})
		return
	}
	writeError(w, http.StatusNotFound, storeapi.ErrorResponse{Code: storeapi.CodeNotFound, Message: err.Error()})
}

func writeError(w http.ResponseWriter, status int, e storeapi.ErrorResponse) { writeJSON(w, status, e) }

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the connection is broken
}
