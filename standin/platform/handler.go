package platform

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rhubarbwick/rhubarbwick/instance"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// Handler serves a Store and its administration over HTTP.
type Handler struct {
	store *Store
	mux   *http.ServeMux
}

// objectJSON is the JSON form of an object in a list.
type objectJSON struct {
	Name string `json:"name"`
	ETag string `json:"etag"`
}

// instanceJSON is the JSON form of an instance.
type instanceJSON struct {
	ID         string         `json:"id"`
	Address    string         `json:"address"`
	DataCentre string         `json:"data_centre"`
	State      instance.State `json:"state"`
}

// NewHandler returns a Handler for a store.
func NewHandler(s *Store) *Handler {
	h := &Handler{store: s, mux: http.NewServeMux()}
	h.mux.HandleFunc("GET /objects", h.list)
	h.mux.HandleFunc("GET /objects/{name...}", h.get)
	h.mux.HandleFunc("PUT /objects/{name...}", h.put)
	h.mux.HandleFunc("DELETE /objects/{name...}", h.delete)
	h.mux.HandleFunc("GET /instances", h.instances)
	h.mux.HandleFunc("PUT /admin/instances", h.setInstances)
	h.mux.HandleFunc("GET /admin/counters", h.counters)
	h.mux.HandleFunc("POST /admin/down", h.setFaults(func(f Faults, _ int) Faults { return f.WithDown(true) }))
	h.mux.HandleFunc("POST /admin/up", h.setFaults(func(f Faults, _ int) Faults { return f.WithDown(false) }))
	h.mux.HandleFunc("POST /admin/slow", h.setFaults(func(f Faults, ms int) Faults { return f.WithDelay(milliseconds(ms)) }))
	h.mux.HandleFunc("POST /admin/lose", h.setFaults(Faults.WithLostResponses))
	h.mux.HandleFunc("POST /admin/watches", h.setFaults(Faults.WithMaxWatches))
	h.mux.HandleFunc("POST /admin/instances-lag", h.setFaults(func(f Faults, ms int) Faults {
		return f.WithInstancesLag(milliseconds(ms))
	}))
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

func (h *Handler) get(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("wait") {
		h.watch(w, r)
		return
	}
	object, err := h.store.Get(r.Context(), r.PathValue("name"))
	if err != nil {
		writeError(w, err)
		return
	}
	writeObject(w, object)
}

func (h *Handler) watch(w http.ResponseWriter, r *http.Request) {
	seen, err := parseETag(r.URL.Query().Get("wait"))
	if err != nil {
		writeError(w, err)
		return
	}
	ms, err := strconv.ParseUint(r.URL.Query().Get("timeout_ms"), 10, 31)
	if err != nil {
		writeError(w, port.Wrapf(err, port.Invalid, "timeout_ms is not a number of milliseconds"))
		return
	}
	object, changed, err := h.store.Watch(r.Context(), r.PathValue("name"), seen, milliseconds(int(ms)))
	switch {
	case err != nil:
		writeError(w, err)
	case changed && object.Version == 0:
		writeError(w, port.Errorf(port.NotFound, "object %q does not exist", object.Name))
	case changed:
		writeObject(w, object)
	default:
		w.WriteHeader(http.StatusNotModified)
	}
}

func (h *Handler) put(w http.ResponseWriter, r *http.Request) {
	expected, err := parseCondition(r)
	if err != nil {
		writeError(w, err)
		return
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, MaxValueSize+1))
	if err != nil {
		writeError(w, port.Wrapf(err, port.Invalid, "body was not read"))
		return
	}
	version, err := h.store.Put(r.Context(), r.PathValue("name"), data, expected)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", formatETag(version))
	if expected == 0 {
		w.WriteHeader(http.StatusCreated)
	}
}

func (h *Handler) delete(w http.ResponseWriter, r *http.Request) {
	expected, err := parseCondition(r)
	if err == nil {
		err = h.store.Delete(r.Context(), r.PathValue("name"), expected)
	}
	writeStatus(w, err)
}

