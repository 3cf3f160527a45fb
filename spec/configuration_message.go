package spec

import (
	"fmt"
	"slices"

	"github.com/rhubarbwick/rhubarbwick/document"
)

// querySteps lets a relay query the store or the relay of the other data centre, and a follower query a relay. The
// response contains the state at the time of the query. It arrives at any later time or never.
func (s configurationState) querySteps() []Step {
	if s.queries >= s.bounds.Queries {
		return nil
	}
	var steps []Step
	for to := range s.instances {
		if to < 2 {
			r := configResponse{to: to, from: -1, document: s.current(), sentAt: s.now(), confirmedAt: s.now(), isConfirmed: true}
			steps = append(steps, s.withQuery(r, fmt.Sprintf("i%d queries the store", to)))
		}
		for from := range 2 {
			if from == to {
				continue
			}
			localCopy := s.instances[from].localCopy
			r := configResponse{to: to, from: from, document: localCopy.Document(), sentAt: s.now(), attestations: localCopy.AttestationsAt(s.now())}
			r.confirmedAt, r.isConfirmed = localCopy.ConfirmedAt(s.now())
			steps = append(steps, s.withQuery(r, fmt.Sprintf("i%d queries relay i%d", to, from)))
		}
	}
	return steps
}

func (s configurationState) withQuery(r configResponse, event string) Step {
	n := s.clone()
	n.queries++
	n.responses = append(n.responses, r)
	return Step{event, n}
}

// responseSteps lets a response arrive. Responses may arrive in any order.
func (s configurationState) responseSteps() []Step {
	var steps []Step
	for i, r := range s.responses {
		n := s.clone()
		n.responses = slices.Delete(n.responses, i, i+1)
		n.applyResponse(r)
		event := fmt.Sprintf("i%d receives revision %d of %s from i%d", r.to, r.document.Revision, r.sentAt, r.from)
		if r.from < 0 {
			event = fmt.Sprintf("i%d receives revision %d of %s from the store", r.to, r.document.Revision, r.sentAt)
		}
		steps = append(steps, Step{event, n})
	}
	return steps
}

// applyResponse handles a response like entry.Follower.
func (s *configurationState) applyResponse(r configResponse) {
	localCopy := s.instances[r.to].localCopy
	if s.faults.InstallAny && r.document.Revision != localCopy.Revision() {
		localCopy = s.withInstanceList(document.NewLocalCopy(0), s.members[r.to])
	}
	localCopy = localCopy.WithDocument(r.document)
	if r.isConfirmed {
		localCopy = localCopy.WithConfirmation(r.document.Revision, r.confirmedAt)
	}
	for _, name := range s.list.DataCentres() {
		if at, ok := r.attestations[name]; ok {
			localCopy = localCopy.WithAttestation(name, r.document.Revision, at)
		}
	}
	s.install(r.to, localCopy)
}

// restartSteps lets a follower restart. It loses its state and the responses in flight to it.
func (s configurationState) restartSteps() []Step {
	if s.restarts >= s.bounds.Restarts {
		return nil
	}
	var steps []Step
	for i := 2; i < len(s.instances); i++ {
		n := s.clone()
		n.restarts++
		n.instances[i] = configInstance{localCopy: n.withInstanceList(document.NewLocalCopy(s.now()), s.members[i])}
		n.responses = slices.DeleteFunc(n.responses, func(r configResponse) bool { return r.to == i })
		steps = append(steps, Step{fmt.Sprintf("i%d restarts", i), n})
	}
	return steps
}
