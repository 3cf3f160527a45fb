// Command rhubarbwick runs the database proxy and is the command line for its operators.
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
