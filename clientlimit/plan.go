// Package clientlimit divides the places and the memory of a process among its clients. The decisions are functions of
// immutable values; Guard holds the state and is shared by all connections of the process. It handles crowds of clients
// that send or hold more than the process has: many large messages at once, much session state, and many sessions of one
// key or from one address.
package clientlimit

import "time"

const (
	// clientPart is the part of the machine's memory that clients may use. It equals the soft limit of the Go runtime; the
	// rest holds the program and memory that is not yet collected.
	clientPart = 0.6
	// maxPlacesPart is the part of the clients' memory that the places may use.
	maxPlacesPart = 3.0 / 8
	// statePart is the part for session state, and reservePart the part that only running work may use.
	statePart   = 1.0 / 8
	reservePart = 1.0 / 8
	// stateCopies and messageCopies are how often the bytes of state and of a message are held at the same time, including
	// copies that are not collected yet. A message is held by the reader, the request, the encoder and the server's socket.
	stateCopies   = 2
	messageCopies = 4
	// startingPart is the part of the places that is kept for clients that have not presented a key yet.
	startingPart     = 1.0 / 16
	minStartingCount = 8
)

// LinePlace and PostgresPlace are the memory in bytes of a client that sends nothing, with the messages and the state that
// are not counted. A client of the PostgreSQL protocol has three goroutines and four batches that are read ahead.
const (
	LinePlace     = 12 << 10
	PostgresPlace = 40 << 10
)

// UncountedState and UncountedMessage are the sizes in bytes up to which the state and the message of a client do not
// count, because its place includes them.
const (
	UncountedState   = 2 << 10
	UncountedMessage = 4 << 10
)

// Default limits. Their reasons are in docs/design/client-limits.md.
const (
	DefaultMessageTime = 10 * time.Second
	DefaultWriteTime   = 10 * time.Second
	DefaultHTTPClients = 64
)

// Plan is the division of a process's limits among its clients. It is immutable.
type Plan struct {
	// Places is the number of connections of clients. Starting of them are kept for clients without a key.
	Places, Starting int
	// State, Messages and Reserve are in bytes of session state and of messages. Reserve is the part of the messages that
	// only running work may use.
	State, Messages, Reserve int64
}

// HeapLimit returns the soft limit in bytes of the Go runtime on a machine with the given memory.
func HeapLimit(memoryMB int) int64 { return int64(clientPart * float64(memoryMB) * (1 << 20)) }

// NewPlan divides the memory of a machine. A place has placeBytes. The number of places is reduced if the memory is too
// small for them.
func NewPlan(memoryBytes int64, places, placeBytes int) Plan {
	memory := clientPart * float64(memoryBytes)
	places = max(min(places, int(maxPlacesPart*memory/float64(placeBytes))), 1)
	starting := min(max(int(startingPart*float64(places)), minStartingCount), (places+1)/2)
	messages := memory - float64(places)*float64(placeBytes) - (statePart+reservePart)*memory
	return Plan{
		Places: places, Starting: starting, State: int64(statePart * memory / stateCopies),
		Messages: int64(messages / messageCopies), Reserve: int64(reservePart * memory / messageCopies),
	}
}

// WithStarting returns the plan with another number of places that are kept for clients without a key.
func (p Plan) WithStarting(n int) Plan {
	p.Starting = min(n, (p.Places+1)/2)
	return p
}

// seats returns the number of places for clients that have presented a key.
func (p Plan) seats() int64 { return int64(p.Places - p.Starting) }