func (h *Handler) list(w http.ResponseWriter, r *http.Request) {
	objects, err := h.store.List(r.Context(), r.URL.Query().Get("prefix"))
	if err != nil {
		writeError(w, err)
		return
	}
	listed := make([]objectJSON, len(objects))
	for i, object := range objects {
		listed[i] = objectJSON{Name: object.Name, ETag: formatETag(object.Version)}
	}
	writeJSON(w, listed)
}

func (h *Handler) instances(w http.ResponseWriter, r *http.Request) {
	instances, err := h.store.Instances(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	listed := make([]instanceJSON, len(instances))
	for i, in := range instances {
		listed[i] = instanceJSON{ID: in.Incarnation, Address: in.Address, DataCentre: in.DataCentre, State: in.State}
	}
	writeJSON(w, listed)
}

func (h *Handler) setInstances(w http.ResponseWriter, r *http.Request) {
	var listed []instanceJSON
	if err := json.NewDecoder(r.Body).Decode(&listed); err != nil {
		writeError(w, port.Wrapf(err, port.Invalid, "list of instances was not understood"))
		return
	}
	instances := make([]instance.Instance, len(listed))
	for i, l := range listed {
		instances[i] = instance.Instance{Incarnation: l.ID, Address: l.Address, DataCentre: l.DataCentre, State: l.State}
	}
	writeStatus(w, h.store.SetInstances(r.Context(), instances))
}

func (h *Handler) counters(w http.ResponseWriter, r *http.Request) {
	counters, err := h.store.Counters(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, counters)
}

// setFaults returns a handler that passes the number in parameter n or ms, zero by default, to update.
func (h *Handler) setFaults(update func(Faults, int) Faults) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		n, err := parseNumber(r)
		if err == nil {
			err = h.store.SetFaults(r.Context(), func(f Faults) Faults { return update(f, n) })
		}
		writeStatus(w, err)
	}
}

func parseNumber(r *http.Request) (int, error) {
	text := r.FormValue("n") + r.FormValue("ms")
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 31)
	return int(n), port.Wrapf(err, port.Invalid, "parameter %q is not a number", text)
}

// parseCondition returns the expected version of an update.
func parseCondition(r *http.Request) (port.Version, error) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, nil
	}
	expected, err := parseETag(r.Header.Get("If-Match"))
	if err == nil && expected == 0 {
		err = port.Errorf(port.Invalid, "condition expects version zero, which no object has")
	}
	return expected, err
}

func parseETag(text string) (port.Version, error) {
	version, err := strconv.ParseUint(strings.Trim(text, `"`), 10, 64)
	return port.Version(version), port.Wrapf(err, port.Invalid, "ETag %q is not a decimal version", text)
}

func formatETag(v port.Version) string { return `"` + strconv.FormatUint(uint64(v), 10) + `"` }

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func writeObject(w http.ResponseWriter, object port.Object) {
	w.Header().Set("ETag", formatETag(object.Version))
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(object.Data)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func writeStatus(w http.ResponseWriter, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// writeError writes an error response. If the response is to be lost, it closes the connection instead.
func writeError(w http.ResponseWriter, err error) {
	if errors.Is(err, ErrResponseLost) {
		panic(http.ErrAbortHandler)
	}
	http.Error(w, err.Error(), statusCode(port.KindOf(err)))
}

func statusCode(kind port.Kind) int {
	switch kind {
	case port.NotFound:
		return http.StatusNotFound
	case port.Conflict:
		return http.StatusPreconditionFailed
	case port.Invalid:
		return http.StatusBadRequest
	case port.TooLarge:
		return http.StatusRequestEntityTooLarge
	case port.OverRate:
		return http.StatusTooManyRequests
	case port.Unavailable:
		return http.StatusServiceUnavailable
	}
	return http.StatusInternalServerError
}
