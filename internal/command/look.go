package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"github.com/urfave/cli/v3"

	"kumquatwing/internal/api"
	"kumquatwing/internal/version"
)

func (t *tool) whyCommand() *cli.Command {
	return &cli.Command{
		Name: "why", Usage: "explain a placement, refusal or eviction", ArgsUsage: "KIND ID",
		Description: "KIND is task, job, workspace or worker.",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			args, err := arguments(cmd, "KIND", "ID")
			if err != nil {
				return err
			}
			path := strings.NewReplacer("{kind}", url.PathEscape(args[0]), "{id}", url.PathEscape(args[1])).Replace(api.PathWhy)
			return t.look(ctx, call{method: http.MethodGet, path: path})
		},
	}
}

func (t *tool) statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show groups, members and leases",
		Action: func(ctx context.Context, _ *cli.Command) error {
			return t.look(ctx, call{method: http.MethodGet, path: api.PathStatus})
		},
	}
}

func (t *tool) initCommand() *cli.Command {
	return &cli.Command{
		Name: "init", Usage: "found the fleet group on the server, once in its life",
		Action: func(ctx context.Context, _ *cli.Command) error {
			// A second server would found a second group.
			if len(t.client.servers) != 1 {
				return usagef("init needs exactly one --server")
			}
			return t.look(ctx, call{method: http.MethodPost, path: api.PathInit, once: true})
		},
	}
}

func (t *tool) versionCommand() *cli.Command {
	return &cli.Command{
		Name: "version", Usage: "print the version",
		Action: func(context.Context, *cli.Command) error {
			_, err := fmt.Fprintln(t.stdout, version.Version)
			return err
		},
	}
}

// look prints an answer as the server gives it: its lines, or else its JSON.
func (t *tool) look(ctx context.Context, c call) error {
	raw, err := t.send(ctx, c, nil)
	if err != nil {
		return err
	}
	var answer struct {
		Lines []string `json:"lines"`
	}
	if json.Unmarshal(raw, &answer) == nil && answer.Lines != nil {
		t.print(raw, answer.Lines...)
		return nil
	}
	var pretty bytes.Buffer
	if json.Indent(&pretty, raw, "", "  ") != nil {
		pretty.Write(raw)
	}
	t.print(raw, strings.TrimRight(pretty.String(), "\n"))
	return nil
}
