package server

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/rhubarbwick/rhubarbwick/group"
)

// Admin is the HTTP API for fault injection.
type Admin struct {
	server   *Server
	listener *Listener
	mux      *http.ServeMux
}

// NewAdmin returns an Admin for a server and its listener.
func NewAdmin(s *Server, l *Listener) *Admin {
	a := &Admin{server: s, listener: l, mux: http.NewServeMux()}
	a.mux.HandleFunc("GET /status", a.status)
	a.mux.HandleFunc("GET /counters", a.counters)
	a.mux.HandleFunc("POST /record", a.record)
	a.mux.HandleFunc("GET /recording", a.recording)
	a.mux.HandleFunc("POST /freeze", a.pause)
	a.mux.HandleFunc("POST /thaw", a.resume)
	a.mux.HandleFunc("POST /cut/peers", a.setPeerPartition(true))
	a.mux.HandleFunc("POST /heal/peers", a.setPeerPartition(false))
	a.mux.HandleFunc("POST /cut/callers", a.setClientPartition(true))
	a.mux.HandleFunc("POST /heal/callers", a.setClientPartition(false))
	a.mux.HandleFunc("POST /drop", a.closeConnections)
	a.mux.HandleFunc("POST /lag", a.setLag)
	a.mux.HandleFunc("POST /open-time", a.setConnectDelay)
	return a
}

// ServeHTTP implements http.Handler.
func (a *Admin) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.mux.ServeHTTP(w, r) }

func (a *Admin) status(w http.ResponseWriter, r *http.Request) {
	status, err := a.server.Status(r.Context(), group.Position{}, 0)
	if err != nil {
		writeError(w, err)
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
		writeError(w, errorf(codeInvalidParameterValue, "parameter bytes is %q, not a number from 1 to %d", r.FormValue("bytes"), MaxRecording))
		return
	}
	a.listener.recorder.start(limit)
	writeStatus(w, nil)
}

func (a *Admin) recording(w http.ResponseWriter, _ *http.Request) {
	recorded, err := a.listener.recorder.recording()
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(recorded)
}

func (a *Admin) pause(w http.ResponseWriter, r *http.Request) {
	writeStatus(w, a.server.Pause(r.Context()))
}

func (a *Admin) resume(w http.ResponseWriter, _ *http.Request) {
	a.server.Resume()
	writeStatus(w, nil)
}

func (a *Admin) setPeerPartition(partitioned bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		writeStatus(w, a.server.SetPartitioned(r.Context(), partitioned))
	}
}

func (a *Admin) setClientPartition(partitioned bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		a.listener.SetPartitioned(partitioned)
		writeStatus(w, nil)
	}
}

func (a *Admin) closeConnections(w http.ResponseWriter, _ *http.Request) {
	a.listener.CloseConnections()
	writeStatus(w, nil)
}

func (a *Admin) setLag(w http.ResponseWriter, r *http.Request) {
	d, err := parseMilliseconds(r)
	if err != nil {
		writeError(w, err)
		return
	}
	writeStatus(w, a.server.SetLag(r.Context(), d))
}

func (a *Admin) setConnectDelay(w http.ResponseWriter, r *http.Request) {
	d, err := parseMilliseconds(r)
	if err != nil {
		writeError(w, err)
		return
	}
	a.listener.SetConnectDelay(d)
	writeStatus(w, nil)
}

func parseMilliseconds(r *http.Request) (time.Duration, error) {
	text := r.FormValue("ms")
	ms, err := strconv.ParseUint(text, 10, 31)
	if err != nil {
		return 0, errorf(codeInvalidParameterValue, "parameter ms is %q, not a number of milliseconds", text)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func writeStatus(w http.ResponseWriter, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func writeError(w http.ResponseWriter, err error) { http.Error(w, err.Error(), http.StatusBadRequest) }
