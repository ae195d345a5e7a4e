// Command kqctl is the command-line client for callers and operators.
package main

import (
	"os"

	"kumquatwing/internal/command"
)

func main() {
	os.Exit(command.Run(os.Args, os.Stdout, os.Stderr))
}
