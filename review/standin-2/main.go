// Command review2 holds the stand-ins of the second review and plays its cases against the project's own processes.
package main

import (
	"fmt"
	"os"
)

func main() {
	cases := map[string]func(folder string){
		"large-result":    largeResult,
		"private-route":   privateRoute,
		"quota":           quota,
		"second-failover": secondFailover,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE FOLDER, in the repository")
		os.Exit(2)
	}
	cases[os.Args[1]](os.Args[2])
}
