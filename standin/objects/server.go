package objects

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Fault is an injected fault. The zero value is NoFault.
type Fault int

// The faults of the store.
const (
	NoFault Fault = iota
	// Busy rejects calls with status 503 without processing them.
	Busy
	// Unresponsive leaves calls without a response.
	Unresponsive
	// LosesResponses processes writes but sends no response.
	LosesResponses
)

// Promotion is a call that promotes a server to primary.
type Promotion struct {
	Service string `json:"service"`
	ID      string `json:"id"`
	Holder  string `json:"-"`
	Epoch   uint64 `json:"-"`
}

// Server serves a Store and the promotion call.
type Server struct {
	Store *Store
	// Promote executes a promotion and returns the status of the response.
	Promote func(Promotion) int

	mu    sync.Mutex
	fault Fault
	calls int
}

// NewServer returns a Server with an empty store, whose promotions succeed.
func NewServer() *Server {
	return &Server{Store: &Store{}, Promote: func(Promotion) int { return http.StatusOK }}
}

// SetFault sets the fault of all further calls.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Calls returns the number of calls, including those that failed.
func (s *Server) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Handler returns the HTTP handler of the store and of the promotion call.
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
		awaitDisconnect(r)
	case fault == LosesResponses && r.Method != http.MethodGet:
		mux.ServeHTTP(discardWriter{header: make(http.Header)}, r)
		awaitDisconnect(r)
	default:
		mux.ServeHTTP(w, r)
	}
}

// awaitDisconnect returns when the client has disconnected, which net/http detects only after the body was read.
func awaitDisconnect(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// discardWriter is an http.ResponseWriter that discards the response.
type discardWriter struct{ header http.Header }

// Header implements http.ResponseWriter.
func (d discardWriter) Header() http.Header { return d.header }

// Write discards the body.
func (d discardWriter) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader discards the status.
func (d discardWriter) WriteHeader(int) {}

// pageSize is the maximum number of objects in a response. It is small so that tests need several pages.
const pageSize = 50

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if query.Has("watch") {
		s.watch(w, r)
		return
	}
	items, revision := s.Store.List(r.PathValue("kind"))
	page := make([]Object, 0, pageSize)
	more := false
	for _, o := range items {
		if o.Meta.Name <= query.Get("after") {
			continue
		}
		if len(page) == pageSize {
			more = true
			break
		}
		page = append(page, o)
	}
	writeJSON(w, http.StatusOK, struct {
		Items []Object `json:"items"`
		More  bool     `json:"more"`
		AsOf  uint64   `json:"as_of"`
	}{page, more, revision})
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, errWait := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for {
		events, revision, changed, available := s.Store.EventsSince(r.PathValue("kind"), since)
		if !available {
			w.WriteHeader(http.StatusGone)
			return
		}
		timedOut := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-timeout.C:
				timedOut = true
			case <-r.Context().Done():
				return
			}
		}
		if len(events) > 0 || timedOut {
			writeJSON(w, http.StatusOK, struct {
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
	writeJSON(w, http.StatusOK, o)
}

func (s *Server) create(w http.ResponseWriter, r *http.Request) {
	var o Object
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Meta.Name == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	stored, ok := s.Store.Create(r.PathValue("kind"), o)
	writeUpdateResult(w, stored, ok)
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
	writeUpdateResult(w, stored, ok)
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

func writeUpdateResult(w http.ResponseWriter, o Object, ok bool) {
	status := http.StatusOK
	if !ok {
		status = http.StatusConflict
	}
	writeJSON(w, status, o)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Encoding fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}
