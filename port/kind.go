package port

import (
	"errors"

	"github.com/samber/oops"
)

// Kind classifies an error. Clients and operators see its text, so the kinds below are the only ones.
type Kind string

// The error kinds.
const (
	Protocol     Kind = "protocol"
	TooLarge     Kind = "too_large"
	Unsupported  Kind = "unsupported"
	KeyRefused   Kind = "key_refused"
	UnknownRoute Kind = "unknown_route"
	BadToken     Kind = "bad_token"
	OverRate     Kind = "over_rate"
	// ShareUnavailable means that no token was available for the statement although the rate limit is not known to be
	// exhausted.
	ShareUnavailable Kind = "share_unavailable"
	NoConnection     Kind = "no_connection"
	NoPrimary        Kind = "no_primary"
	NotFresh         Kind = "not_fresh"
	ReadOnly         Kind = "read_only"
	NotKept          Kind = "not_kept"
	UnknownOutcome   Kind = "unknown_outcome"
	Stopping         Kind = "stopping"
	Conflict         Kind = "conflict"
	NotFound         Kind = "not_found"
	Invalid          Kind = "invalid"
	Unavailable      Kind = "unavailable"
	Timeout          Kind = "timeout"
	Internal         Kind = "internal"

	// Busy means that the statement could not be served in time and did not run.
	Busy Kind = "busy"
	// Lagging means that a server's log does not contain the position that a read requires.
	Lagging Kind = "lagging"
	// WrongServer means that a different server answers at the address.
	WrongServer Kind = "wrong_server"
	// StatementFailed means that the statement ran on a server and failed there.
	StatementFailed Kind = "statement_failed"
	// UnknownStatement means that no prepared statement of that name exists.
	UnknownStatement Kind = "unknown_statement"
	// Expired means that the store no longer has the requested history.
	Expired Kind = "expired"
)

// Outcome is what is known about the effect of a request.
type Outcome string

// The outcomes of a request.
const (
	Done      Outcome = "done"
	NotRun    Outcome = "not_run"
	Discarded Outcome = "discarded"
	Unknown   Outcome = "unknown"
)

// Codes holds the codes with which an error kind is reported to clients and operators.
type Codes struct {
	SQLState string
	ExitCode int
	Outcome  Outcome
}

var codesByKind = map[Kind]Codes{
	Protocol:         {"08P01", 1, NotRun},
	TooLarge:         {"54000", 1, NotRun},
	Unsupported:      {"0A000", 1, NotRun},
	KeyRefused:       {"28P01", 4, NotRun},
	UnknownRoute:     {"3D000", 1, NotRun},
	BadToken:         {"22023", 1, NotRun},
	OverRate:         {"53400", 1, NotRun},
	ShareUnavailable: {"53400", 1, NotRun},
	NoConnection:     {"53300", 1, NotRun},
	NoPrimary:        {"57P03", 1, NotRun},
	NotFresh:         {"57P03", 1, NotRun},
	ReadOnly:         {"25006", 1, NotRun},
	NotKept:          {"40000", 1, Discarded},
	UnknownOutcome:   {"08007", 1, Unknown},
	Stopping:         {"57P01", 1, NotRun},
	Conflict:         {"55000", 3, NotRun},
	NotFound:         {"42704", 1, NotRun},
	Invalid:          {"22023", 2, NotRun},
	Unavailable:      {"58030", 5, Unknown},
	Timeout:          {"57014", 5, Unknown},
	Internal:         {"XX000", 1, Unknown},
	Busy:             {"53300", 1, NotRun},
	Lagging:          {"57P03", 1, NotRun},
	WrongServer:      {"57P03", 1, NotRun},
	StatementFailed:  {"XX000", 1, Unknown},
	UnknownStatement: {"26000", 1, NotRun},
	Expired:          {"58030", 5, NotRun},
}

// Kinds returns all error kinds, in no particular order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(codesByKind))
	for kind := range codesByKind {
		kinds = append(kinds, kind)
	}
	return kinds
}

// Codes returns the codes of the kind. An unknown kind has the codes of Internal.
func (k Kind) Codes() Codes {
	if codes, ok := codesByKind[k]; ok {
		return codes
	}
	return codesByKind[Internal]
}

// Error is an error of one kind. The zero value is an error of kind Internal.
type Error struct {
	Kind  Kind
	cause error
}

// Errorf returns an error of the given kind with a formatted message.
func Errorf(kind Kind, format string, args ...any) error {
	return &Error{Kind: kind, cause: oops.Errorf(format, args...)}
}

// Wrapf wraps err in an error of the given kind with a formatted message. It returns nil if err is nil.
func Wrapf(err error, kind Kind, format string, args ...any) error {
	if err == nil {
		return nil
	}
	return &Error{Kind: kind, cause: oops.Wrapf(err, format, args...)}
}

// KindOf returns the kind of the outermost Error in err's chain, or Internal if there is none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) && e.Kind != "" {
		return e.Kind
	}
	return Internal
}

func (e *Error) Error() string {
	if e.cause == nil {
		return string(Internal)
	}
	return e.cause.Error()
}

func (e *Error) Unwrap() error { return e.cause }
