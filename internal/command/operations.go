package command

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"kumquatwing/internal/api"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/fleet"
	"kumquatwing/internal/model"
	"kumquatwing/internal/verdict"
)

const (
	// defaultWait is the default of --wait-timeout.
	defaultWait = 30 * time.Second
	// pollInterval is the interval between two status calls during a wait.
	pollInterval = 100 * time.Millisecond
)

// sendOperation sends a call that contains op, prints the changes and, with --wait, waits
// until they are in force.
func (a *app) sendOperation(ctx context.Context, cmd *cli.Command, call apiCall, op api.Operation) error {
	var response api.OperationAnswer
	raw, err := a.send(ctx, call, &response)
	if err != nil {
		return a.printRetryHint(err, op)
	}
	a.print(raw, operationLines(&response)...)
	if !cmd.Bool("wait") {
		return nil
	}
	return a.waitInForce(ctx, response.Revision, cmd.Duration("wait-timeout"))
}

// printRetryHint prints the id with which to repeat the call, if err states that
// the call may have run. It returns err.
func (a *app) printRetryHint(err error, op api.Operation) error {
	if verdict.FromError(err).Verdict == verdict.MayHaveRun {
		fmt.Fprintf(a.stderr, "kqctl: send it again with --op-id %s\n", op.OpID)
	}
	return err
}

func operationLines(a *api.OperationAnswer) []string {
	lines := append([]string(nil), a.Changes...)
	switch {
	case a.Repeat:
		return append(lines, fmt.Sprintf("revision %d, already accepted in an earlier attempt", a.Revision))
	case len(a.Changes) == 0:
		return append(lines, fmt.Sprintf("no change, revision %d", a.Revision))
	}
	return append(lines, fmt.Sprintf("accepted as revision %d", a.Revision))
}

// waitInForce polls until revision is in force everywhere. After wait it returns a
// pendingError.
func (a *app) waitInForce(ctx context.Context, revision uint64, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	path := strings.Replace(api.PathInForce, "{revision}", fmt.Sprint(revision), 1)
	var newest *api.InForce
	for {
		var status api.InForce
		raw, err := a.send(ctx, apiCall{method: http.MethodGet, path: path}, &status)
		if err == nil && status.InForce {
			a.print(raw, fmt.Sprintf("revision %d is in force everywhere", revision))
			return nil
		}
		if err != nil && !retryable(verdict.FromError(err)) {
			return err
		}
		if err == nil {
			newest = &status
		}
		if !clock.Sleep(ctx, pollInterval) {
			return &pendingError{pendingMessage(revision, newest, err)}
		}
	}
}

// pendingMessage describes what keeps revision from being in force: what the
// newest answer says, nil if there was none, and err, the error of the last status
// call, if it failed.
func pendingMessage(revision uint64, status *api.InForce, err error) string {
	text := fmt.Sprintf("revision %d is accepted but not yet in force", revision)
	if err != nil {
		text = fmt.Sprintf("%s: %v", text, err)
	}
	if status == nil {
		return text
	}
	for _, w := range status.Waiting {
		text += fmt.Sprintf("; waits for %s in %s (confirmed revision %d, its lease expires in %d ms)",
			w.Holder, w.DC, w.Confirmed, w.EndsMillis)
	}
	for _, l := range status.Limits {
		text += fmt.Sprintf("; data centre %s still has a grant of %s of the limit of workspace %s, its target is %s",
			l.DC, l.Amount, l.Workspace, l.Target)
	}
	return text
}

