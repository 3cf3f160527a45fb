// Package operator implements the operators' service of an instance and its client over connect-go.
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/entry"
	operatorv1 "github.com/rhubarbwick/rhubarbwick/gen/rhubarbwick/operator/v1"
	"github.com/rhubarbwick/rhubarbwick/gen/rhubarbwick/operator/v1/operatorv1connect"
	"github.com/rhubarbwick/rhubarbwick/port"
)

const (
	// maxMessageSize limits a message in bytes. It has room for the largest document and the other fields.
	maxMessageSize = document.MaxSize + 64<<10
	// kindHeader is the name of the header with the kind of an error.
	kindHeader   = "Rhubarbwick-Kind"
	bearerPrefix = "Bearer "
)

// Config configures a Server.
type Config struct {
	Follower  *entry.Follower
	Editor    *entry.Editor
	Groups    *entry.GroupManager
	Survey    *entry.Survey
	Explainer *entry.Explainer
	// PasswordSHA256 is the hexadecimal hash of the operators' password. If it is empty, all requests are rejected.
	PasswordSHA256 string
}

// Server implements the operators' service. The zero value rejects all requests.
type Server struct {
	cfg Config
}

var _ operatorv1connect.OperatorServiceHandler = (*Server)(nil)

// NewServer returns a Server with the configuration.
func NewServer(cfg Config) *Server { return &Server{cfg: cfg} }

// Handler returns the path of the service and its handler, which requires the operators' password.
func (s *Server) Handler() (string, http.Handler) {
	path, handler := operatorv1connect.NewOperatorServiceHandler(s,
		connect.WithReadMaxBytes(maxMessageSize), connect.WithSendMaxBytes(maxMessageSize))
	return path, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		password := strings.TrimPrefix(r.Header.Get("Authorization"), bearerPrefix)
		if !CheckPassword(s.cfg.PasswordSHA256, password) {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		handler.ServeHTTP(w, r)
	})
}

// Show returns the current document.
func (s *Server) Show(
	context.Context, *connect.Request[operatorv1.ShowRequest],
) (*connect.Response[operatorv1.ShowResponse], error) {
	d := s.cfg.Follower.Document()
	if d.Revision == 0 {
		return connect.NewResponse(&operatorv1.ShowResponse{}), nil
	}
	data, violations := document.Encode(d)
	if len(violations) > 0 {
		return nil, toConnectError(port.Wrapf(entry.EditViolations(violations), port.Internal, "cannot encode revision %d", d.Revision))
	}
	res := &operatorv1.ShowResponse{Document: data}
	if age, confirmed := s.cfg.Follower.Staleness(); confirmed {
		ms := uint64(age / time.Millisecond)
		res.AgeMs = &ms
	}
	return connect.NewResponse(res), nil
}

// Apply replaces the whole document.
func (s *Server) Apply(
	ctx context.Context, req *connect.Request[operatorv1.ApplyRequest],
) (*connect.Response[operatorv1.ApplyResponse], error) {
	d, violations := document.Parse(req.Msg.GetDocument())
	if len(violations) > 0 {
		return nil, toConnectError(port.Wrapf(entry.EditViolations(violations), port.Invalid, "the document has %d errors", len(violations)))
	}
	accepted, err := s.cfg.Editor.Apply(ctx, entry.EditRequest{
		Edit:         document.Replace{Document: d},
		BaseRevision: document.Revision(req.Msg.GetBase()),
		Author:       req.Msg.GetAuthor(),
		Summary:      req.Msg.GetSummary(),
	})
	if err != nil {
		return nil, toConnectError(err)
	}
	return connect.NewResponse(&operatorv1.ApplyResponse{Revision: uint64(accepted.Revision)}), nil
}

// CheckPassword reports whether the password has the hash. The hashes are compared in constant time.
func CheckPassword(sha256Hex, password string) bool {
	want, err := hex.DecodeString(sha256Hex)
	if err != nil || len(want) == 0 {
		return false
	}
	sum := sha256.Sum256([]byte(password))
	return subtle.ConstantTimeCompare(want, sum[:]) == 1
}

// toConnectError returns a connect error with the kind of the error in a header.
func toConnectError(err error) error {
	failure := connect.NewError(connect.CodeFailedPrecondition, err)
	failure.Meta().Set(kindHeader, string(port.KindOf(err)))
	return failure
}
