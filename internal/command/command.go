// Package command implements kqctl, the command line for workspaces and operators.
package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"kumquatwing/internal/api"
	"kumquatwing/internal/verdict"
	"kumquatwing/internal/version"
)

// Exit codes.
const (
	// ExitOK: the command succeeded.
	ExitOK = 0
	// ExitRefused: the call was refused and had no effect.
	ExitRefused = 1
	// ExitUsage: the command line or a file is invalid; nothing was sent.
	ExitUsage = 2
	// ExitMayHaveRun: no response; the call may have run. It can be repeated with the
	// same --op-id or --id.
	ExitMayHaveRun = 3
	// ExitPending: the call was accepted, but the change was not in force, or the job
	// had not ended, before --wait-timeout.
	ExitPending = 4
)

const exitCodes = `Exit codes: 0 success; 1 refused, no effect; 2 invalid command line or file,
nothing was sent; 3 no response, the call may have run: repeat it with the same
--op-id or --id; 4 accepted, but not in force or not ended before --wait-timeout.`

// defaultTimeout is the default of --timeout, which limits a call including its
// retries at all servers.
const defaultTimeout = 10 * time.Second

// usageError is an error in the command line or in a file that it names.
type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }
func (e *usageError) Unwrap() error { return e.err }

func usagef(format string, args ...any) error { return &usageError{fmt.Errorf(format, args...)} }

// pendingError reports that a wait timed out. The message states what has not
// happened yet.
type pendingError struct{ message string }

func (e *pendingError) Error() string { return e.message }

// Run executes the command line args and returns the exit code. SIGINT and SIGTERM
// cancel it.
func Run(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	a := &app{stdout: stdout, stderr: stderr}
	err := a.rootCommand().Run(ctx, args)
	if err != nil {
		a.printError(err)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var pending *pendingError
	var refusal *verdict.Refusal
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &pending):
		return ExitPending
	case errors.As(err, &refusal):
		if refusal.Verdict == verdict.MayHaveRun {
			return ExitMayHaveRun
		}
		return ExitRefused
	}
	return ExitUsage
}

// app holds the state that the commands share.
type app struct {
	stdout, stderr io.Writer
	client         *client
	jsonOutput     bool
	actor          string
}

// printError writes err to stderr: as JSON if --output is json and err is a
// refusal, otherwise as text.
func (a *app) printError(err error) {
	var refusal *verdict.Refusal
	if a.jsonOutput && errors.As(err, &refusal) {
		json.NewEncoder(a.stderr).Encode(refusal)
		return
	}
	fmt.Fprintf(a.stderr, "kqctl: %v\n", err)
	if refusal != nil && refusal.DecidedBy != "" {
		fmt.Fprintf(a.stderr, "kqctl: decided by %s\n", refusal.DecidedBy)
	}
}

// rootCommand returns the kqctl command with its subcommands.
func (a *app) rootCommand() *cli.Command {
	root := &cli.Command{
		Name:                  "kqctl",
		Usage:                 "submit jobs to the cluster scheduler, operate and inspect it",
		Description:           exitCodes,
		Version:               version.Version,
		Writer:                a.stdout,
		ErrWriter:             a.stderr,
		EnableShellCompletion: true,
		Flags:                 globalFlags(),
		Before:                a.readGlobalFlags,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			a.checkCommand(), a.diffCommand(), a.applyCommand(), a.getCommand(),
			a.historyCommand(), a.settingsCommand(), a.keyCommand(), a.dcCommand(),
			a.jobCommand(), a.explainCommand(), a.whyCommand(), a.statusCommand(), a.initCommand(), a.versionCommand(),
		},
	}
	// Without OnUsageError, cli prints the help to stdout, where it would mix with
	// output that is piped to another program.
	root.OnUsageError = onUsageError
	setOnUsageError(root.Commands)
	return root
}

func onUsageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return &usageError{err}
}

func setOnUsageError(commands []*cli.Command) {
	for _, c := range commands {
		c.OnUsageError = onUsageError
		setOnUsageError(c.Commands)
	}
}

func globalFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{
			Name: "server", Usage: "`ADDRESS` of an entry VM; may be repeated, the next one is used if one does not respond",
			Sources: cli.EnvVars("KQ_SERVER"),
		},
		&cli.StringFlag{Name: "key", Usage: "`KEY` of a workspace", Sources: cli.EnvVars("KQ_KEY")},
		&cli.StringFlag{Name: "operator-token", Usage: "`TOKEN` of the operators", Sources: cli.EnvVars("KQ_OPERATOR_TOKEN")},
		&cli.StringFlag{Name: "actor", Usage: "your `NAME`, recorded in the history", Sources: cli.EnvVars("KQ_ACTOR", "USER"), Value: "operator"},
		&cli.StringFlag{Name: "output", Usage: "output `FORMAT`: text or json", Value: "text", Sources: cli.EnvVars("KQ_OUTPUT")},
		&cli.DurationFlag{Name: "timeout", Usage: "time limit of a call, including retries", Value: defaultTimeout, Sources: cli.EnvVars("KQ_TIMEOUT")},
	}
}

// readGlobalFlags sets a's fields from the global flags.
func (a *app) readGlobalFlags(ctx context.Context, cmd *cli.Command) (context.Context, error) {
	switch format := cmd.String("output"); format {
	case "text":
	case "json":
		a.jsonOutput = true
	default:
		return ctx, usagef("--output: %q is neither text nor json", format)
	}
	if cmd.Duration("timeout") <= 0 {
		return ctx, usagef("--timeout: must be more than 0")
	}
	a.actor = cmd.String("actor")
	a.client = &client{
		servers:       cmd.StringSlice("server"),
		key:           cmd.String("key"),
		operatorToken: cmd.String("operator-token"),
		timeout:       cmd.Duration("timeout"),
		http:          &http.Client{},
	}
	return ctx, nil
}

// send sends call and returns the response body. It also decodes the body into
// out, unless out is nil.
func (a *app) send(ctx context.Context, call apiCall, out any) ([]byte, error) {
	if len(a.client.servers) == 0 {
		return nil, usagef("no server: give --server or set KQ_SERVER")
	}
	body, err := a.client.do(ctx, call)
	if err != nil || out == nil {
		return body, err
	}
	if err := json.Unmarshal(body, out); err != nil {
		return nil, verdict.New(verdict.Done, verdict.ReasonInternal, "decoding the response: %v", err)
	}
	return body, nil
}

// print writes a result to stdout: raw if --output is json, otherwise lines.
func (a *app) print(raw []byte, lines ...string) {
	if a.jsonOutput {
		a.stdout.Write(raw)
		return
	}
	for _, l := range lines {
		fmt.Fprintln(a.stdout, l)
	}
}

// exactArgs returns the arguments of cmd, or an error unless there is one for each
// of names.
func exactArgs(cmd *cli.Command, names ...string) ([]string, error) {
	args := cmd.Args().Slice()
	if len(args) != len(names) {
		return nil, usagef("%s needs %d arguments %v, got %d", cmd.FullName(), len(names), names, len(args))
	}
	return args, nil
}

// operationFlags returns the flags that all commands that change the configuration
// have.
func operationFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "op-id", Usage: "`ID` of the operation; to repeat a call that got no response, give its id"},
		&cli.Uint64Flag{Name: "expect-revision", Usage: "refuse the change unless the current revision is `REVISION`"},
		&cli.BoolFlag{Name: "wait", Usage: "wait until the change is in force everywhere"},
		&cli.DurationFlag{Name: "wait-timeout", Usage: "time limit of --wait", Value: defaultWait},
	}
}

// newOperation creates an operation from the operation flags. It generates the id
// if --op-id is not given; retries of the call use the same id.
func (a *app) newOperation(cmd *cli.Command) api.Operation {
	op := api.Operation{OpID: cmd.String("op-id"), Actor: a.actor}
	if op.OpID == "" {
		op.OpID = uuid.NewString()
	}
	if cmd.IsSet("expect-revision") {
		expect := cmd.Uint64("expect-revision")
		op.ExpectRevision = &expect
	}
	return op
}
