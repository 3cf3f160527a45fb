package proxy

// WarmUpChanged reports that a server is limited because it is cold or may be, or that it no longer is.
type WarmUpChanged struct {
	Server  string
	Limited bool
	// Listed is true if the list of servers says that the server is cold, and false if it may have been restarted.
	Listed bool
	// PerSecond is how many statements per second this instance may send to it.
	PerSecond float64
}

// WarmUpProgress reports how many statements were granted and refused at a limited server since the last such event.
type WarmUpProgress struct {
	Server  string
	Granted int
	Refused int
}

func (WarmUpChanged) event()  {}
func (WarmUpProgress) event() {}
