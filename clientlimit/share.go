package clientlimit

const (
	// keyFactor and addressFactor are how many times the free amount a key or an address may hold. The larger the factor,
	// the more one holder gets while it is alone: four and eight ninths. Many keys may share one address, such as that of a
	// load balancer, so that an address may hold more.
	keyFactor     = 4
	addressFactor = 8
)

// Share is an amount that holders divide, such as places or bytes. It is immutable.
type Share struct{ Total, Used int64 }

// Allows reports whether a holder that has held may take n more. It may have at most factor times what is free then.
// The last part is therefore left to those who hold the least, and a holder that comes later finds a place without
// anything being taken from another.
func (s Share) Allows(held, n, factor int64) bool {
	free := s.Total - s.Used - n
	return free >= 0 && held+n <= max(factor*free, 1)
}

// ledger records what holders have of a Share. It is not safe for concurrent use. Holders without anything are not
// recorded, so that the number of entries is at most that of the clients.
type ledger struct {
	share Share
	held  map[string]int64
}

func newLedger(total int64) ledger {
	return ledger{share: Share{Total: total}, held: make(map[string]int64)}
}

// add changes what a holder has by n, which may be negative.
func (l *ledger) add(holder string, n int64) {
	l.share.Used += n
	l.held[holder] += n
	if l.held[holder] == 0 {
		delete(l.held, holder)
	}
}

// allows reports whether the holder may take n more.
func (l *ledger) allows(holder string, n, factor int64) bool {
	return l.share.Allows(l.held[holder], n, factor)
}
