// Package operator carries operators' requests to an instance over connect-go.
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
	// maxMessage bounds a request: the largest document and the fields beside it.
	maxMessage = document.MaxSize + 64<<10
	// kindHeader names the error kind of a refusal.
	kindHeader = "Rhubarbwick-Kind"
	bearer     = "Bearer "
)

// Config is what a Server needs.
type Config struct {
	Follower *entry.Follower
	Editor   *entry.Editor
	Groups   *entry.GroupManager
	Survey   *entry.Survey
	// Explainer tells where requests go.
	Explainer *entry.Explainer
	// PasswordSHA256 is the hexadecimal hash of the operators' password. When it is empty every request is refused.
	PasswordSHA256 string
}

// Server answers operators' requests. The zero value refuses every request.
type Server struct {
	cfg Config
}

var _ operatorv1connect.OperatorServiceHandler = (*Server)(nil)

// NewServer returns a server.
func NewServer(cfg Config) *Server { return &Server{cfg: cfg} }

// Handler returns the path and the handler of the service.
func (s *Server) Handler() (string, http.Handler) {
	path, calls := operatorv1connect.NewOperatorServiceHandler(s,
		connect.WithReadMaxBytes(maxMessage), connect.WithSendMaxBytes(maxMessage))
	return path, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		password := strings.TrimPrefix(r.Header.Get("Authorization"), bearer)
		if !CheckPassword(s.cfg.PasswordSHA256, password) {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		calls.ServeHTTP(w, r)
	})
}

// Show returns the document in force.
func (s *Server) Show(
	context.Context, *connect.Request[operatorv1.ShowRequest],
) (*connect.Response[operatorv1.ShowResponse], error) {
	d := s.cfg.Follower.Document()
	if d.Revision == 0 {
		return connect.NewResponse(&operatorv1.ShowResponse{}), nil
	}
	data, faults := document.Encode(d)
	if len(faults) > 0 {
		return nil, refusal(port.Wrapf(entry.EditViolations(faults), port.Internal, "revision %d cannot be shown", d.Revision))
	}
	response := &operatorv1.ShowResponse{Document: data}
	if age, confirmed := s.cfg.Follower.Staleness(); confirmed {
		ms := uint64(age / time.Millisecond)
		response.AgeMs = &ms
	}
	return connect.NewResponse(response), nil
}

// Apply replaces everything that the document states.
func (s *Server) Apply(
	ctx context.Context, req *connect.Request[operatorv1.ApplyRequest],
) (*connect.Response[operatorv1.ApplyResponse], error) {
	d, faults := document.Parse(req.Msg.GetDocument())
	if len(faults) > 0 {
		return nil, refusal(port.Wrapf(entry.EditViolations(faults), port.Invalid, "the document has %d faults", len(faults)))
	}
	accepted, err := s.cfg.Editor.Apply(ctx, entry.EditRequest{
		Edit:         document.Replace{Document: d},
		BaseRevision: document.Revision(req.Msg.GetBase()),
		Author:       req.Msg.GetAuthor(),
		Summary:      req.Msg.GetSummary(),
	})
	if err != nil {
		return nil, refusal(err)
	}
	return connect.NewResponse(&operatorv1.ApplyResponse{Revision: uint64(accepted.Revision)}), nil
}

// CheckPassword reports whether the password has the hash. It takes the same time for every password.
func CheckPassword(sha256Hex, password string) bool {
	want, err := hex.DecodeString(sha256Hex)
	if err != nil || len(want) == 0 {
		return false
	}
	sum := sha256.Sum256([]byte(password))
	return subtle.ConstantTimeCompare(want, sum[:]) == 1
}

// refusal carries the error's kind to the client.
func refusal(err error) error {
	failure := connect.NewError(connect.CodeFailedPrecondition, err)
	failure.Meta().Set(kindHeader, string(port.KindOf(err)))
	return failure
}
