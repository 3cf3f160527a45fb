// Package admin serves an instance's health checks, metrics and profiles over HTTP.
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
	readHeaderTimeout = 5 * time.Second
	maxHeaderBytes    = 16 << 10
	// idleTimeout is how long a connection is kept for the next request. It is above the period of health checks.
	idleTimeout = 2 * time.Minute
	// blockProfileRate is the average blocked time in nanoseconds per sample of the block profile.
	blockProfileRate = 100_000
	// mutexProfileFraction is the average number of contention events per sample of the mutex profile.
	mutexProfileFraction = 100
)

// Config contains the dependencies of a Server.
type Config struct {
	Follower *entry.Follower
	Log      *zap.Logger
}

// Server serves /live and /ready. An instance is live while it runs, and ready if it has a document and is not stopping.
type Server struct {
	cfg      Config
	mux      *http.ServeMux
	stopping atomic.Bool
}

// NewServer returns a server for the health checks. Handle adds others.
func NewServer(cfg Config) *Server {
	s := &Server{cfg: cfg, mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /live", s.handleLive)
	s.mux.HandleFunc("GET /ready", s.handleReady)
	return s
}

// Handle registers a handler, such as that of the metrics or the console.
func (s *Server) Handle(pattern string, h http.Handler) { s.mux.Handle(pattern, h) }

// EnableProfiling serves the profiles of the Go runtime under /debug/pprof/ and enables the block and mutex profiles.
func (s *Server) EnableProfiling() {
	runtime.SetBlockProfileRate(blockProfileRate)
	runtime.SetMutexProfileFraction(mutexProfileFraction)
	s.mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	s.mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	s.mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
}

// SetStopping makes the instance not ready, so that the platform's load balancer sends no new clients.
func (s *Server) SetStopping() { s.stopping.Store(true) }

// HTTPServer returns an HTTP server with limits on the size and the time of request headers. The caller starts and closes
// it.
func (s *Server) HTTPServer() *http.Server {
	return &http.Server{
		Handler: s.mux, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

func (s *Server) handleLive(w http.ResponseWriter, _ *http.Request) {
	s.respond(w, http.StatusOK, "live")
}

func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case s.stopping.Load():
		s.respond(w, http.StatusServiceUnavailable, "stopping")
	case s.cfg.Follower.Document().Revision == 0:
		s.respond(w, http.StatusServiceUnavailable, "no document")
	default:
		s.respond(w, http.StatusOK, "ready")
	}
}

func (s *Server) respond(w http.ResponseWriter, code int, text string) {
	w.WriteHeader(code)
	if _, err := fmt.Fprintln(w, text); err != nil {
		s.cfg.Log.Named("admin").Debug("response could not be written", zap.Error(err))
	}
}
