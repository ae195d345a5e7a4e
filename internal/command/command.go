// Package command is the command line of callers and operators.
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
	// ExitOK: done.
	ExitOK = 0
	// ExitRefused: refused, and nothing has run or will.
	ExitRefused = 1
	// ExitUsage: the command line or the files are wrong; nothing was sent.
	ExitUsage = 2
	// ExitMayHaveRun: no answer; the call may have run. Send it again with the
	// same --op-id or --id.
	ExitMayHaveRun = 3
	// ExitPending: accepted, but not in force or not ended within the wait.
	ExitPending = 4
)

const exitCodes = `Exit codes: 0 done; 1 refused, nothing has run; 2 wrong command line or files,
nothing was sent; 3 no answer, the call may have run: send it again with the
same --op-id or --id; 4 accepted, but not in force or not ended in time.`

// defaultTimeout bounds a call over all servers.
const defaultTimeout = 10 * time.Second

// usageError is a fault of the command line or of files.
type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }
func (e *usageError) Unwrap() error { return e.err }

func usagef(format string, args ...any) error { return &usageError{fmt.Errorf(format, args...)} }

// pendingError says what an accepted call still waits for.
type pendingError struct{ what string }

func (e *pendingError) Error() string { return e.what }

// Run executes one command line and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	t := &tool{stdout: stdout, stderr: stderr}
	err := t.root().Run(ctx, args)
	if err != nil {
		t.report(err)
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

// tool holds what the commands share.
type tool struct {
	stdout, stderr io.Writer
	client         *client
	json           bool
	actor          string
}

// report writes an error, as JSON if that is wanted and it is a refusal.
func (t *tool) report(err error) {
	var refusal *verdict.Refusal
	if t.json && errors.As(err, &refusal) {
		json.NewEncoder(t.stderr).Encode(refusal)
		return
	}
	fmt.Fprintf(t.stderr, "kqctl: %v\n", err)
	if refusal != nil && refusal.DecidedBy != "" {
		fmt.Fprintf(t.stderr, "kqctl: decided by %s\n", refusal.DecidedBy)
	}
}

// root is the whole command line.
func (t *tool) root() *cli.Command {
	root := &cli.Command{
		Name:                  "kqctl",
		Usage:                 "submit jobs, operate and ask the cluster scheduler",
		Description:           exitCodes,
		Version:               version.Version,
		Writer:                t.stdout,
		ErrWriter:             t.stderr,
		EnableShellCompletion: true,
		Flags:                 globalFlags(),
		Before:                t.prepare,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			t.checkCommand(), t.diffCommand(), t.applyCommand(), t.getCommand(),
			t.historyCommand(), t.settingsCommand(), t.keyCommand(), t.dcCommand(),
			t.jobCommand(), t.whyCommand(), t.statusCommand(), t.initCommand(), t.versionCommand(),
		},
	}
	// The usage text goes to the error side, so that output can be piped.
	root.OnUsageError = usageFault
	setUsageFault(root.Commands)
	return root
}

func usageFault(_ context.Context, _ *cli.Command, err error, _ bool) error { return &usageError{err} }

func setUsageFault(commands []*cli.Command) {
	for _, c := range commands {
		c.OnUsageError = usageFault
		setUsageFault(c.Commands)
	}
}

func globalFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{
			Name: "server", Usage: "`ADDRESS` of an entry VM; may be given several times, the next is tried when one can't answer",
			Sources: cli.EnvVars("KQ_SERVER"),
		},
		&cli.StringFlag{Name: "key", Usage: "a workspace's `KEY`", Sources: cli.EnvVars("KQ_KEY")},
		&cli.StringFlag{Name: "operator-token", Usage: "the operators' `TOKEN`", Sources: cli.EnvVars("KQ_OPERATOR_TOKEN")},
		&cli.StringFlag{Name: "actor", Usage: "your `NAME` in the history", Sources: cli.EnvVars("KQ_ACTOR", "USER"), Value: "operator"},
		&cli.StringFlag{Name: "output", Usage: "`FORM` of the output: text or json", Value: "text", Sources: cli.EnvVars("KQ_OUTPUT")},
		&cli.DurationFlag{Name: "timeout", Usage: "how long to try", Value: defaultTimeout, Sources: cli.EnvVars("KQ_TIMEOUT")},
	}
}

// prepare reads the global flags.
func (t *tool) prepare(ctx context.Context, cmd *cli.Command) (context.Context, error) {
	switch form := cmd.String("output"); form {
	case "text":
	case "json":
		t.json = true
	default:
		return ctx, usagef("--output: %q is neither text nor json", form)
	}
	if cmd.Duration("timeout") <= 0 {
		return ctx, usagef("--timeout: must be more than 0")
	}
	t.actor = cmd.String("actor")
	t.client = &client{
		servers:  cmd.StringSlice("server"),
		key:      cmd.String("key"),
		operator: cmd.String("operator-token"),
		timeout:  cmd.Duration("timeout"),
		http:     &http.Client{},
	}
	return ctx, nil
}

// send does a call and decodes its answer into out, unless out is nil.
func (t *tool) send(ctx context.Context, c call, out any) ([]byte, error) {
	if len(t.client.servers) == 0 {
		return nil, usagef("no server: give --server or set KQ_SERVER")
	}
	body, err := t.client.do(ctx, c)
	if err != nil || out == nil {
		return body, err
	}
	if err := json.Unmarshal(body, out); err != nil {
		return nil, verdict.New(verdict.Done, verdict.ReasonInternal, "answer can't be decoded: %v", err)
	}
	return body, nil
}

// print writes an answer: as the server gave it, or as lines.
func (t *tool) print(raw []byte, lines ...string) {
	if t.json {
		t.stdout.Write(raw)
		return
	}
	for _, l := range lines {
		fmt.Fprintln(t.stdout, l)
	}
}

// arguments checks the number of arguments.
func arguments(cmd *cli.Command, names ...string) ([]string, error) {
	got := cmd.Args().Slice()
	if len(got) != len(names) {
		return nil, usagef("%s needs %d arguments %v, got %d", cmd.FullName(), len(names), names, len(got))
	}
	return got, nil
}

// operationFlags are those of every command that changes the configuration.
func operationFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "op-id", Usage: "`ID` of the operation; give the one of a call that got no answer to send it again"},
		&cli.Uint64Flag{Name: "expect-revision", Usage: "the only `REVISION` the change applies to"},
		&cli.BoolFlag{Name: "wait", Usage: "return when the change is in force everywhere"},
		&cli.DurationFlag{Name: "wait-timeout", Usage: "how long to wait", Value: defaultWait},
	}
}

// operation reads the operation flags. The id is made here and kept over all
// resends.
func (t *tool) operation(cmd *cli.Command) api.Operation {
	op := api.Operation{OpID: cmd.String("op-id"), Actor: t.actor}
	if op.OpID == "" {
		op.OpID = uuid.NewString()
	}
	if cmd.IsSet("expect-revision") {
		expect := cmd.Uint64("expect-revision")
		op.ExpectRevision = &expect
	}
	return op
}
