package primacy

import "github.com/rhubarbwick/rhubarbwick/group"

// This file decides when a server may be promoted while other servers of its group may not become primary, because their
// data centre is in maintenance. Such a server may hold confirmed writes that no server outside has received yet. It is
// never promoted; a successor outside has to receive them first.

// PromotionDecision is the result of Decide. It is one of Promote, AwaitSuccessor, KeepPrimary and NoSuccessor.
type PromotionDecision interface{ promotionDecision() }

// Promote allows the promotion of the first of the servers that can be promoted.
type Promote struct{ Order []Status }

// AwaitSuccessor means that no server may be promoted yet.
type AwaitSuccessor struct{}

// KeepPrimary means that the old primary leads the group again.
type KeepPrimary struct{ Primary Status }

func (Promote) promotionDecision()        {}
func (AwaitSuccessor) promotionDecision() {}
func (KeepPrimary) promotionDecision()    {}

// Attempt is the state of a promoter that looks for a successor.
type Attempt struct {
	// IsPlanned is true if the old primary must be replaced although it is healthy.
	IsPlanned bool
	// IsSwitchover is true if the replacement was announced because of a maintenance, also if that has ended since.
	IsSwitchover bool
	// IsOldPrimaryLost is true if no instance reaches the old primary. It is determined only for switchovers and while a
	// server of the group may not become primary.
	IsOldPrimaryLost bool
	// Pending is a server whose promotion an earlier attempt may have requested and which may still take effect; empty if
	// there is none. If another server were promoted meanwhile, it could confirm writes and be replaced by this one.
	Pending string
	// IsLast is true if the time for finding a successor is over.
	IsLast bool
}

// Decide decides what a promoter does next.
func (s Succession) Decide(a Attempt) PromotionDecision {
	switch d := s.decide(a).(type) {
	case Promote:
		if a.Pending == "" {
			return d
		}
		if d.Order[0].Server == a.Pending {
			return Promote{Order: d.Order[:1]}
		}
		return AwaitSuccessor{}
	case KeepPrimary:
		if a.Pending != "" && d.Primary.Server != a.Pending {
			return AwaitSuccessor{}
		}
		return d
	default:
		return d
	}
}

func (s Succession) decide(a Attempt) PromotionDecision {
	order, isComplete := s.Order()
	oldPrimary, isIntact := s.IntactPrimary()
	mayKeep := isIntact && !oldPrimary.Ineligible
	if a.IsSwitchover && isIntact && len(order) > 0 {
		// The old primary holds every confirmed write, so that no other server's answer is needed.
		isComplete = true
	}
	switch {
	case a.IsSwitchover && !a.IsPlanned && mayKeep:
		// The maintenance has ended.
		return KeepPrimary{Primary: oldPrimary}
	case isComplete && s.holdsConfirmedWrites(order[0], a):
		return Promote{Order: order}
	case mayKeep && (!a.IsPlanned || a.IsLast):
		return KeepPrimary{Primary: oldPrimary}
	default:
		return AwaitSuccessor{}
	}
}

// isGuarded reports whether a candidate must hold what servers hold that may not be promoted themselves.
func (s Succession) isGuarded(a Attempt) bool { return s.Restricted || a.IsSwitchover }

// holdsConfirmedWrites reports whether the candidate can be promoted without losing a confirmed write that a server in
// maintenance holds. Without such servers, Order has decided that. The loss of the old primary leaves a group without
// synchronous replicas no more than what its other servers have received in time.
func (s Succession) holdsConfirmedWrites(candidate Status, a Attempt) bool {
	switch {
	case !s.isGuarded(a):
		return true
	case s.OldPrimary.HasAnswered:
		return !s.IsBehind(candidate)
	case !a.IsOldPrimaryLost:
		return false
	default:
		isBehind := s.newestIneligible().Compare(candidate.Received) > 0
		return !isBehind || s.Synchronous == 0 && a.IsLast
	}
}

// newestIneligible returns the last position in the logs of the replicas that answered but may not become primary.
func (s Succession) newestIneligible() group.Position {
	var newest group.Position
	for _, status := range s.Ineligible {
		if status.Received.Compare(newest) > 0 {
			newest = status.Received
		}
	}
	return newest
}
