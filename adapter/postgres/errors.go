package postgres

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rhubarbwick/rhubarbwick/port"
)

const (
	severityError = "ERROR"
	severityFatal = "FATAL"
)

// errorResponse encodes err as an ErrorResponse. The message contains "not run" exactly if the request of an error of
// that kind has not run.
func errorResponse(severity string, err error) *pgproto3.ErrorResponse {
	codes := port.KindOf(err).Codes()
	return &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                codes.SQLState,
		Message:             err.Error() + "; " + outcomeText(codes.Outcome),
	}
}

func outcomeText(outcome port.Outcome) string {
	switch outcome {
	case port.NotRun:
		return "not run"
	case port.Discarded:
		return "the write was not kept"
	case port.Done:
		return "done"
	case port.Unknown:
	}
	return "the outcome is unknown"
}

// asNotRun returns err as an error whose kind implies that the request has not run.
func asNotRun(err error) error {
	if port.KindOf(err).Codes().Outcome == port.NotRun {
		return err
	}
	return port.Wrapf(err, port.NoConnection, "no connection to a server")
}
