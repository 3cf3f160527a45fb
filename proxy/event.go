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

// RequestCompleted says what a request came to.
type RequestCompleted struct {
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
	Server    string
	PoolOwner string
	Attempts  int
	Duration  time.Duration
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

// MemberUnresponsive says that another instance has been silent and that its record was marked or removed.
type MemberUnresponsive struct {
	Name    string
	Removed bool
}

// PoolOwnerExcluded says that connections of an instance's pools are not borrowed for a while: to one server, or to all of
// them when Server is empty.
type PoolOwnerExcluded struct {
	Owner  string
	Server string
	Reason string
}

func (RequestCompleted) event()   {}
func (PoolOwnerExcluded) event()  {}
func (MemberUnresponsive) event() {}
func (PrimaryChanged) event()     {}
func (PromotionStep) event()      {}
func (SourceChanged) event()      {}

// Recorder takes events. Note must not block.
type Recorder interface{ Record(e Event) }

// discard drops events.
type discard struct{}

// Record drops the event.
func (discard) Record(Event) {}

// orDiscard returns the recorder, or one that drops events when there is none.
func orDiscard(r Recorder) Recorder {
	if r == nil {
		return discard{}
	}
	return r
}
