// Package spec is a small model of the core protocol. It explores every order of events at small bounds, and its
// steps call the decision functions of the product instead of repeating them.
package spec

import (
	"crypto/sha256"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"
)

// State is one state of a model. Its key tells equal states.
type State interface {
	// Key identifies the state.
	Key() string
	// Next returns the states that one event leads to.
	Next() []Step
	// Violation describes the invariant that the state breaks, and is empty when it breaks none.
	Violation() string
}

// Step is one event and the state after it.
type Step struct {
	Event string
	State State
}

// Result is what an exploration found.
type Result struct {
	// States is the number of different states.
	States int
	// Depth is the number of events on the longest shortest path.
	Depth int
	// Complete is false when the exploration stopped at its limit of states or at a violation.
	Complete bool
	// Violation is empty when every state keeps the invariants.
	Violation string
	// Trace is the shortest path to the violation.
	Trace []string
}

// String returns the result as text, with the trace one event a line.
func (r Result) String() string {
	summary := fmt.Sprintf("states=%d depth=%d complete=%t", r.States, r.Depth, r.Complete)
	if r.Violation == "" {
		return summary
	}
	return summary + "\nviolation: " + r.Violation + "\n  " + strings.Join(r.Trace, "\n  ")
}

// hash tells states apart. 128 bits make a collision among millions of states improbable.
type hash [16]byte

func hashOf(s State) hash {
	sum := sha256.Sum256([]byte(s.Key()))
	return hash(sum[:16])
}

type visit struct {
	parent hash
	event  string
}

// node is a state whose successors have not been computed.
type node struct {
	hash  hash
	state State
}

// expansion computes the successors of some nodes of a level.
type expansion struct {
	nodes      []node
	successors []successor
	violation  string
	violator   hash
}

type successor struct {
	parent hash
	event  string
	node   node
}

// run stops at the first node that breaks an invariant.
func (e *expansion) run() {
	for _, n := range e.nodes {
		if violation := n.state.Violation(); violation != "" {
			e.violation, e.violator = violation, n.hash
			return
		}
		for _, step := range n.state.Next() {
			e.successors = append(e.successors, successor{n.hash, step.Event, node{hashOf(step.State), step.State}})
		}
	}
}

// Explore visits the states that can be reached from initial, nearest first, until it has seen all of them, more
// than limit, or one that breaks an invariant. The result does not depend on the number of processors.
func Explore(initial State, limit int) Result {
	first := node{hashOf(initial), initial}
	visits := map[hash]visit{first.hash: {}}
	level := []node{first}
	var result Result
	for len(level) > 0 && len(visits) <= limit {
		var next []node
		for batch := range slices.Chunk(level, expansionSize*runtime.GOMAXPROCS(0)) {
			for _, e := range expand(batch) {
				if e.violation != "" {
					result.States = len(visits)
					result.Violation = e.violation
					result.Trace = trace(visits, e.violator)
					return result
				}
				next = appendNew(next, e.successors, visits)
			}
		}
		if len(next) > 0 {
			result.Depth++
		}
		level = next
	}
	result.States = len(visits)
	result.Complete = len(level) == 0
	return result
}

// expansionSize is the number of nodes of one expansion.
const expansionSize = 256

// expand computes the successors of the nodes in parallel and returns them in the order of the nodes.
func expand(nodes []node) []*expansion {
	var expansions []*expansion
	var running sync.WaitGroup
	for part := range slices.Chunk(nodes, expansionSize) {
		e := &expansion{nodes: part}
		expansions = append(expansions, e)
		running.Go(e.run)
	}
	running.Wait()
	return expansions
}

func appendNew(next []node, successors []successor, visits map[hash]visit) []node {
	for _, s := range successors {
		if _, seen := visits[s.node.hash]; seen {
			continue
		}
		visits[s.node.hash] = visit{parent: s.parent, event: s.event}
		next = append(next, s.node)
	}
	return next
}

func trace(visits map[hash]visit, h hash) []string {
	var events []string
	for visits[h].event != "" {
		events = append(events, visits[h].event)
		h = visits[h].parent
	}
	slices.Reverse(events)
	return events
}
