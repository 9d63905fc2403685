// Command dykering-sim runs Balancer instances on the simulator's wire, from
// standard input to standard output.
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
