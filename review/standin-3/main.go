// Command review-3 runs the cases of the third review that are no days of the bench. It starts gateways as separate
// processes before its own stand-ins of the platform, the servers and the clients.
package main

import (
	"flag"
	"fmt"
	"os"
)

// cases maps the name of a case to its function, which returns the exit code.
var cases = map[string]func(rec *record, program string, trouble bool) (int, error){
	"config": configCase,
	"deep":   deepCase,
	"hup":    hupCase,
	"start":  startCase,
}

func main() {
	dir := flag.String("dir", ".", "the folder of record.txt")
	program := flag.String("program", "target/rhubarbwick", "the program under test")
	flag.Parse()
	run, found := cases[flag.Arg(0)]
	if !found {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(2)
	}
	rec, err := newRecord(*dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	code, err := run(rec, *program, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.say("the case could not run: %s", err)
	}
	rec.close()
	os.Exit(code)
}
