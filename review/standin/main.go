// Command standin runs the cases of the review: it starts gateways as separate processes, with small stand-ins for the
// platform's store, the database servers and the clients, and checks one rule. It exits with 1 if the rule was broken, 0
// if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// runLimit ends a case that takes too long.
const runLimit = 110 * time.Second

// cases holds the cases by name; their files add them. Each returns what broke the rule; an empty text means that the rule
// held.
var cases = make(map[string]func(rec *recorder, root string, trouble bool) (string, error))

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	root, err := filepath.Abs(filepath.Join(folder, "..", ".."))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	rec, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	type outcome struct {
		broken string
		err    error
	}
	ended := make(chan outcome, 1)
	go func() {
		broken, err := cases[name](rec, root, os.Getenv("TROUBLE") != "0")
		ended <- outcome{broken, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	var o outcome
	select {
	case o = <-ended:
	case <-time.After(runLimit):
		o.err = fmt.Errorf("the case did not end within %s", runLimit)
	case s := <-stop:
		o.err = fmt.Errorf("stopped by %s", s)
	}
	switch {
	case o.err != nil:
		rec.add("could not run: %v", o.err)
		fmt.Println("could not run:", o.err)
		return 2
	case o.broken != "":
		rec.add("BROKEN: %s", o.broken)
		fmt.Println("broken:", o.broken)
		return 1
	default:
		rec.add("held")
		fmt.Println("held")
		return 0
	}
}
