package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
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
}

// store is a stand-in of the platform's store. It keeps its whole history.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object // by kind and name
	events   []event
	changed  chan struct{} // closed at the next change
}

const (
	storeDelay   = 4 * time.Millisecond
	storePageLen = 500
)

func newStore() *store {
	return &store{revision: 1, objects: make(map[string]map[string]object), changed: make(chan struct{})}
}

func (s *store) serve(ln net.Listener) { _ = http.Serve(ln, s) }

// put writes an object as the operator does, and returns its revision.
func (s *store) put(kind, name string, spec any) uint64 {
	b, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.Meta.Name, o.Spec = name, b
	return s.write(kind, o).Meta.Revision
}

// remove deletes an object as the operator does.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(kind, name)
}

func (s *store) write(kind string, o object) object {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.revision++
	o.Meta.Revision = s.revision
	if o.Meta.Created == 0 {
		o.Meta.Created = s.revision
	}
	if o.Status == nil {
		o.Status = json.RawMessage("null")
	}
	s.objects[kind][o.Meta.Name] = o
	s.emit(event{Object: o, kind: kind})
	return o
}

func (s *store) drop(kind, name string) object {
	o := s.objects[kind][name]
	delete(s.objects[kind], name)
	s.revision++
	o.Meta.Revision = s.revision
	s.emit(event{Object: o, Deleted: true, kind: kind})
	return o
}

func (s *store) emit(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/bulrushshelf/objects/"), "/")
	q := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && name == "" && q.Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, q.Get("after"))
	default:
		s.single(w, r, kind, name)
	}
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for n := range s.objects[kind] {
		if n > after {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	more := len(names) > storePageLen
	items := []object{}
	for _, n := range names[:min(len(names), storePageLen)] {
		items = append(items, s.objects[kind][n])
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "has-more": more, "store-revision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		events, revision, changed := []event{}, s.revision, s.changed
		for _, e := range s.events {
			if e.kind == kind && e.Object.Meta.Revision > after {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || !waiting {
			answer(w, http.StatusOK, map[string]any{"events": events, "store-revision": revision})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-end:
			waiting = false
		case <-changed:
		}
	}
}

// single serves the calls that read or change one object.
func (s *store) single(w http.ResponseWriter, r *http.Request, kind, name string) {
	var in object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	if r.Method == http.MethodPost {
		name = in.Meta.Name
	}
	named := in.Meta.Revision
	if n, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64); err == nil {
		named = n
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, found := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && found, r.Method != http.MethodPost && found && named != 0 && named != o.Meta.Revision:
		answer(w, http.StatusConflict, o)
	case r.Method == http.MethodPost:
		answer(w, http.StatusOK, s.write(kind, in))
	case !found:
		http.Error(w, "{}", http.StatusNotFound)
	case r.Method == http.MethodGet:
		answer(w, http.StatusOK, o)
	case r.Method == http.MethodDelete:
		answer(w, http.StatusOK, s.drop(kind, name))
	case string(o.Spec) == string(in.Spec):
		answer(w, http.StatusOK, o)
	default:
		o.Spec = in.Spec
		answer(w, http.StatusOK, s.write(kind, o))
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller notices a broken connection itself
}
