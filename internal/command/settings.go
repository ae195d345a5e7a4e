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

// folderFlag returns the flag for the folder or file of declarations.
func folderFlag() cli.Flag {
	return &cli.StringFlag{Name: "f", Aliases: []string{"folder"}, Usage: "`FOLDER` or file of declarations"}
}

// readFolder reads the declarations from the folder or file that -f names.
func readFolder(cmd *cli.Command) (*settings.Declarations, error) {
	folder := cmd.String("f")
	if folder == "" {
		return nil, usagef("no declarations: give -f FOLDER")
	}
	d, err := settings.ReadFolder(folder)
	if err != nil {
		return nil, &usageError{err}
	}
	return d, nil
}

func (a *app) checkCommand() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "validate declarations without a server",
		Flags: []cli.Flag{folderFlag()},
		Action: func(_ context.Context, cmd *cli.Command) error {
			d, err := readFolder(cmd)
			if err != nil {
				return err
			}
			a.print([]byte("{}\n"), fmt.Sprintf("%d data centres, %d workspaces, %d queues, %d settings: no faults",
				len(d.DataCentres), len(d.Workspaces), len(d.Queues), len(d.Settings)))
			return nil
		},
	}
}

// currentSettings returns the current revision and its declarations, decoded and as
// received.
func (a *app) currentSettings(ctx context.Context) (*api.SettingsAnswer, []byte, error) {
	var response api.SettingsAnswer
	raw, err := a.send(ctx, apiCall{method: http.MethodGet, path: api.PathSettings}, &response)
	return &response, raw, err
}

func (a *app) diffCommand() *cli.Command {
	return &cli.Command{
		Name: "diff", Usage: "show which settings an apply would change, and at which level",
		Flags: []cli.Flag{folderFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			d, err := readFolder(cmd)
			if err != nil {
				return err
			}
			current, _, err := a.currentSettings(ctx)
			if err != nil {
				return err
			}
			return a.printDiff(current, d)
		},
	}
}

func (a *app) printDiff(current *api.SettingsAnswer, d *settings.Declarations) error {
	diffs := settings.Diff(&current.Declarations, d)
	raw, err := encodeBody(diffs)
	if err != nil {
		return err
	}
	lines := make([]string, 0, len(diffs)+1)
	for _, diff := range diffs {
		lines = append(lines, diff.String())
	}
	lines = append(lines, fmt.Sprintf("%d changes against revision %d", len(diffs), current.Revision))
	a.print(append(raw, '\n'), lines...)
	return nil
}

func (a *app) applyCommand() *cli.Command {
	flags := append(operationFlags(), folderFlag(),
		&cli.Uint64Flag{Name: "from-revision", Usage: "apply the declarations of an older `REVISION` again, as a new revision"})
	return &cli.Command{
		Name: "apply", Usage: "replace the configuration by the declarations, atomically",
		Description: "Without --expect-revision, kqctl reads the current revision first and expects it,\n" +
			"so that a concurrent change by another operator is not overwritten.",
		Flags: flags, Action: a.apply,
	}
}

func (a *app) apply(ctx context.Context, cmd *cli.Command) error {
	body := &api.ApplyCall{Operation: a.newOperation(cmd), FromRevision: cmd.Uint64("from-revision")}
	if body.FromRevision == 0 {
		d, err := readFolder(cmd)
		if err != nil {
			return err
		}
		body.Declarations = d
	}
	if body.ExpectRevision == nil {
		current, _, err := a.currentSettings(ctx)
		if err != nil {
			return err
		}
		body.ExpectRevision = &current.Revision
	}
	return a.sendOperation(ctx, cmd, apiCall{method: http.MethodPost, path: api.PathSettings, body: body}, body.Operation)
}

func (a *app) getCommand() *cli.Command {
	return &cli.Command{
		Name: "get", Usage: "show the configuration, or effective settings with --explain", ArgsUsage: "[SETTING]",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "explain", Usage: "show effective values, each with the level and revision that set it"},
			&cli.BoolFlag{Name: "stale", Usage: "accept the server's local copy, even if the server is disconnected from the fleet group"},
			&cli.StringFlag{Name: "region"}, &cli.StringFlag{Name: "dc"},
			&cli.StringFlag{Name: "workspace"}, &cli.StringFlag{Name: "workload"},
		},
		Action: a.get,
	}
}

func (a *app) get(ctx context.Context, cmd *cli.Command) error {
	query := url.Values{}
	if cmd.Bool("stale") {
		query.Set("stale", "true")
	}
	if !cmd.Bool("explain") && cmd.Args().Len() == 0 {
		raw, err := a.send(ctx, apiCall{method: http.MethodGet, path: api.PathSettings + "?" + query.Encode()}, nil)
		if err == nil {
			a.stdout.Write(raw)
		}
		return err
	}
	query.Set("name", cmd.Args().First())
	for _, flag := range []string{"region", "dc", "workspace", "workload"} {
		query.Set(flag, cmd.String(flag))
	}
	var response api.ExplainAnswer
	raw, err := a.send(ctx, apiCall{method: http.MethodGet, path: api.PathExplain + "?" + query.Encode()}, &response)
	if err != nil {
		return err
	}
	a.print(raw, response.Lines...)
	return nil
}

func (a *app) historyCommand() *cli.Command {
	return &cli.Command{
		Name: "history", Usage: "list accepted changes, oldest first",
		Action: func(ctx context.Context, _ *cli.Command) error {
			var response api.HistoryAnswer
			raw, err := a.send(ctx, apiCall{method: http.MethodGet, path: api.PathHistory}, &response)
			if err != nil {
				return err
			}
			var lines []string
			for _, c := range response.Changes {
				at := time.UnixMilli(c.AtMillis).UTC().Format(time.RFC3339)
				lines = append(lines, fmt.Sprintf("revision %d %s %s by %s, operation %s: %s",
					c.Revision, at, c.Kind, c.Actor, c.OpID, strings.Join(c.Changes, "; ")))
			}
			a.print(raw, lines...)
			return nil
		},
	}
}

func (a *app) settingsCommand() *cli.Command {
	return &cli.Command{
		Name: "settings", Usage: "describe the available settings",
		Commands: []*cli.Command{{
			Name: "reference", Usage: "print the reference of all settings as Markdown",
			Action: func(context.Context, *cli.Command) error {
				_, err := a.stdout.Write([]byte(settings.Reference()))
				return err
			},
		}},
	}
}
