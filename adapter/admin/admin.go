// Package admin serves an instance's health and metrics to the platform and to operators over HTTP.
package admin

import (
	"fmt"
	"net/http"
	"net/http/pprof"
	"runtime"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/rhubarbwick/rhubarbwick/entry"
)

const (
	headerLimit = 5 * time.Second
	maxHeader   = 16 << 10
	// blockRate is the mean blocked time, in nanoseconds, for one sample of the block profile.
	blockRate = 100_000
	// mutexFraction is how many contention events there are for one sample of the mutex profile.
	mutexFraction = 100
)

// Config is what a Server needs.
type Config struct {
	Follower *entry.Follower
	Log      *zap.Logger
}

// Server answers /live and /ready. An instance is live while it runs, and ready when it has a document and does not stop.
type Server struct {
	cfg      Config
	mux      *http.ServeMux
	stopping atomic.Bool
}

// NewServer returns a server.
func NewServer(cfg Config) *Server {
	s := &Server{cfg: cfg, mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /live", s.live)
	s.mux.HandleFunc("GET /ready", s.ready)
	return s
}

// Handle adds a handler, such as that of the metrics or the console.
func (s *Server) Handle(pattern string, h http.Handler) { s.mux.Handle(pattern, h) }

// EnableProfiling adds the run-time's profiles under /debug/pprof/ and starts the sampling of blocked time.
func (s *Server) EnableProfiling() {
	runtime.SetBlockProfileRate(blockRate)
	runtime.SetMutexProfileFraction(mutexFraction)
	s.mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	s.mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	s.mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
}

// SetStopping makes the instance not ready, so that the platform's balancer sends no new callers.
func (s *Server) SetStopping() { s.stopping.Store(true) }

// HTTPServer returns a server with bounded headers and times. The caller serves and closes it.
func (s *Server) HTTPServer() *http.Server {
	return &http.Server{Handler: s.mux, ReadHeaderTimeout: headerLimit, MaxHeaderBytes: maxHeader}
}

func (s *Server) live(w http.ResponseWriter, _ *http.Request) { s.answer(w, http.StatusOK, "live") }

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case s.stopping.Load():
		s.answer(w, http.StatusServiceUnavailable, "stopping")
	case s.cfg.Follower.Document().Revision == 0:
		s.answer(w, http.StatusServiceUnavailable, "no document")
	default:
		s.answer(w, http.StatusOK, "ready")
	}
}

func (s *Server) answer(w http.ResponseWriter, code int, text string) {
	w.WriteHeader(code)
	if _, err := fmt.Fprintln(w, text); err != nil {
		s.cfg.Log.Named("admin").Debug("answer was not taken", zap.Error(err))
	}
}
