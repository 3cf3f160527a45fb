package port

import (
	"errors"

	"github.com/samber/oops"
)

// Kind is one of the closed list of error kinds.
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
	// ShareUnavailable refuses a statement that found no token although the rate is not known to be used up.
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

	// Busy refuses a statement that cannot be served in time; nothing of it ran.
	Busy Kind = "busy"
	// Lagging says that a server's log does not hold the position that a read asked for.
	Lagging Kind = "lagging"
	// WrongServer says that another server answers at the address.
	WrongServer Kind = "wrong_server"
	// StatementFailed says that a server ran the statement and failed.
	StatementFailed Kind = "statement_failed"
	// UnknownStatement says that a prepared name does not exist.
	UnknownStatement Kind = "unknown_statement"
	// Expired says that the store no longer has the history that was asked for.
	Expired Kind = "expired"
)

// Outcome says what is known about the request that an error answers.
type Outcome string

// The outcomes of a request.
const (
	Done      Outcome = "done"
	NotRun    Outcome = "not_run"
	Discarded Outcome = "discarded"
	Unknown   Outcome = "unknown"
)

// Codes is how an error kind is told to a caller or an operator.
type Codes struct {
	SQLState string
	ExitCode int
	Outcome  Outcome
}

var answers = map[Kind]Codes{
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

// Kinds returns the closed list.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(answers))
	for kind := range answers {
		kinds = append(kinds, kind)
	}
	return kinds
}

// Codes returns how the kind is told. A kind outside the list is told as Internal.
func (k Kind) Codes() Codes {
	if answer, ok := answers[k]; ok {
		return answer
	}
	return answers[Internal]
}

// Error is an error of one kind. The zero value is an error of kind Internal.
type Error struct {
	Kind  Kind
	cause error
}

// Errorf returns an error of the kind with a formatted message.
func Errorf(kind Kind, format string, args ...any) error {
	return &Error{Kind: kind, cause: oops.Errorf(format, args...)}
}

// Wrapf returns err with the kind and a formatted message before it, and nil when err is nil.
func Wrapf(err error, kind Kind, format string, args ...any) error {
	if err == nil {
		return nil
	}
	return &Error{Kind: kind, cause: oops.Wrapf(err, format, args...)}
}

// KindOf returns the kind of the outermost Error in err's chain, and Internal when there is none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) && e.Kind != "" {
		return e.Kind
	}
	return Internal
}

// Error returns the message.
func (e *Error) Error() string {
	if e.cause == nil {
		return string(Internal)
	}
	return e.cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }
