// Command dykering-sim runs balancer instances in a simulator. It reads the simulator's messages from standard input and
// writes its own to standard output; see package wire for the protocol.
package main

import (
	"fmt"
	"os"

	"dykering/internal/wire"
)

func main() {
	if err := wire.Run(os.Stdin, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "dykering-sim: "+err.Error())
		os.Exit(1)
	}
}
