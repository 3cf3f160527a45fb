// Package platform is a client of the platform's object store over HTTP.
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
	// MaxValueSize is the maximum size of an object in bytes.
	MaxValueSize = 1 << 20
	// MaxListSize is the maximum size of a list in bytes. A list of 3,200 instances has about 0.5 MB.
	MaxListSize = 8 << 20
	// CallTimeout bounds a call other than a watch. A healthy store responds within milliseconds.
	CallTimeout = 2 * time.Second
	// MaxWait bounds the wait of a watch, so that a lost connection is detected.
	MaxWait = 30 * time.Second

	maxConns        = 64
	maxHeaderSize   = 16 << 10
	idleConnTimeout = time.Minute
)

// Store is a client of the platform's object store. Use NewStore; all calls to a zero Store fail.
type Store struct {
	base   string
	client *http.Client
	timer  port.Timer
}

var _ port.Store = (*Store)(nil)

// NewStore returns a client of the store at the base URL, for example "http://10.0.0.1:7000".
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
		MaxConnsPerHost:        maxConns,
		MaxIdleConnsPerHost:    maxConns,
		MaxResponseHeaderBytes: maxHeaderSize,
		IdleConnTimeout:        idleConnTimeout,
	}
	client := &http.Client{Transport: transport, CheckRedirect: rejectRedirect}
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
	res, err := s.call(ctx, request{method: http.MethodGet, path: objectPath(name), maxSize: MaxValueSize})
	if err != nil {
		return port.Object{}, err
	}
	if res.status != http.StatusOK {
		return port.Object{}, res.statusError(name)
	}
	return res.object(name)
}

// Put writes an object if its version equals expected, and returns the new version. Zero creates the object.
func (s *Store) Put(ctx context.Context, name string, data []byte, expected port.Version) (port.Version, error) {
	if len(data) > MaxValueSize {
		return 0, port.Errorf(port.TooLarge, "object %q has %d bytes; the maximum is %d", name, len(data), MaxValueSize)
	}
	res, err := s.call(ctx, request{
		method: http.MethodPut, path: objectPath(name), body: data, headers: conditionHeaders(expected), maxSize: maxHeaderSize,
	})
	if err != nil {
		return 0, err
	}
	switch res.status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return res.version()
	case http.StatusNotFound:
		return 0, port.Errorf(port.Conflict, "object %q does not exist; version %d was expected", name, expected)
	default:
		return 0, res.statusError(name)
	}
}

// Delete removes an object if its version equals expected.
func (s *Store) Delete(ctx context.Context, name string, expected port.Version) error {
	res, err := s.call(ctx, request{
		method: http.MethodDelete, path: objectPath(name), headers: conditionHeaders(expected), maxSize: maxHeaderSize,
	})
	if err != nil {
		return err
	}
	if res.status != http.StatusOK && res.status != http.StatusNoContent {
		return res.statusError(name)
	}
	return nil
}

// Watch waits up to wait for a version other than seen. If the object was deleted, it returns an object of version
// zero. If the object does not exist and seen is zero, it fails with kind NotFound.
func (s *Store) Watch(
	ctx context.Context, name string, seen port.Version, wait time.Duration,
) (port.Object, bool, error) {
	wait = min(max(wait, 0), MaxWait)
	query := url.Values{
		"wait":       {strconv.FormatUint(uint64(seen), 10)},
		"timeout_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	path := objectPath(name) + "?" + query.Encode()
	res, err := s.call(ctx, request{method: http.MethodGet, path: path, maxSize: MaxValueSize, wait: wait})
	if err != nil {
		return port.Object{}, false, err
	}
	switch {
	case res.status == http.StatusOK:
		object, err := res.object(name)
		return object, err == nil && object.Version != seen, err
	case res.status == http.StatusNotModified:
		return port.Object{}, false, nil
	case res.status == http.StatusNotFound && seen != 0:
		return port.Object{Name: name}, true, nil
	default:
		return port.Object{}, false, res.statusError(name)
	}
}

// List returns the objects whose names start with prefix, without their data.
func (s *Store) List(ctx context.Context, prefix string) ([]port.Object, error) {
	path := "/objects?" + url.Values{"prefix": {prefix}}.Encode()
	res, err := s.call(ctx, request{method: http.MethodGet, path: path, maxSize: MaxListSize})
	if err != nil {
		return nil, err
	}
	if res.status != http.StatusOK {
		return nil, res.statusError(prefix)
	}
	return decodeObjects(res.body)
}

// Instances returns the platform's list of instances, which may be out of date.
func (s *Store) Instances(ctx context.Context) ([]instance.Instance, error) {
	res, err := s.call(ctx, request{method: http.MethodGet, path: "/instances", maxSize: MaxListSize})
	if err != nil {
		return nil, err
	}
	if res.status != http.StatusOK {
		return nil, res.statusError("instances")
	}
	return decodeInstances(res.body)
}

type request struct {
	method  string
	path    string
	body    []byte
	headers http.Header
	maxSize int64
	wait    time.Duration
}

// call sends a request and reads the response. It fails if the body is larger than r.maxSize.
func (s *Store) call(ctx context.Context, r request) (response, error) {
	if s.client == nil {
		return response{}, port.Errorf(port.Unavailable, "the store client has no address")
	}
	ctx, cancel := port.WithTimeout(ctx, s.timer, CallTimeout+r.wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, s.base+r.path, bytes.NewReader(r.body))
	if err != nil {
		return response{}, port.Wrapf(err, port.Invalid, "invalid request %s %s", r.method, r.path)
	}
	for field, values := range r.headers {
		req.Header[field] = values
	}
	res, err := s.client.Do(req)
	if err != nil {
		return response{}, port.Wrapf(err, port.Unavailable, "store did not respond")
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, r.maxSize+1))
	if err != nil {
		return response{}, port.Wrapf(err, port.Unavailable, "store's response is incomplete")
	}
	if int64(len(body)) > r.maxSize {
		return response{}, port.Errorf(port.Unavailable, "store's response is larger than %d bytes", r.maxSize)
	}
	return response{status: res.StatusCode, etag: res.Header.Get("ETag"), body: body}, nil
}

func rejectRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func objectPath(name string) string {
	segments := strings.Split(name, "/")
	for i, segment := range segments {
		segments[i] = url.PathEscape(segment)
	}
	return "/objects/" + strings.Join(segments, "/")
}

func conditionHeaders(expected port.Version) http.Header {
	if expected == 0 {
		return http.Header{"If-None-Match": {"*"}}
	}
	return http.Header{"If-Match": {strconv.Quote(strconv.FormatUint(uint64(expected), 10))}}
}
