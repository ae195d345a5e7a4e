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

func (a *app) whyCommand() *cli.Command {
	return &cli.Command{
		Name: "why", Usage: "explain a placement, refusal or preemption", ArgsUsage: "KIND ID",
		Description: "KIND is task, job, workspace or worker.",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			args, err := exactArgs(cmd, "KIND", "ID")
			if err != nil {
				return err
			}
			path := strings.NewReplacer("{kind}", url.PathEscape(args[0]), "{id}", url.PathEscape(args[1])).Replace(api.PathWhy)
			return a.sendAndPrint(ctx, apiCall{method: http.MethodGet, path: path})
		},
	}
}

func (a *app) explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "show where a job of the workspace of --key would be placed now and why, without submitting it",
		Description: "It takes the flags of job submit. The decision is the one that the next plan would make; it reserves nothing.",
		Flags:       jobFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if _, err := exactArgs(cmd); err != nil {
				return err
			}
			spec, err := parseJobSpec(cmd)
			if err != nil {
				return err
			}
			return a.sendAndPrint(ctx, apiCall{method: http.MethodPost, path: api.PathExplainJob, body: spec})
		},
	}
}

func (a *app) statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show groups, members and leases",
		Action: func(ctx context.Context, _ *cli.Command) error {
			return a.sendAndPrint(ctx, apiCall{method: http.MethodGet, path: api.PathStatus})
		},
	}
}

func (a *app) initCommand() *cli.Command {
	return &cli.Command{
		Name: "init", Usage: "bootstrap the fleet group on the server, once per cluster",
		Action: func(ctx context.Context, _ *cli.Command) error {
			// The client could retry at a second server, which would bootstrap a
			// second group.
			if len(a.client.servers) != 1 {
				return usagef("init needs exactly one --server")
			}
			return a.sendAndPrint(ctx, apiCall{method: http.MethodPost, path: api.PathInit, noRetry: true})
		},
	}
}

func (a *app) versionCommand() *cli.Command {
	return &cli.Command{
		Name: "version", Usage: "print the version",
		Action: func(context.Context, *cli.Command) error {
			_, err := fmt.Fprintln(a.stdout, version.Version)
			return err
		},
	}
}

// sendAndPrint sends call and prints the response: the field lines if it has one,
// otherwise the indented JSON.
func (a *app) sendAndPrint(ctx context.Context, call apiCall) error {
	raw, err := a.send(ctx, call, nil)
	if err != nil {
		return err
	}
	var response struct {
		Lines []string `json:"lines"`
	}
	if json.Unmarshal(raw, &response) == nil && response.Lines != nil {
		a.print(raw, response.Lines...)
		return nil
	}
	var indented bytes.Buffer
	if json.Indent(&indented, raw, "", "  ") != nil {
		indented.Write(raw)
	}
	a.print(raw, strings.TrimRight(indented.String(), "\n"))
	return nil
}
