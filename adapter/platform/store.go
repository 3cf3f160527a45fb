// Package platform speaks to the platform's object store over HTTP.
package platform

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rhubarbwick/rhubarbwick/instance"
	"github.com/rhubarbwick/rhubarbwick/port"
)

const (
	// MaxValueSize is the largest value in bytes that the store keeps.
	MaxValueSize = 1 << 20
	// MaxListSize is the largest listing in bytes that is read. 3,200 instances take about 0.5 MB.
	MaxListSize = 8 << 20
	// CallTimeout bounds a call that does not wait. The store answers in milliseconds while it is healthy.
	CallTimeout = 2 * time.Second
	// MaxWait bounds the wait of one watch, so that a lost connection is noticed.
	MaxWait = 30 * time.Second

	maxConnections = 64
	maxHeader      = 16 << 10
	idleTimeout    = time.Minute
)

// Store is the platform's store over HTTP. Use NewStore; a zero Store refuses every call.
type Store struct {
	base   string
	client *http.Client
	timer  port.Timer
}

var _ port.Store = (*Store)(nil)

// NewStore returns a store at the base URL, for example "http://10.0.0.1:7000".
func NewStore(base string, timer port.Timer) (*Store, error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, port.Wrapf(err, port.Invalid, "store address %q is not a URL", base)
	}
	if (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return nil, port.Errorf(port.Invalid, "store address %q is not of the form http://host:port", base)
	}
	transport := &http.Transport{
		DialContext:            (&net.Dialer{Timeout: CallTimeout}).DialContext,
		TLSHandshakeTimeout:    CallTimeout,
		MaxConnsPerHost:        maxConnections,
		MaxIdleConnsPerHost:    maxConnections,
		MaxResponseHeaderBytes: maxHeader,
		IdleConnTimeout:        idleTimeout,
	}
	client := &http.Client{Transport: transport, CheckRedirect: refuseRedirect}
	return &Store{base: strings.TrimRight(base, "/"), client: client, timer: timer}, nil
}

// Close closes the idle connections.
func (s *Store) Close() {
	if s.client != nil {
		s.client.CloseIdleConnections()
	}
}

// Get reads an object.
func (s *Store) Get(ctx context.Context, name string) (port.Object, error) {
	a, err := s.call(ctx, request{method: http.MethodGet, path: objectPath(name), limit: MaxValueSize})
	if err != nil {
		return port.Object{}, err
	}
	if a.status != http.StatusOK {
		return port.Object{}, a.refusal(name)
	}
	return a.object(name)
}

// Put writes an object if its version is still expected, and returns the new version.
func (s *Store) Put(ctx context.Context, name string, data []byte, expected port.Version) (port.Version, error) {
	if len(data) > MaxValueSize {
		return 0, port.Errorf(port.TooLarge, "object %q has %d bytes, at most %d are allowed", name, len(data), MaxValueSize)
	}
	a, err := s.call(ctx, request{
		method: http.MethodPut, path: objectPath(name), body: data, condition: condition(expected), limit: maxHeader,
	})
	if err != nil {
		return 0, err
	}
	switch a.status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return a.version()
	case http.StatusNotFound:
		return 0, port.Errorf(port.Conflict, "object %q does not exist, version %d was expected", name, expected)
	default:
		return 0, a.refusal(name)
	}
}

// Delete removes an object if its version is still expected.
func (s *Store) Delete(ctx context.Context, name string, expected port.Version) error {
	a, err := s.call(ctx, request{
		method: http.MethodDelete, path: objectPath(name), condition: condition(expected), limit: maxHeader,
	})
	if err != nil {
		return err
	}
	if a.status != http.StatusOK && a.status != http.StatusNoContent {
		return a.refusal(name)
	}
	return nil
}

// Watch waits up to wait for a version other than seen. It reports an object of version zero when the object was
// deleted, and fails with kind NotFound when the object does not exist and none was seen.
func (s *Store) Watch(
	ctx context.Context, name string, seen port.Version, wait time.Duration,
) (port.Object, bool, error) {
	wait = min(max(wait, 0), MaxWait)
	query := url.Values{
		"wait":       {strconv.FormatUint(uint64(seen), 10)},
		"timeout_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	path := objectPath(name) + "?" + query.Encode()
	a, err := s.call(ctx, request{method: http.MethodGet, path: path, limit: MaxValueSize, wait: wait})
	if err != nil {
		return port.Object{}, false, err
	}
	switch {
	case a.status == http.StatusOK:
		object, err := a.object(name)
		return object, err == nil && object.Version != seen, err
	case a.status == http.StatusNotModified:
		return port.Object{}, false, nil
	case a.status == http.StatusNotFound && seen != 0:
		return port.Object{Name: name}, true, nil
	default:
		return port.Object{}, false, a.refusal(name)
	}
}

// List returns the objects whose names start with prefix, without their data.
func (s *Store) List(ctx context.Context, prefix string) ([]port.Object, error) {
	path := "/objects?" + url.Values{"prefix": {prefix}}.Encode()
	a, err := s.call(ctx, request{method: http.MethodGet, path: path, limit: MaxListSize})
	if err != nil {
		return nil, err
	}
	if a.status != http.StatusOK {
		return nil, a.refusal(prefix)
	}
	return decodeObjects(a.body)
}

// Instances returns the platform's list of instances, which lags.
func (s *Store) Instances(ctx context.Context) ([]instance.Instance, error) {
	a, err := s.call(ctx, request{method: http.MethodGet, path: "/instances", limit: MaxListSize})
	if err != nil {
		return nil, err
	}
	if a.status != http.StatusOK {
		return nil, a.refusal("instances")
	}
	return decodeInstances(a.body)
}

type request struct {
	method    string
	path      string
	body      []byte
	condition http.Header
	limit     int64
	wait      time.Duration
}

// call sends one request and reads at most r.limit bytes of the answer.
func (s *Store) call(ctx context.Context, r request) (answer, error) {
	if s.client == nil {
		return answer{}, port.Errorf(port.Unavailable, "the store has no address")
	}
	ctx, cancel := port.WithTimeout(ctx, s.timer, CallTimeout+r.wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, s.base+r.path, bytes.NewReader(r.body))
	if err != nil {
		return answer{}, port.Wrapf(err, port.Invalid, "request %s %s cannot be made", r.method, r.path)
	}
	for field, values := range r.condition {
		req.Header[field] = values
	}
	res, err := s.client.Do(req)
	if err != nil {
		return answer{}, port.Wrapf(err, port.Unavailable, "store does not answer")
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, r.limit+1))
	if err != nil {
		return answer{}, port.Wrapf(err, port.Unavailable, "store's answer is cut off")
	}
	if int64(len(body)) > r.limit {
		return answer{}, port.Errorf(port.Unavailable, "store's answer has more than %d bytes", r.limit)
	}
	return answer{status: res.StatusCode, etag: res.Header.Get("ETag"), body: body}, nil
}

func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func objectPath(name string) string {
	segments := strings.Split(name, "/")
	for i, segment := range segments {
		segments[i] = url.PathEscape(segment)
	}
	return "/objects/" + strings.Join(segments, "/")
}

func condition(expected port.Version) http.Header {
	if expected == 0 {
		return http.Header{"If-None-Match": {"*"}}
	}
	return http.Header{"If-Match": {strconv.Quote(strconv.FormatUint(uint64(expected), 10))}}
}
