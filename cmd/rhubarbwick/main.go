// Command rhubarbwick is the database proxy and the operators' command line.
package main

import (
	"context"
	"os"

	"github.com/rhubarbwick/rhubarbwick/cmd/root"
	"github.com/rhubarbwick/rhubarbwick/cmd/streams"
)

func main() {
	os.Exit(root.Main(context.Background(), streams.System(), os.Args))
}
