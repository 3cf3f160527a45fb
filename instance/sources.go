package instance

import (
	"cmp"
	"slices"
	"time"
)

const (
	// RelayRetry is how long a relay is skipped after it did not answer.
	RelayRetry = 10 * time.Second
	// StoreRetry is how long the store is skipped after it did not answer.
	StoreRetry = time.Second
)

// Source is where an instance gets the document from. It is one of FromRelay and FromStore.
type Source interface{ source() }

// FromRelay gets the document from the relay at the address.
type FromRelay struct{ Address string }

// FromStore gets the document from the platform's store.
type FromStore struct{}

func (FromRelay) source() {}
func (FromStore) source() {}

// Sources selects the source from which an instance gets the document. A Sources is immutable.
type Sources struct {
	self  Instance
	list  List
	seeds []string
	// failed is keyed by address; the store's address is empty.
	failed failures
}

// NewSources returns the sources of an instance that has no list yet. Seeds are addresses of instances to ask when no
// listed relay answers.
func NewSources(self Instance, seeds ...string) Sources {
	return Sources{self: self, seeds: slices.Clone(seeds)}
}

// WithList returns the sources with the platform's list.
func (s Sources) WithList(l List) Sources {
	s.list = l
	return s
}

// WithFailure returns the sources after the source did not answer.
func (s Sources) WithFailure(source Source, now time.Duration) Sources {
	s.failed = s.failed.with(addressOf(source), now, RelayRetry)
	return s
}

// WithSuccess returns the sources after the source answered.
func (s Sources) WithSuccess(source Source) Sources {
	s.failed = s.failed.without(addressOf(source))
	return s
}

// Next returns the source to ask next. A relay asks the store. Other instances ask the first that has not failed
// recently of the relays in their data centre, the seeds and the store; when all have failed, the one whose failure is
// oldest.
func (s Sources) Next(now time.Duration) Source {
	if s.list.IsRelay(s.self) {
		return FromStore{}
	}
	candidates := s.relays()
	for _, seed := range s.seeds {
		candidates = append(candidates, FromRelay{Address: seed})
	}
	candidates = append(candidates, FromStore{})
	for _, c := range candidates {
		if !s.hasFailed(c, now) {
			return c
		}
	}
	return slices.MinFunc(candidates, func(a, b Source) int {
		return cmp.Compare(s.failed.at[addressOf(a)], s.failed.at[addressOf(b)])
	})
}

// Peers returns the addresses that a relay asks while the store does not answer: the other relays of its data centre,
// and one relay of each other data centre.
func (s Sources) Peers(now time.Duration) []string {
	if !s.list.IsRelay(s.self) {
		return nil
	}
	var peers []string
	for _, r := range s.list.Relays(s.self.DataCentre) {
		if r.Incarnation != s.self.Incarnation {
			peers = append(peers, r.Address)
		}
	}
	for _, dc := range s.list.DataCentres() {
		relays := s.list.Relays(dc)
		if dc == s.self.DataCentre || len(relays) == 0 {
			continue
		}
		chosen := slices.IndexFunc(relays, func(r Instance) bool { return !s.hasFailed(FromRelay{r.Address}, now) })
		if chosen < 0 {
			chosen = s.leastRecentlyFailed(relays)
		}
		peers = append(peers, relays[chosen].Address)
	}
	return peers
}

// relays returns the relays of this data centre in an order that depends on the instance, so that the load is spread
// over them.
func (s Sources) relays() []Source {
	relays := s.list.Relays(s.self.DataCentre)
	slices.SortFunc(relays, func(a, b Instance) int {
		return cmp.Compare(RankOf(s.self.Incarnation, a.Incarnation), RankOf(s.self.Incarnation, b.Incarnation))
	})
	sources := make([]Source, 0, len(relays))
	for _, r := range relays {
		sources = append(sources, FromRelay{Address: r.Address})
	}
	return sources
}

func (s Sources) leastRecentlyFailed(relays []Instance) int {
	oldest := 0
	for i, r := range relays {
		if s.failed.at[r.Address] < s.failed.at[relays[oldest].Address] {
			oldest = i
		}
	}
	return oldest
}

func (s Sources) hasFailed(source Source, now time.Duration) bool {
	switch source.(type) {
	case FromStore:
		return s.failed.isRecent(addressOf(source), now, StoreRetry)
	default:
		return s.failed.isRecent(addressOf(source), now, RelayRetry)
	}
}

func addressOf(source Source) string {
	switch source := source.(type) {
	case FromRelay:
		return source.Address
	default:
		return ""
	}
}
