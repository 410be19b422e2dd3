package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the platform's store.
type object struct {
	Meta struct {
		Name       string   `json:"name"`
		Revision   uint64   `json:"revision"`
		Created    uint64   `json:"created"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	} `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
	kind    string
	at      time.Time
}

// store is a stand-in of the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object // by kind and name
	events   []event
	changed  chan struct{}
	dropped  uint64 // revision up to which the history is gone
	silenced int    // number of times that open connections have gone silent
}

// history is history-s: how long the store keeps its events.
const history = 20 * time.Second

func newStore() *store {
	return &store{revision: 100, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// listen serves the store at an address.
func (s *store) listen(addr string) error {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	go func() {
		_ = http.Serve(ln, http.HandlerFunc(s.serve))
	}()
	return nil
}

// silence makes all open connections silent for good. New ones work.
func (s *store) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silenced++
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	path, ok := strings.CutPrefix(r.URL.Path, "/bulrushshelf/objects/")
	if !ok {
		http.NotFound(w, r)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	w.Header().Set("Content-Type", "application/json")
	switch {
	case r.Method == http.MethodGet && name != "":
		s.get(w, kind, name)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, r, kind)
	default:
		s.write(w, r, kind, name)
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	reply(w, http.StatusOK, o)
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	names := make([]string, 0, len(s.objects[kind]))
	for n := range s.objects[kind] {
		if n > after {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	more := len(names) > 500
	if more {
		names = names[:500]
	}
	items := make([]object, 0, len(names))
	for _, n := range names {
		items = append(items, s.objects[kind][n])
	}
	revision := s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "has-more": more, "store-revision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	timeout, ended := time.After(time.Duration(wait)*time.Millisecond), false
	s.mu.Lock()
	silenced := s.silenced
	s.mu.Unlock()
	for {
		s.mu.Lock()
		if s.silenced != silenced {
			s.mu.Unlock()
			<-r.Context().Done() // nothing comes on this connection any more
			return
		}
		s.dropHistory()
		if from < s.dropped {
			s.mu.Unlock()
			reply(w, http.StatusGone, struct{}{})
			return
		}
		out := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.Object.Meta.Revision > from {
				out = append(out, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(out) > 0 || ended {
			reply(w, http.StatusOK, map[string]any{"events": out, "store-revision": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			ended = true
		}
	}
}

// dropHistory removes events that are too old. The caller holds s.mu.
func (s *store) dropHistory() {
	for len(s.events) > 0 && time.Since(s.events[0].at) > history {
		s.dropped = s.events[0].Object.Meta.Revision
		s.events = s.events[1:]
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var in object
	_ = json.NewDecoder(r.Body).Decode(&in)
	if in.Meta.Name != "" && name == "" {
		name = in.Meta.Name
	}
	want := in.Meta.Revision
	if q := r.URL.Query().Get("revision"); q != "" {
		want, _ = strconv.ParseUint(q, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists, r.Method != http.MethodPost && exists && want != 0 && want != old.Meta.Revision:
		reply(w, http.StatusConflict, old)
		return
	case r.Method != http.MethodPost && !exists:
		reply(w, http.StatusNotFound, struct{}{})
		return
	case r.Method == http.MethodPut && string(old.Spec) == string(in.Spec):
		reply(w, http.StatusOK, old)
		return
	}
	reply(w, http.StatusOK, s.apply(kind, name, in.Spec, r.Method == http.MethodDelete))
}

// apply stores or removes an object. The caller holds s.mu.
func (s *store) apply(kind, name string, spec json.RawMessage, remove bool) object {
	s.revision++
	o := s.objects[kind][name]
	if o.Meta.Created == 0 {
		o.Meta.Created = s.revision
	}
	o.Meta.Name, o.Meta.Revision, o.Meta.Finalizers = name, s.revision, []string{}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	if remove {
		delete(s.objects[kind], name)
	} else {
		o.Spec, o.Status = spec, json.RawMessage("null")
		s.objects[kind][name] = o
	}
	s.events = append(s.events, event{Object: o, Deleted: remove, kind: kind, at: time.Now()})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// put is a write of the operator.
func (s *store) put(kind, name string, spec any) {
	b, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(kind, name, b, false)
}
