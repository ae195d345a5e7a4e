// Package program is what the command lines of our binaries share: signals,
// exit codes, and the check of settings with all faults told at once.
package program

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

// Exit codes.
const (
	// ExitOK: the program did what it was asked to.
	ExitOK = 0
	// ExitFailed: it could not, for example because an address is in use.
	ExitFailed = 1
	// ExitUsage: the command line or a setting is wrong; starting it again in
	// the same way can't help.
	ExitUsage = 2
)

// usageError is a fault of the command line.
type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }
func (e *usageError) Unwrap() error { return e.err }

// Usagef returns an error for which the exit code is ExitUsage.
func Usagef(format string, args ...any) error { return &usageError{fmt.Errorf(format, args...)} }

// Run executes a command line until it ends; SIGTERM and SIGINT end its
// context. It writes an error to stderr and returns the exit code.
func Run(cmd *cli.Command, args []string, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	cmd.ErrWriter = stderr
	cmd.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	prepare(cmd)
	err := cmd.Run(ctx, args)
	if err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", cmd.Name, err)
	}
	return exitCode(err)
}

// prepare makes the faults of a command line errors without a page of help, and
// refuses arguments that nothing reads.
func prepare(cmd *cli.Command) {
	cmd.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error { return &usageError{err} }
	if action := cmd.Action; action != nil && cmd.ArgsUsage == "" {
		cmd.Action = func(ctx context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return Usagef("unexpected argument %q", c.Args().First())
			}
			return action(ctx, c)
		}
	}
	for _, sub := range cmd.Commands {
		prepare(sub)
	}
}

func exitCode(err error) int {
	var usage *usageError
	var settings *SettingsError
	var coder cli.ExitCoder
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage), errors.As(err, &settings):
		return ExitUsage
	case errors.As(err, &coder):
		return coder.ExitCode()
	}
	return ExitFailed
}
