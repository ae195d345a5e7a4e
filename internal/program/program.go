// Package program holds what the command lines of all programs share: signal
// handling, exit codes, common flags, and validation that reports all invalid
// settings in one error.
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
	// ExitOK means success.
	ExitOK = 0
	// ExitFailed means that the program failed, for example because an address is in
	// use.
	ExitFailed = 1
	// ExitUsage means that the command line or a setting is invalid; a restart with
	// the same settings can't help.
	ExitUsage = 2
)

// usageError is an error in the command line.
type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }
func (e *usageError) Unwrap() error { return e.err }

// Usagef returns an error with the exit code ExitUsage.
func Usagef(format string, args ...any) error { return &usageError{fmt.Errorf(format, args...)} }

// Run runs a command until it returns. SIGTERM and SIGINT cancel its context. Run
// writes the error, if any, to stderr and returns the exit code.
func Run(cmd *cli.Command, args []string, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	cmd.ErrWriter = stderr
	cmd.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	configureUsageErrors(cmd)
	err := cmd.Run(ctx, args)
	if err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", cmd.Name, err)
	}
	return exitCode(err)
}

// configureUsageErrors makes cmd and its subcommands return errors in the command
// line without printing the help, and reject arguments that they don't read.
func configureUsageErrors(cmd *cli.Command) {
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
		configureUsageErrors(sub)
	}
}

// exitCode returns the exit code for the error that a command returned.
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
