package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// object is an object of the platform's store.
type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`

	kind     string
	revision uint64
}

// store is the platform's metadata store and its promotion call, over HTTP.
type store struct {
	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]object
	events   []event
	changed  chan struct{}

	// promote runs a promotion and returns the status of the response.
	promote func(service, id, holder, epoch string) int
}

func newStore() *store {
	return &store{revision: 1, kinds: make(map[string]map[string]object), changed: make(chan struct{})}
}

// set writes an object whatever its revision, as the operator and the servers do.
func (s *store) set(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(kind, object{Meta: meta{Name: name}, Spec: data})
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(kind, name)
}

func (s *store) putLocked(kind string, o object) object {
	old, found := s.kinds[kind][o.Meta.Name]
	if found && string(old.Spec) == string(o.Spec) {
		return old
	}
	s.revision++
	o.Meta.Revision, o.Meta.Created = s.revision, old.Meta.Created
	if !found {
		o.Meta.Created = s.revision
	}
	o.Status = old.Status
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]object)
	}
	s.kinds[kind][o.Meta.Name] = o
	s.notify(event{Object: o, kind: kind, revision: s.revision})
	return o
}

func (s *store) removeLocked(kind, name string) {
	o, found := s.kinds[kind][name]
	if !found {
		return
	}
	delete(s.kinds[kind], name)
	s.revision++
	s.notify(event{Object: o, Deleted: true, kind: kind, revision: s.revision})
}

func (s *store) notify(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/objects/{kind}", s.list)
	mux.HandleFunc("GET /api/objects/{kind}/{name}", s.get)
	mux.HandleFunc("POST /api/objects/{kind}", s.create)
	mux.HandleFunc("PUT /api/objects/{kind}/{name}", s.put)
	mux.HandleFunc("DELETE /api/objects/{kind}/{name}", s.delete)
	mux.HandleFunc("POST /promotion", s.handlePromotion)
	return mux
}

// pageSize is the number of objects in a page of a list.
const pageSize = 500

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("watch") {
		s.watch(w, r)
		return
	}
	time.Sleep(storeDelay)
	s.mu.Lock()
	names := make([]string, 0)
	for name := range s.kinds[r.PathValue("kind")] {
		if name > r.URL.Query().Get("after") {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > pageSize
	items := make([]object, 0)
	for _, name := range names[:min(len(names), pageSize)] {
		items = append(items, s.kinds[r.PathValue("kind")][name])
	}
	revision := s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "more": more, "as_of": revision})
}

// storeDelay is how long the store takes to answer.
const storeDelay = 4 * time.Millisecond

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		events, changed, revision := make([]event, 0), s.changed, s.revision
		for _, e := range s.events {
			if e.kind == r.PathValue("kind") && e.revision > since {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || over {
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	o, found := s.kinds[r.PathValue("kind")][r.PathValue("name")]
	s.mu.Unlock()
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, o)
}

func (s *store) create(w http.ResponseWriter, r *http.Request) {
	var o object
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Meta.Name == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(storeDelay)
	s.mu.Lock()
	old, found := s.kinds[r.PathValue("kind")][o.Meta.Name]
	status := http.StatusConflict
	if !found {
		old, status = s.putLocked(r.PathValue("kind"), o), http.StatusOK
	}
	s.mu.Unlock()
	reply(w, status, old)
}

func (s *store) put(w http.ResponseWriter, r *http.Request) {
	var o object
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(storeDelay)
	o.Meta.Name = r.PathValue("name")
	s.mu.Lock()
	old, found := s.kinds[r.PathValue("kind")][o.Meta.Name]
	status := http.StatusOK
	switch {
	case !found:
		status = http.StatusNotFound
	case o.Meta.Revision != 0 && o.Meta.Revision != old.Meta.Revision:
		status = http.StatusConflict
	default:
		old = s.putLocked(r.PathValue("kind"), o)
	}
	s.mu.Unlock()
	reply(w, status, old)
}

func (s *store) delete(w http.ResponseWriter, r *http.Request) {
	revision, _ := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	time.Sleep(storeDelay)
	s.mu.Lock()
	old, found := s.kinds[r.PathValue("kind")][r.PathValue("name")]
	status := http.StatusOK
	switch {
	case !found:
		status = http.StatusNotFound
	case revision != 0 && revision != old.Meta.Revision:
		status = http.StatusConflict
	default:
		s.removeLocked(r.PathValue("kind"), r.PathValue("name"))
	}
	s.mu.Unlock()
	reply(w, status, old)
}

func (s *store) handlePromotion(w http.ResponseWriter, r *http.Request) {
	var call struct{ Service, ID string }
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.WriteHeader(s.promote(call.Service, call.ID, r.Header.Get("X-Rhubarbwick-Lease-Holder"), r.Header.Get("X-Rhubarbwick-Fencing-Token")))
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
