package server

import (
	"strconv"
	"time"

	"github.com/rhubarbwick/rhubarbwick/group"
)

// statusColumns are the column names of a status result.
var statusColumns = []string{
	"server", "role", "promised", "candidate", "followed", "history", "primary_silence_ms", "age_ms", "age_known",
}

func statusResult(s group.Status) Result {
	return rows([]string{
		s.Server,
		string(s.Role),
		strconv.FormatUint(uint64(s.Promised), 10),
		s.Candidate,
		strconv.FormatUint(uint64(s.Followed), 10),
		s.History.String(),
		// The silence is rounded down and the age up, so that neither claims more than is known.
		strconv.FormatInt(int64(s.PrimarySilence/time.Millisecond), 10),
		milliseconds(s.Age),
		strconv.FormatBool(s.AgeKnown),
	})
}
