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

type meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`

	kind     string
	revision uint64
}

// store is a stand-in for the platform's metadata store and its promotion call. It loses nothing, and its answers are
// linearizable.
type store struct {
	address string
	// promote decides a promotion call and returns the status.
	promote func(service, id, holder string, epoch uint64) int
	// onPut is called after a write of the system and before its answer.
	onPut func(kind, name string, spec json.RawMessage)

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	events   []event
	changed  chan struct{}
}

func newStore() (*store, error) {
	s := &store{
		objects: make(map[string]map[string]object), revision: 100, changed: make(chan struct{}),
		promote: func(string, string, string, uint64) int { return http.StatusConflict },
		onPut:   func(string, string, json.RawMessage) {},
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/objects/{kind}", s.list)
	mux.HandleFunc("GET /api/objects/{kind}/{name}", s.get)
	mux.HandleFunc("POST /api/objects/{kind}", s.post)
	mux.HandleFunc("PUT /api/objects/{kind}/{name}", s.put)
	mux.HandleFunc("DELETE /api/objects/{kind}/{name}", s.remove)
	mux.HandleFunc("POST /promotion", s.promotion)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

// write stores an object. expected is the revision that the object must have; zero accepts any.
func (s *store) write(kind, name string, spec json.RawMessage, expected uint64, create bool) (object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, found := s.objects[kind][name]
	if create && found || expected != 0 && (!found || current.Meta.Revision != expected) {
		return current, false
	}
	if found && string(current.Spec) == string(spec) {
		return current, true
	}
	s.revision++
	o := object{Meta: meta{Name: name, Revision: s.revision, Created: s.revision}, Spec: spec}
	if found {
		o.Meta.Created = current.Meta.Created
	}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.objects[kind][name] = o
	s.appendEvent(event{Object: o, kind: kind, revision: s.revision})
	return o, true
}

// set writes an object on behalf of the operator or a server.
func (s *store) set(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.write(kind, name, data, 0, false)
}

func (s *store) del(kind, name string, expected uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, found := s.objects[kind][name]
	if !found || expected != 0 && o.Meta.Revision != expected {
		return false
	}
	delete(s.objects[kind], name)
	s.revision++
	s.appendEvent(event{Object: o, Deleted: true, kind: kind, revision: s.revision})
	return true
}

// appendEvent must be called with mu held.
func (s *store) appendEvent(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) all(kind string) ([]object, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []object{}
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
	return items, s.revision
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("watch") {
		s.watch(w, r)
		return
	}
	items, revision := s.all(r.PathValue("kind"))
	after := r.URL.Query().Get("after")
	items = slices.DeleteFunc(items, func(o object) bool { return o.Meta.Name <= after })
	reply(w, http.StatusOK, map[string]any{"items": items, "more": false, "as_of": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, errWait := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	until := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer until.Stop()
	for timedOut := false; ; {
		s.mu.Lock()
		events, revision, changed := []event{}, s.revision, s.changed
		for _, e := range s.events {
			if e.kind == r.PathValue("kind") && e.revision > since {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || timedOut {
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-until.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	o, found := s.objects[r.PathValue("kind")][r.PathValue("name")]
	s.mu.Unlock()
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, o)
}

func (s *store) post(w http.ResponseWriter, r *http.Request) {
	var o object
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Meta.Name == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.replyWritten(w, r.PathValue("kind"), o.Meta.Name, o.Spec, 0, true)
}

func (s *store) put(w http.ResponseWriter, r *http.Request) {
	var o object
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.replyWritten(w, r.PathValue("kind"), r.PathValue("name"), o.Spec, o.Meta.Revision, false)
}

func (s *store) replyWritten(w http.ResponseWriter, kind, name string, spec json.RawMessage, expected uint64, create bool) {
	stored, ok := s.write(kind, name, spec, expected, create)
	if !ok {
		reply(w, http.StatusConflict, stored)
		return
	}
	s.onPut(kind, name, spec)
	reply(w, http.StatusOK, stored)
}

func (s *store) remove(w http.ResponseWriter, r *http.Request) {
	expected, _ := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	if !s.del(r.PathValue("kind"), r.PathValue("name"), expected) {
		w.WriteHeader(http.StatusConflict)
	}
}

func (s *store) promotion(w http.ResponseWriter, r *http.Request) {
	var call struct{ Service, ID string }
	epoch, err := strconv.ParseUint(r.Header.Get("X-Rhubarbwick-Fencing-Token"), 10, 64)
	if json.NewDecoder(r.Body).Decode(&call) != nil || err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.WriteHeader(s.promote(call.Service, call.ID, r.Header.Get("X-Rhubarbwick-Lease-Holder"), epoch))
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
