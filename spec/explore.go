// Package spec is a model checker with models of the core protocols. It explores every interleaving of events within
// small bounds. The models call the decision functions of the product instead of reimplementing them.
package spec

import (
	"crypto/sha256"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"
)

// State is one state of a model. Two states with the same key are equal.
type State interface {
	Key() string
	// Next returns the successors of the state, one for each event that is possible in it.
	Next() []Step
	// Violation describes the invariant that the state violates; it is empty when all invariants hold.
	Violation() string
}

// Step is one event and the state after it.
type Step struct {
	Event string
	State State
}

// Result is the outcome of an exploration.
type Result struct {
	// States is the number of distinct states.
	States int
	// Depth is the greatest distance of a state from the initial one, in events.
	Depth int
	// Complete is false when the exploration stopped at its limit of states or at a violation.
	Complete bool
	// Violation is empty when the invariants hold in every state.
	Violation string
	// Trace is the shortest path to the violation.
	Trace []string
}

// String formats the result, with one line for each event of the trace.
func (r Result) String() string {
	summary := fmt.Sprintf("states=%d depth=%d complete=%t", r.States, r.Depth, r.Complete)
	if r.Violation == "" {
		return summary
	}
	return summary + "\nviolation: " + r.Violation + "\n  " + strings.Join(r.Trace, "\n  ")
}

// hash identifies a state. With 128 bits a collision among millions of states is improbable.
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

// expansion computes the successors of a chunk of nodes of the same depth.
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

// run stops at the first node that violates an invariant.
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

// Explore searches the states reachable from initial breadth-first, until it has visited all of them or more than
// limit, or finds one that violates an invariant. The result does not depend on the number of processors.
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

// expansionSize is the number of nodes in one expansion.
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
