package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// nestedMark stands for the value nested in the specs that the store holds.
const nestedMark = "@nested@"

var nested = []byte(strings.Repeat("[", deepLevels) + strings.Repeat("]", deepLevels))

// pageSize is the number of objects of one response, as the pages state it.
const pageSize = 500

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
	kind    string
	at      uint64
}

// store is a stand-in for the platform's store and its promotion call.
type store struct {
	address string
	promote func(service, id string) int
	record  *record

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	events   []event
	changed  chan struct{}
}

func newStore(rec *record, promote func(service, id string) int) (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: listener.Addr().String(), promote: promote, record: rec, revision: 100,
		objects: map[string]map[string]object{}, changed: make(chan struct{}),
	}
	go func() { _ = http.Serve(listener, s) }()
	return s, nil
}

// view is the store as one machine sees it. While it is silent, the store leaves the calls of the machine without an
// answer and does nothing.
type view struct {
	store   *store
	address string
	silent  atomic.Bool
}

// newView returns the view of one machine, at an address of its own.
func (s *store) newView() (*view, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	v := &view{store: s, address: listener.Addr().String()}
	go func() { _ = http.Serve(listener, v) }()
	return v, nil
}

// ServeHTTP implements http.Handler.
func (v *view) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	answer := &heldAnswer{header: http.Header{}, status: http.StatusOK}
	if !v.silent.Load() {
		call := r.Clone(r.Context())
		call.Body = io.NopCloser(bytes.NewReader(body))
		v.store.ServeHTTP(answer, call)
	}
	if v.silent.Load() {
		<-r.Context().Done()
		return
	}
	for key, values := range answer.header {
		w.Header()[key] = values
	}
	w.WriteHeader(answer.status)
	_, _ = w.Write(bytes.ReplaceAll(answer.body.Bytes(), []byte(strconv.Quote(nestedMark)), nested))
}

// heldAnswer is an answer that is not sent yet.
type heldAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (a *heldAnswer) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *heldAnswer) WriteHeader(status int) { a.status = status }

// Write implements http.ResponseWriter.
func (a *heldAnswer) Write(b []byte) (int, error) { return a.body.Write(b) }

// set writes an object whatever its revision, as the operator and the servers do.
func (s *store) set(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, object{Meta: meta{Name: name}, Spec: data})
}

// unset removes an object.
func (s *store) unset(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.objects[kind][name]
	delete(s.objects[kind], name)
	s.revision++
	s.notify(event{Object: old, Deleted: true, kind: kind, at: s.revision})
}

// write stores an object under the next revision. mu must be held.
func (s *store) write(kind string, o object) object {
	old, found := s.objects[kind][o.Meta.Name]
	if found && string(old.Spec) == string(o.Spec) {
		return old
	}
	s.revision++
	o.Meta.Revision, o.Meta.Created = s.revision, s.revision
	if found {
		o.Meta.Created = old.Meta.Created
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][o.Meta.Name] = o
	s.notify(event{Object: o, kind: kind, at: s.revision})
	return o
}

func (s *store) notify(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/promotion" {
		s.servePromotion(w, r)
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, found := s.objects[kind][name]
		s.mu.Unlock()
		if !found {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, o)
	case r.Method == http.MethodPost, r.Method == http.MethodPut:
		s.put(w, r, kind, name)
	case r.Method == http.MethodDelete:
		s.remove(w, r, kind, name)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	after := r.URL.Query().Get("after")
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	items := []object{}
	for _, name := range names[:min(len(names), pageSize)] {
		items = append(items, s.objects[kind][name])
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "more": len(names) > pageSize, "as_of": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for isOver := false; ; {
		s.mu.Lock()
		found := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.at > since {
				found = append(found, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(found) > 0 || isOver {
			reply(w, http.StatusOK, map[string]any{"events": found, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			isOver = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) put(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	isCreate := r.Method == http.MethodPost
	if !isCreate {
		o.Meta.Name = name
	}
	old, found := s.objects[kind][o.Meta.Name]
	switch {
	case isCreate && found, !isCreate && o.Meta.Revision != 0 && old.Meta.Revision != o.Meta.Revision:
		reply(w, http.StatusConflict, old)
	case !isCreate && !found:
		w.WriteHeader(http.StatusNotFound)
	default:
		reply(w, http.StatusOK, s.write(kind, o))
	}
}

func (s *store) remove(w http.ResponseWriter, r *http.Request, kind, name string) {
	revision, _ := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	old, found := s.objects[kind][name]
	switch {
	case !found:
		w.WriteHeader(http.StatusNotFound)
	case revision != 0 && revision != old.Meta.Revision:
		reply(w, http.StatusConflict, old)
	default:
		delete(s.objects[kind], name)
		s.revision++
		s.notify(event{Object: old, Deleted: true, kind: kind, at: s.revision})
		reply(w, http.StatusOK, old)
	}
}

func (s *store) servePromotion(w http.ResponseWriter, r *http.Request) {
	var call struct{ Service, ID string }
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status := s.promote(call.Service, call.ID)
	s.record.printf("platform: promotion of %s by %s with token %s: %d", call.ID,
		r.Header.Get("X-Rhubarbwick-Lease-Holder"), r.Header.Get("X-Rhubarbwick-Fencing-Token"), status)
	w.WriteHeader(status)
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
