package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["linefeed"] = runLinefeed }

// runLinefeed sends a write whose data contain a line feed without a carriage return, and after it the text of another
// query. Rule UNASKED: no server runs a request that was smuggled inside another one, or with a changed text.
func runLinefeed(rec *recorder, root string, trouble bool) (string, error) {
	w, err := newWorld(rec, root, 0)
	if err != nil {
		return "", err
	}
	defer w.close()
	if _, err := w.addGateway("kig-a"); err != nil {
		return "", err
	}
	var mu sync.Mutex
	ran := make(map[string]string)
	w.group.onRun = func(_ *server, _, id, text string) {
		mu.Lock()
		defer mu.Unlock()
		ran[id] = text
		rec.add("server: runs %q, text %q", id, text)
	}
	if err := w.awaitReady(); err != nil {
		return "", err
	}
	time.Sleep(time.Second)
	c, code, err := dial(w.gateways[0].ip+":8465", "renewal", w.keys["clinic"][0])
	if err != nil || c == nil {
		return "", fmt.Errorf("the client could not start: %s %v", code, err)
	}
	defer c.close()
	id, hidden := newID(), newID()
	text := "WRITE 1a4 two lines QUERY " + hidden + " WRITE 2b5 hidden"
	if trouble {
		text = "WRITE 1a4 two lines\nQUERY " + hidden + " WRITE 2b5 hidden"
	}
	rec.add("client: sends one message, %q", "QUERY "+id+" "+text+"\r\n")
	res, err := c.query(id, text, 2*time.Second)
	rec.add("client: answer: code %q, proof %q, %v", res.code, res.proof, err)
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	broken := ""
	if _, found := ran[hidden]; found {
		broken = "a server ran a request that was smuggled inside another one"
	}
	if got, found := ran[id]; found && got != text {
		if broken != "" {
			broken += ", and "
		}
		broken += fmt.Sprintf("the outer request ran with the text %q", got)
	}
	if broken != "" {
		return "UNASKED: " + broken, nil
	}
	return "", nil
}
