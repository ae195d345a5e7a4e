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
	// defaultWait is how long --wait waits.
	defaultWait = 30 * time.Second
	// pollPause is between two looks at what is waited for.
	pollPause = 100 * time.Millisecond
)

// operate sends an operator's call, prints what changed and waits if wanted.
func (t *tool) operate(ctx context.Context, cmd *cli.Command, c call, op api.Operation) error {
	var answer api.OperationAnswer
	raw, err := t.send(ctx, c, &answer)
	if err != nil {
		return t.nameOperation(err, op)
	}
	t.print(raw, operationLines(&answer)...)
	if !cmd.Bool("wait") {
		return nil
	}
	return t.waitInForce(ctx, answer.Revision, cmd.Duration("wait-timeout"))
}

// nameOperation tells how to send a call again that may have run.
func (t *tool) nameOperation(err error, op api.Operation) error {
	if verdict.From(err).Verdict == verdict.MayHaveRun {
		fmt.Fprintf(t.stderr, "kqctl: send it again with --op-id %s\n", op.OpID)
	}
	return err
}

func operationLines(a *api.OperationAnswer) []string {
	lines := append([]string(nil), a.Changes...)
	switch {
	case a.Repeat:
		return append(lines, fmt.Sprintf("revision %d, accepted at an earlier send", a.Revision))
	case len(a.Changes) == 0:
		return append(lines, fmt.Sprintf("no change, revision %d", a.Revision))
	}
	return append(lines, fmt.Sprintf("accepted as revision %d", a.Revision))
}

// waitInForce polls until a revision is in force everywhere.
func (t *tool) waitInForce(ctx context.Context, revision uint64, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	path := strings.Replace(api.PathInForce, "{revision}", fmt.Sprint(revision), 1)
	var last api.InForce
	for {
		raw, err := t.send(ctx, call{method: http.MethodGet, path: path}, &last)
		if err == nil && last.InForce {
			t.print(raw, fmt.Sprintf("revision %d is in force everywhere", revision))
			return nil
		}
		if err != nil && !elsewhere(verdict.From(err)) {
			return err
		}
		if !clock.Sleep(ctx, pollPause) {
			return &pendingError{waitingText(revision, &last, err)}
		}
	}
}

func waitingText(revision uint64, last *api.InForce, err error) string {
	text := fmt.Sprintf("revision %d is accepted and not yet in force", revision)
	if err != nil {
		return fmt.Sprintf("%s: %v", text, err)
	}
	for _, w := range last.Waiting {
		text += fmt.Sprintf("; waits for %s in %s (confirmed revision %d, its lease ends in %d ms)",
			w.Holder, w.DC, w.Confirmed, w.EndsMillis)
	}
	for _, l := range last.Limits {
		text += fmt.Sprintf("; data centre %s still uses %s of the limit of workspace %s and is to keep %s",
			l.DC, l.Amount, l.Workspace, l.Target)
	}
	return text
}

func (t *tool) keyCommand() *cli.Command {
	return &cli.Command{
		Name:  "key",
		Usage: "grant, withdraw and list workspaces' keys",
		Commands: []*cli.Command{
			{
				Name: "grant", Usage: "mint a key for a workspace and show it once", ArgsUsage: "WORKSPACE",
				Description: "The secret is made here; only its hash is sent.",
				Flags: append(operationFlags(), &cli.StringFlag{
					Name: "again", Usage: "the `KEY` shown by a grant that got no answer; give its --op-id too",
				}),
				Action: t.grantKey,
			},
			{
				Name: "withdraw", Usage: "end a key for good", ArgsUsage: "KEY-ID",
				Flags: operationFlags(), Action: t.withdrawKey,
			},
			{Name: "list", Usage: "list keys without their secrets", Action: t.listKeys},
		},
	}
}

// grantKey shows the key also when the answer was lost, since it may be valid.
func (t *tool) grantKey(ctx context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, "WORKSPACE")
	if err != nil {
		return err
	}
	id, text, hash := fleet.NewKey()
	if cmd.IsSet("again") {
		text = cmd.String("again")
		var ok bool
		if id, hash, ok = fleet.ParseKey(text); !ok || !cmd.IsSet("op-id") {
			return usagef("--again needs a whole key and --op-id")
		}
	}
	op := t.operation(cmd)
	body := &api.KeyCall{Operation: op, Key: id, Workspace: model.WorkspaceID(args[0]), Hash: fleet.HashText(hash)}
	err = t.operate(ctx, cmd, call{method: http.MethodPost, path: api.PathKeys, body: body}, op)
	if code := exitCode(err); code == ExitOK || code == ExitPending || code == ExitMayHaveRun {
		t.print([]byte(fmt.Sprintf("{\"key_id\":%q,\"key\":%q}\n", id, text)), "key "+text)
	}
	if exitCode(err) == ExitMayHaveRun {
		fmt.Fprintf(t.stderr, "kqctl: and with --again %s\n", text)
	}
	return err
}

func (t *tool) withdrawKey(ctx context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, "KEY-ID")
	if err != nil {
		return err
	}
	op := t.operation(cmd)
	path := strings.Replace(api.PathKey, "{key}", url.PathEscape(args[0]), 1)
	return t.operate(ctx, cmd, call{method: http.MethodDelete, path: path, body: op}, op)
}

func (t *tool) listKeys(ctx context.Context, _ *cli.Command) error {
	var answer api.KeysAnswer
	raw, err := t.send(ctx, call{method: http.MethodGet, path: api.PathKeys}, &answer)
	if err != nil {
		return err
	}
	var lines []string
	for _, k := range answer.Keys {
		state := "valid"
		if k.Withdrawn {
			state = "withdrawn"
		}
		lines = append(lines, fmt.Sprintf("%s workspace %s %s since revision %d", k.ID, k.Workspace, state, k.Revision))
	}
	t.print(raw, lines...)
	return nil
}

func (t *tool) dcCommand() *cli.Command {
	action := func(name string) cli.ActionFunc {
		return func(ctx context.Context, cmd *cli.Command) error { return t.setDataCentre(ctx, cmd, name) }
	}
	return &cli.Command{
		Name:  "dc",
		Usage: "take data centres out and bring them back",
		Commands: []*cli.Command{
			{Name: "out", Usage: "take a data centre out of service", ArgsUsage: "DC", Flags: operationFlags(), Action: action("out")},
			{Name: "in", Usage: "bring a data centre back", ArgsUsage: "DC", Flags: operationFlags(), Action: action("in")},
		},
	}
}

func (t *tool) setDataCentre(ctx context.Context, cmd *cli.Command, action string) error {
	args, err := arguments(cmd, "DC")
	if err != nil {
		return err
	}
	op := t.operation(cmd)
	path := strings.NewReplacer("{dc}", url.PathEscape(args[0]), "{action}", action).Replace(api.PathDataCentre)
	return t.operate(ctx, cmd, call{method: http.MethodPost, path: path, body: op}, op)
}
