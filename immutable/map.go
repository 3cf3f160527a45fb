// Package immutable provides a map whose versions share their entries.
package immutable

import (
	"hash/maphash"
	"iter"
)

// Map is an immutable map from texts to values. With and Without copy only the path to the entry, so that a map of n
// entries is built in n log n steps. The zero value is empty.
type Map[V any] struct {
	root *node[V]
	size int
}

// seed makes priorities unpredictable. Clients choose the keys, and could otherwise choose some whose priorities make the
// tree a list.
var seed = maphash.MakeSeed()

// node is a node of a treap: a search tree by key and a heap by priority, which is a hash of the key. Its shape depends
// only on the set of keys.
type node[V any] struct {
	key         string
	value       V
	priority    uint64
	left, right *node[V]
}

// Len returns the number of entries.
func (m Map[V]) Len() int { return m.size }

// Get returns the value of the key.
func (m Map[V]) Get(key string) (V, bool) {
	for n := m.root; n != nil; {
		switch {
		case key < n.key:
			n = n.left
		case key > n.key:
			n = n.right
		default:
			return n.value, true
		}
	}
	var none V
	return none, false
}

// All returns the entries in the order of their keys.
func (m Map[V]) All() iter.Seq2[string, V] {
	return func(yield func(string, V) bool) { m.root.visit(yield) }
}

func (n *node[V]) visit(yield func(string, V) bool) bool {
	return n == nil || n.left.visit(yield) && yield(n.key, n.value) && n.right.visit(yield)
}

// With returns the map with the entry added or replaced.
func (m Map[V]) With(key string, value V) Map[V] {
	if _, found := m.Get(key); !found {
		m.size++
	}
	m.root = m.root.with(&node[V]{key: key, value: value, priority: maphash.String(seed, key)})
	return m
}

func (n *node[V]) with(added *node[V]) *node[V] {
	if n == nil {
		return added
	}
	if n.key == added.key {
		added.left, added.right = n.left, n.right
		return added
	}
	changed := *n
	if added.key < n.key {
		changed.left = n.left.with(added)
		if changed.left.priority > changed.priority {
			// with has created the left child, so that it may be changed.
			top := changed.left
			changed.left, top.right = top.right, &changed
			return top
		}
		return &changed
	}
	changed.right = n.right.with(added)
	if changed.right.priority > changed.priority {
		top := changed.right
		changed.right, top.left = top.left, &changed
		return top
	}
	return &changed
}

// Without returns the map without the key.
func (m Map[V]) Without(key string) Map[V] {
	if _, found := m.Get(key); !found {
		return m
	}
	m.root, m.size = m.root.without(key), m.size-1
	return m
}

func (n *node[V]) without(key string) *node[V] {
	if key == n.key {
		return merge(n.left, n.right)
	}
	changed := *n
	if key < n.key {
		changed.left = n.left.without(key)
	} else {
		changed.right = n.right.without(key)
	}
	return &changed
}

// merge joins two trees. All keys of a are less than those of b.
func merge[V any](a, b *node[V]) *node[V] {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case a.priority > b.priority:
		changed := *a
		changed.right = merge(a.right, b)
		return &changed
	default:
		changed := *b
		changed.left = merge(a, b.left)
		return &changed
	}
}
