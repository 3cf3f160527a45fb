package server

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/rhubarbwick/rhubarbwick/group"
)

// Admin commands faults over HTTP.
type Admin struct {
	server   *Server
	listener *Listener
	mux      *http.ServeMux
}

// NewAdmin returns the admin handler of a server and its listener.
func NewAdmin(s *Server, l *Listener) *Admin {
	a := &Admin{server: s, listener: l, mux: http.NewServeMux()}
	a.mux.HandleFunc("GET /status", a.status)
	a.mux.HandleFunc("GET /counters", a.counters)
	a.mux.HandleFunc("POST /record", a.record)
	a.mux.HandleFunc("GET /recording", a.recording)
	a.mux.HandleFunc("POST /freeze", a.freeze)
	a.mux.HandleFunc("POST /thaw", a.thaw)
	a.mux.HandleFunc("POST /cut/peers", a.cutPeers(true))
	a.mux.HandleFunc("POST /heal/peers", a.cutPeers(false))
	a.mux.HandleFunc("POST /cut/callers", a.cutCallers(true))
	a.mux.HandleFunc("POST /heal/callers", a.cutCallers(false))
	a.mux.HandleFunc("POST /drop", a.drop)
	a.mux.HandleFunc("POST /lag", a.lag)
	a.mux.HandleFunc("POST /open-time", a.openTime)
	return a
}

// ServeHTTP answers an admin request.
func (a *Admin) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.mux.ServeHTTP(w, r) }

func (a *Admin) status(w http.ResponseWriter, r *http.Request) {
	status, err := a.server.Status(r.Context(), group.Position{}, 0)
	if err != nil {
		fail(w, err)
		return
	}
	row := statusResult(status).Rows[0]
	fields := make(map[string]string, len(row))
	for i, column := range statusColumns {
		fields[column] = row[i]
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(fields)
}

func (a *Admin) counters(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(a.listener.Counters())
}

func (a *Admin) record(w http.ResponseWriter, r *http.Request) {
	limit, err := strconv.Atoi(r.FormValue("bytes"))
	if err != nil || limit < 1 || limit > MaxRecording {
		fail(w, failf(codeInvalid, "parameter bytes is %q, not a number from 1 to %d", r.FormValue("bytes"), MaxRecording))
		return
	}
	a.listener.recorder.start(limit)
	reply(w, nil)
}

func (a *Admin) recording(w http.ResponseWriter, _ *http.Request) {
	recorded, err := a.listener.recorder.recording()
	if err != nil {
		fail(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(recorded)
}

func (a *Admin) freeze(w http.ResponseWriter, r *http.Request) {
	reply(w, a.server.Freeze(r.Context()))
}

func (a *Admin) thaw(w http.ResponseWriter, _ *http.Request) {
	a.server.Thaw()
	reply(w, nil)
}

func (a *Admin) cutPeers(cut bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) { reply(w, a.server.SetCut(r.Context(), cut)) }
}

func (a *Admin) cutCallers(cut bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		a.listener.SetCut(cut)
		reply(w, nil)
	}
}

func (a *Admin) drop(w http.ResponseWriter, _ *http.Request) {
	a.listener.CloseConnections()
	reply(w, nil)
}

func (a *Admin) lag(w http.ResponseWriter, r *http.Request) {
	d, err := parseMilliseconds(r)
	if err != nil {
		fail(w, err)
		return
	}
	reply(w, a.server.SetLag(r.Context(), d))
}

func (a *Admin) openTime(w http.ResponseWriter, r *http.Request) {
	d, err := parseMilliseconds(r)
	if err != nil {
		fail(w, err)
		return
	}
	a.listener.SetOpenTime(d)
	reply(w, nil)
}

func parseMilliseconds(r *http.Request) (time.Duration, error) {
	text := r.FormValue("ms")
	ms, err := strconv.ParseUint(text, 10, 31)
	if err != nil {
		return 0, failf(codeInvalid, "parameter ms is %q, not a number of milliseconds", text)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func reply(w http.ResponseWriter, err error) {
	if err != nil {
		fail(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func fail(w http.ResponseWriter, err error) { http.Error(w, err.Error(), http.StatusBadRequest) }
