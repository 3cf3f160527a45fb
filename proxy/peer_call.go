package proxy

import (
	"context"
	"sync"
)

// peerCall is a call to one instance.
type peerCall[T any] struct {
	member   Member
	call     func(ctx context.Context, m Member) (T, error)
	response T
	err      error
}

func (q *peerCall[T]) run(ctx context.Context) { q.response, q.err = q.call(ctx, q.member) }

// callMembers calls the members concurrently and returns the responses of those that succeeded, by incarnation.
func callMembers[T any](
	ctx context.Context, members []Member, ask func(ctx context.Context, m Member) (T, error),
) map[string]T {
	inquiries := make([]*peerCall[T], len(members))
	var running sync.WaitGroup
	for i, m := range members {
		inquiries[i] = &peerCall[T]{member: m, call: ask}
		running.Go(func() { inquiries[i].run(ctx) })
	}
	running.Wait()
	answers := make(map[string]T, len(members))
	for _, q := range inquiries {
		if q.err == nil {
			answers[q.member.Incarnation] = q.response
		}
	}
	return answers
}

// withoutIncarnation returns the members without the one that has the incarnation.
func withoutIncarnation(members []Member, incarnation string) []Member {
	var rest []Member
	for _, m := range members {
		if m.Incarnation != incarnation {
			rest = append(rest, m)
		}
	}
	return rest
}
