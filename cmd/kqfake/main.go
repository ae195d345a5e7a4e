// Command kqfake runs fakes of the machines around the system, for demos and
// tests.
package main

import (
	"os"

	"github.com/urfave/cli/v3"

	"kumquatwing/internal/program"
	"kumquatwing/internal/version"
)

func main() {
	root := &cli.Command{
		Name:     "kqfake",
		Usage:    "run fake machines for demos and tests",
		Version:  version.Version,
		Commands: []*cli.Command{backendCommand(), callerCommand(), workerCommand()},
	}
	os.Exit(program.Run(root, os.Args, os.Stderr))
}
