package proxy

import (
	"time"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// Event is a decision that touches a request or changes what the instance believes. It is one of RequestAnswered,
// PrimaryChanged, PromotionStep, SourceChanged, MemberSilent and OwnerPassedOver.
type Event interface{ event() }

// RequestAnswered says what a request came to.
type RequestAnswered struct {
	ID           string
	Organisation string
	Route        string
	Group        string
	Freshness    document.Freshness
	// Kind is empty for a success.
	Kind   port.Kind
	Reason string
	// Server ran the request last; it is empty when none did. Owner is the instance whose connection was borrowed for it; it is
	// empty when the connection was the own one.
	Server string
	Owner  string
	Tries  int
	Took   time.Duration
	// Revision is that of the document in force, and DocumentAge how long ago it was known to be the newest.
	Revision    uint64
	DocumentAge time.Duration
	// PrimaryAge is the age of the knowledge of the group's primary.
	PrimaryAge time.Duration
}

// PrimaryChanged says that the instance learnt of another primary, or that one is being replaced.
type PrimaryChanged struct {
	Group     string
	Primary   string
	Term      group.Term
	Replacing bool
	// Age is zero when another instance told of the record.
	Age time.Duration
}

// PromotionStep says what a promoter did.
type PromotionStep struct {
	Group  string
	Step   string
	Server string
	Epoch  uint64
	Reason string
}

// SourceChanged says from where the instance learns what it knows.
type SourceChanged struct {
	Source string
	Reason string
}

// MemberSilent says that another instance has been silent and that its record was marked or removed.
type MemberSilent struct {
	Name    string
	Removed bool
}

// OwnerPassedOver says that connections of an instance's pools are not borrowed for a while: to one server, or to all of
// them when Server is empty.
type OwnerPassedOver struct {
	Owner  string
	Server string
	Reason string
}

func (RequestAnswered) event() {}
func (OwnerPassedOver) event() {}
func (MemberSilent) event()    {}
func (PrimaryChanged) event()  {}
func (PromotionStep) event()   {}
func (SourceChanged) event()   {}

// Recorder takes events. Note must not block.
type Recorder interface{ Note(e Event) }

// nopRecorder drops events.
type nopRecorder struct{}

// Note drops the event.
func (nopRecorder) Note(Event) {}

// orNopRecorder returns the recorder, or one that drops events when there is none.
func orNopRecorder(r Recorder) Recorder {
	if r == nil {
		return nopRecorder{}
	}
	return r
}
