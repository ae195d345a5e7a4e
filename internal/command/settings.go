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
	"kumquatwing/internal/settings"
)

// folderFlag names the folder of declarations.
func folderFlag() cli.Flag {
	return &cli.StringFlag{Name: "f", Aliases: []string{"folder"}, Usage: "`FOLDER` or file of declarations"}
}

// readFolder reads the declarations that a command names.
func readFolder(cmd *cli.Command) (*settings.Declarations, error) {
	folder := cmd.String("f")
	if folder == "" {
		return nil, usagef("a folder of declarations is needed: -f FOLDER")
	}
	d, err := settings.ReadFolder(folder)
	if err != nil {
		return nil, &usageError{err}
	}
	return d, nil
}

func (t *tool) checkCommand() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "check declarations without a server",
		Flags: []cli.Flag{folderFlag()},
		Action: func(_ context.Context, cmd *cli.Command) error {
			d, err := readFolder(cmd)
			if err != nil {
				return err
			}
			t.print([]byte("{}\n"), fmt.Sprintf("%d data centres, %d workspaces, %d queues, %d settings: no faults",
				len(d.DataCentres), len(d.Workspaces), len(d.Queues), len(d.Settings)))
			return nil
		},
	}
}

// current reads what was applied last.
func (t *tool) current(ctx context.Context) (*api.SettingsAnswer, []byte, error) {
	var answer api.SettingsAnswer
	raw, err := t.send(ctx, call{method: http.MethodGet, path: api.PathSettings}, &answer)
	return &answer, raw, err
}

func (t *tool) diffCommand() *cli.Command {
	return &cli.Command{
		Name: "diff", Usage: "show what an apply would change, at which level and for whom",
		Flags: []cli.Flag{folderFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			d, err := readFolder(cmd)
			if err != nil {
				return err
			}
			now, _, err := t.current(ctx)
			if err != nil {
				return err
			}
			return t.printDiff(now, d)
		},
	}
}

func (t *tool) printDiff(now *api.SettingsAnswer, d *settings.Declarations) error {
	diffs := settings.Diff(&now.Declarations, d)
	raw, err := encodeBody(diffs)
	if err != nil {
		return err
	}
	lines := make([]string, 0, len(diffs)+1)
	for _, one := range diffs {
		lines = append(lines, one.String())
	}
	lines = append(lines, fmt.Sprintf("%d changes against revision %d", len(diffs), now.Revision))
	t.print(append(raw, '\n'), lines...)
	return nil
}

func (t *tool) applyCommand() *cli.Command {
	flags := append(operationFlags(), folderFlag(),
		&cli.Uint64Flag{Name: "from-revision", Usage: "apply the tree of an older `REVISION` again, as a new one"})
	return &cli.Command{
		Name: "apply", Usage: "make declarations the configuration, whole or not at all",
		Description: "Without --expect-revision the revision is read first, so that a change made\n" +
			"meanwhile by somebody else is not overwritten.",
		Flags: flags, Action: t.apply,
	}
}

func (t *tool) apply(ctx context.Context, cmd *cli.Command) error {
	body := &api.ApplyCall{Operation: t.operation(cmd), FromRevision: cmd.Uint64("from-revision")}
	if body.FromRevision == 0 {
		d, err := readFolder(cmd)
		if err != nil {
			return err
		}
		body.Declarations = d
	}
	if body.ExpectRevision == nil {
		now, _, err := t.current(ctx)
		if err != nil {
			return err
		}
		body.ExpectRevision = &now.Revision
	}
	return t.operate(ctx, cmd, call{method: http.MethodPost, path: api.PathSettings, body: body}, body.Operation)
}

func (t *tool) getCommand() *cli.Command {
	return &cli.Command{
		Name: "get", Usage: "show the configuration, or effective settings with --explain", ArgsUsage: "[SETTING]",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "explain", Usage: "show effective values and the level and revision that decided each"},
			&cli.BoolFlag{Name: "stale", Usage: "take what the server has, also when it is cut off"},
			&cli.StringFlag{Name: "region"}, &cli.StringFlag{Name: "dc"},
			&cli.StringFlag{Name: "workspace"}, &cli.StringFlag{Name: "workload"},
		},
		Action: t.get,
	}
}

func (t *tool) get(ctx context.Context, cmd *cli.Command) error {
	query := url.Values{}
	if cmd.Bool("stale") {
		query.Set("stale", "true")
	}
	if !cmd.Bool("explain") && cmd.Args().Len() == 0 {
		raw, err := t.send(ctx, call{method: http.MethodGet, path: api.PathSettings + "?" + query.Encode()}, nil)
		if err == nil {
			t.stdout.Write(raw)
		}
		return err
	}
	query.Set("name", cmd.Args().First())
	for _, flag := range []string{"region", "dc", "workspace", "workload"} {
		query.Set(flag, cmd.String(flag))
	}
	var answer api.ExplainAnswer
	raw, err := t.send(ctx, call{method: http.MethodGet, path: api.PathExplain + "?" + query.Encode()}, &answer)
	if err != nil {
		return err
	}
	t.print(raw, answer.Lines...)
	return nil
}

func (t *tool) historyCommand() *cli.Command {
	return &cli.Command{
		Name: "history", Usage: "list accepted changes, oldest first",
		Action: func(ctx context.Context, _ *cli.Command) error {
			var answer api.HistoryAnswer
			raw, err := t.send(ctx, call{method: http.MethodGet, path: api.PathHistory}, &answer)
			if err != nil {
				return err
			}
			var lines []string
			for _, c := range answer.Changes {
				at := time.UnixMilli(c.AtMillis).UTC().Format(time.RFC3339)
				lines = append(lines, fmt.Sprintf("revision %d %s %s by %s, operation %s: %s",
					c.Revision, at, c.Kind, c.Actor, c.OpID, strings.Join(c.Changes, "; ")))
			}
			t.print(raw, lines...)
			return nil
		},
	}
}

func (t *tool) settingsCommand() *cli.Command {
	return &cli.Command{
		Name: "settings", Usage: "about the settings themselves",
		Commands: []*cli.Command{{
			Name: "reference", Usage: "print the reference page of all settings, as Markdown",
			Action: func(context.Context, *cli.Command) error {
				_, err := t.stdout.Write([]byte(settings.Reference()))
				return err
			},
		}},
	}
}
