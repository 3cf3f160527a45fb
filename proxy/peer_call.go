package proxy

import (
	"context"
	"sync"
)

// peerCall is a call to one instance.
type peerCall[T any] struct {
	peer     Member
	call     func(ctx context.Context, m Member) (T, error)
	response T
	err      error
}

func (c *peerCall[T]) run(ctx context.Context) { c.response, c.err = c.call(ctx, c.peer) }

// callMembers calls the members concurrently and returns the responses of those that succeeded, by incarnation.
func callMembers[T any](
	ctx context.Context, members []Member, call func(ctx context.Context, m Member) (T, error),
) map[string]T {
	calls := make([]*peerCall[T], len(members))
	var running sync.WaitGroup
	for i, m := range members {
		calls[i] = &peerCall[T]{peer: m, call: call}
		running.Go(func() { calls[i].run(ctx) })
	}
	running.Wait()
	responses := make(map[string]T, len(members))
	for _, c := range calls {
		if c.err == nil {
			responses[c.peer.Incarnation] = c.response
		}
	}
	return responses
}

// withoutIncarnation returns the members without the one that has the incarnation.
func withoutIncarnation(members []Member, incarnation string) []Member {
	var others []Member
	for _, m := range members {
		if m.Incarnation != incarnation {
			others = append(others, m)
		}
	}
	return others
}
