package proxy

import (
	"context"
	"sync"
)

// inquiry is the duty that asks one instance something.
type inquiry[T any] struct {
	member Member
	ask    func(ctx context.Context, m Member) (T, error)
	answer T
	err    error
}

func (q *inquiry[T]) run(ctx context.Context) { q.answer, q.err = q.ask(ctx, q.member) }

// askMembers asks the members at the same time and returns the answers of those that gave one.
func askMembers[T any](
	ctx context.Context, members []Member, ask func(ctx context.Context, m Member) (T, error),
) map[string]T {
	inquiries := make([]*inquiry[T], len(members))
	var running sync.WaitGroup
	for i, m := range members {
		inquiries[i] = &inquiry[T]{member: m, ask: ask}
		running.Go(func() { inquiries[i].run(ctx) })
	}
	running.Wait()
	answers := make(map[string]T, len(members))
	for _, q := range inquiries {
		if q.err == nil {
			answers[q.member.Incarnation] = q.answer
		}
	}
	return answers
}

// others returns the members without the one of the incarnation.
func others(members []Member, incarnation string) []Member {
	var rest []Member
	for _, m := range members {
		if m.Incarnation != incarnation {
			rest = append(rest, m)
		}
	}
	return rest
}
