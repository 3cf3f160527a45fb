package objects

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Fault is how the store fails. The zero value does not.
type Fault int

// The faults of the store.
const (
	NoFault Fault = iota
	// Busy refuses calls with status 503 and does nothing.
	Busy
	// Unresponsive does not answer.
	Unresponsive
	// LosesAnswers carries writes out and does not answer them.
	LosesAnswers
)

// Promotion is a call that named a primary.
type Promotion struct {
	Service string `json:"service"`
	ID      string `json:"id"`
	Holder  string `json:"-"`
	Epoch   uint64 `json:"-"`
}

// Server serves a store and the call that names primaries.
type Server struct {
	Store *Store
	// Promote carries out a promotion and returns the status of the answer.
	Promote func(Promotion) int

	mu    sync.Mutex
	fault Fault
	calls int
}

// NewServer returns a server of an empty store whose promotions succeed.
func NewServer() *Server {
	return &Server{Store: &Store{}, Promote: func(Promotion) int { return http.StatusOK }}
}

// SetFault has calls fail from now on.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Calls returns the number of calls so far.
func (s *Server) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Handler returns the handler of all calls.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/objects/{kind}", s.list)
	mux.HandleFunc("GET /api/objects/{kind}/{name}", s.get)
	mux.HandleFunc("POST /api/objects/{kind}", s.create)
	mux.HandleFunc("PUT /api/objects/{kind}/{name}", s.put)
	mux.HandleFunc("DELETE /api/objects/{kind}/{name}", s.remove)
	mux.HandleFunc("POST /promotion", s.promote)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(mux, w, r) })
}

func (s *Server) serve(mux http.Handler, w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	fault := s.fault
	s.calls++
	s.mu.Unlock()
	switch {
	case fault == Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
	case fault == Unresponsive:
		await(r)
	case fault == LosesAnswers && r.Method != http.MethodGet:
		mux.ServeHTTP(discarded{header: make(http.Header)}, r)
		await(r)
	default:
		mux.ServeHTTP(w, r)
	}
}

// await returns when the caller has gone, which shows only once its body was read.
func await(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// discarded takes an answer that nobody gets.
type discarded struct{ header http.Header }

// Header, Write and WriteHeader implement http.ResponseWriter.
func (d discarded) Header() http.Header { return d.header }

// Write drops the body.
func (d discarded) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader drops the status.
func (d discarded) WriteHeader(int) {}

// page is the number of objects in one answer; it is small so that lists are continued in tests.
const page = 50

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if query.Has("watch") {
		s.watch(w, r)
		return
	}
	items, revision := s.Store.List(r.PathValue("kind"))
	shown := make([]Object, 0, page)
	more := false
	for _, o := range items {
		if o.Meta.Name <= query.Get("after") {
			continue
		}
		if len(shown) == page {
			more = true
			break
		}
		shown = append(shown, o)
	}
	answer(w, http.StatusOK, struct {
		Items []Object `json:"items"`
		More  bool     `json:"more"`
		AsOf  uint64   `json:"as_of"`
	}{shown, more, revision})
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, errWait := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	over := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer over.Stop()
	for {
		events, revision, changed, known := s.Store.Since(r.PathValue("kind"), since)
		if !known {
			w.WriteHeader(http.StatusGone)
			return
		}
		waited := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-over.C:
				waited = true
			case <-r.Context().Done():
				return
			}
		}
		if len(events) > 0 || waited {
			answer(w, http.StatusOK, struct {
				Events []Event `json:"events"`
				AsOf   uint64  `json:"as_of"`
			}{events, revision})
			return
		}
	}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	o, found := s.Store.Get(r.PathValue("kind"), r.PathValue("name"))
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, o)
}

func (s *Server) create(w http.ResponseWriter, r *http.Request) {
	var o Object
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Meta.Name == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	stored, ok := s.Store.Create(r.PathValue("kind"), o)
	answerWrite(w, stored, ok)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	var o Object
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	o.Meta.Name = r.PathValue("name")
	if _, found := s.Store.Get(r.PathValue("kind"), o.Meta.Name); !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	stored, ok := s.Store.Put(r.PathValue("kind"), o)
	answerWrite(w, stored, ok)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	var revision uint64
	if text := r.URL.Query().Get("revision"); text != "" {
		var err error
		if revision, err = strconv.ParseUint(text, 10, 64); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if !s.Store.Delete(r.PathValue("kind"), r.PathValue("name"), revision) {
		w.WriteHeader(http.StatusConflict)
	}
}

func (s *Server) promote(w http.ResponseWriter, r *http.Request) {
	var p Promotion
	epoch, err := strconv.ParseUint(r.Header.Get("X-Rhubarbwick-Fencing-Token"), 10, 64)
	if json.NewDecoder(r.Body).Decode(&p) != nil || err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.Holder, p.Epoch = r.Header.Get("X-Rhubarbwick-Lease-Holder"), epoch
	w.WriteHeader(s.Promote(p))
}

func answerWrite(w http.ResponseWriter, o Object, ok bool) {
	status := http.StatusOK
	if !ok {
		status = http.StatusConflict
	}
	answer(w, status, o)
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that has gone needs no answer.
	_ = json.NewEncoder(w).Encode(body)
}
