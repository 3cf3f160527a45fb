package spec

import (
	"fmt"
	"slices"

	"github.com/rhubarbwick/rhubarbwick/document"
)

// questions lets a relay ask the store or the relay of the other data centre, and a follower ask a relay. The answer is
// the state at the question, and arrives at any later time or never.
func (s configurationState) questions() []Step {
	if s.asked >= s.bounds.Reports {
		return nil
	}
	var steps []Step
	for to := range s.instances {
		if to < 2 {
			r := configReport{to: to, from: -1, document: s.current(), at: s.now(), confirmed: s.now(), isConfirmed: true}
			steps = append(steps, s.question(r, fmt.Sprintf("i%d asks the store", to)))
		}
		for from := range 2 {
			if from == to {
				continue
			}
			k := s.instances[from].knowledge
			r := configReport{to: to, from: from, document: k.Document(), at: s.now(), vouches: k.AttestationsAt(s.now())}
			r.confirmed, r.isConfirmed = k.ConfirmedAt(s.now())
			steps = append(steps, s.question(r, fmt.Sprintf("i%d asks relay i%d", to, from)))
		}
	}
	return steps
}

func (s configurationState) question(r configReport, event string) Step {
	n := s.clone()
	n.asked++
	n.reports = append(n.reports, r)
	return Step{event, n}
}

// arrivals lets an answer arrive. Answers may be crossed.
func (s configurationState) arrivals() []Step {
	var steps []Step
	for i, r := range s.reports {
		n := s.clone()
		n.reports = slices.Delete(n.reports, i, i+1)
		n.apply(r)
		event := fmt.Sprintf("i%d hears revision %d of %s from i%d", r.to, r.document.Revision, r.at, r.from)
		if r.from < 0 {
			event = fmt.Sprintf("i%d hears revision %d of %s from the store", r.to, r.document.Revision, r.at)
		}
		steps = append(steps, Step{event, n})
	}
	return steps
}

// apply is what the product's follower does with an answer.
func (s *configurationState) apply(r configReport) {
	k := s.instances[r.to].knowledge
	if s.faults.TakeAny && r.document.Revision != k.Revision() {
		k = s.listed(document.NewLocalCopy(0), s.members[r.to])
	}
	k = k.WithDocument(r.document)
	if r.isConfirmed {
		k = k.WithConfirmation(r.document.Revision, r.confirmed)
	}
	for _, name := range s.list.DataCentres() {
		if at, ok := r.vouches[name]; ok {
			k = k.WithAttestation(name, r.document.Revision, at)
		}
	}
	s.take(r.to, k)
}

// restartSteps lets a follower restart. It keeps nothing, and its answers on the way are not heard.
func (s configurationState) restartSteps() []Step {
	if s.restarts >= s.bounds.Restarts {
		return nil
	}
	var steps []Step
	for i := 2; i < len(s.instances); i++ {
		n := s.clone()
		n.restarts++
		n.instances[i] = configInstance{knowledge: n.listed(document.NewLocalCopy(s.now()), s.members[i])}
		n.reports = slices.DeleteFunc(n.reports, func(r configReport) bool { return r.to == i })
		steps = append(steps, Step{fmt.Sprintf("i%d restarts", i), n})
	}
	return steps
}