func (a *app) keyCommand() *cli.Command {
	return &cli.Command{
		Name:  "key",
		Usage: "grant, withdraw and list the keys of workspaces",
		Commands: []*cli.Command{
			{
				Name: "grant", Usage: "create a key for a workspace and print it once", ArgsUsage: "WORKSPACE",
				Description: "kqctl generates the secret and sends only its hash.",
				Flags: append(operationFlags(), &cli.StringFlag{
					Name: "again", Usage: "`KEY` that a grant without a response printed; requires the --op-id of that grant",
				}),
				Action: a.grantKey,
			},
			{
				Name: "withdraw", Usage: "revoke a key permanently", ArgsUsage: "KEY-ID",
				Flags: operationFlags(), Action: a.withdrawKey,
			},
			{Name: "list", Usage: "list keys without their secrets", Action: a.listKeys},
		},
	}
}

// grantKey grants a key and prints it. It prints the key also if the call may have
// run, since the key may be valid.
func (a *app) grantKey(ctx context.Context, cmd *cli.Command) error {
	args, err := exactArgs(cmd, "WORKSPACE")
	if err != nil {
		return err
	}
	id, text, hash := fleet.NewKey()
	if cmd.IsSet("again") {
		text = cmd.String("again")
		var ok bool
		if id, hash, ok = fleet.ParseKey(text); !ok || !cmd.IsSet("op-id") {
			return usagef("--again needs a valid key and --op-id")
		}
	}
	op := a.newOperation(cmd)
	body := &api.KeyCall{Operation: op, Key: id, Workspace: model.WorkspaceID(args[0]), Hash: fleet.HashText(hash)}
	err = a.sendOperation(ctx, cmd, apiCall{method: http.MethodPost, path: api.PathKeys, body: body}, op)
	if code := exitCode(err); code == ExitOK || code == ExitPending || code == ExitMayHaveRun {
		a.print([]byte(fmt.Sprintf("{\"key_id\":%q,\"key\":%q}\n", id, text)), "key "+text)
	}
	if exitCode(err) == ExitMayHaveRun {
		fmt.Fprintf(a.stderr, "kqctl: and with --again %s\n", text)
	}
	return err
}

func (a *app) withdrawKey(ctx context.Context, cmd *cli.Command) error {
	args, err := exactArgs(cmd, "KEY-ID")
	if err != nil {
		return err
	}
	op := a.newOperation(cmd)
	path := strings.Replace(api.PathKey, "{key}", url.PathEscape(args[0]), 1)
	return a.sendOperation(ctx, cmd, apiCall{method: http.MethodDelete, path: path, body: op}, op)
}

func (a *app) listKeys(ctx context.Context, _ *cli.Command) error {
	var response api.KeysAnswer
	raw, err := a.send(ctx, apiCall{method: http.MethodGet, path: api.PathKeys}, &response)
	if err != nil {
		return err
	}
	var lines []string
	for _, k := range response.Keys {
		state := "valid"
		if k.Revoked {
			state = "withdrawn"
		}
		lines = append(lines, fmt.Sprintf("%s workspace %s %s since revision %d", k.ID, k.Workspace, state, k.Revision))
	}
	a.print(raw, lines...)
	return nil
}

func (a *app) dcCommand() *cli.Command {
	action := func(name string) cli.ActionFunc {
		return func(ctx context.Context, cmd *cli.Command) error { return a.setDataCentre(ctx, cmd, name) }
	}
	return &cli.Command{
		Name:  "dc",
		Usage: "take data centres out of service and return them to service",
		Commands: []*cli.Command{
			{Name: "out", Usage: "take a data centre out of service", ArgsUsage: "DC", Flags: operationFlags(), Action: action("out")},
			{Name: "in", Usage: "return a data centre to service", ArgsUsage: "DC", Flags: operationFlags(), Action: action("in")},
		},
	}
}

func (a *app) setDataCentre(ctx context.Context, cmd *cli.Command, action string) error {
	args, err := exactArgs(cmd, "DC")
	if err != nil {
		return err
	}
	op := a.newOperation(cmd)
	path := strings.NewReplacer("{dc}", url.PathEscape(args[0]), "{action}", action).Replace(api.PathDataCentre)
	return a.sendOperation(ctx, cmd, apiCall{method: http.MethodPost, path: path, body: op}, op)
}
