// Command kqfake runs fake backend servers, callers and workers for demos and
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
		Usage:    "run fake backend servers, callers and workers for demos and tests",
		Version:  version.Version,
		Commands: []*cli.Command{backendCommand(), callerCommand(), workerCommand()},
	}
	os.Exit(program.Run(root, os.Args, os.Stderr))
}
