// Command kqtimeline merges the event files of all processes into one timeline,
// printed as text or written as an HTML page.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"kumquatwing/internal/program"
	"kumquatwing/internal/timeline"
	"kumquatwing/internal/version"
)

func main() {
	cmd := &cli.Command{
		Name:      "kqtimeline",
		Usage:     "merge event files into one timeline",
		ArgsUsage: "FOLDER...",
		Version:   version.Version,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "task", Usage: "show only this task"},
			&cli.StringFlag{Name: "job", Usage: "show only this job"},
			&cli.StringFlag{Name: "request", Usage: "show only this request"},
			&cli.StringFlag{Name: "workspace", Usage: "show only this workspace"},
			&cli.StringFlag{Name: "vm", Usage: "show only this VM"},
			&cli.StringFlag{Name: "worker", Usage: "show only this worker"},
			&cli.StringFlag{Name: "server", Usage: "show only this backend server"},
			&cli.StringFlag{Name: "dc", Aliases: []string{"data-centre"}, Usage: "show only this data centre"},
			&cli.StringFlag{Name: "process", Usage: "show only events of this binary, such as kqcontrol"},
			&cli.StringFlag{Name: "kind", Usage: "show only this event kind; a trailing dot selects all kinds with this prefix"},
			&cli.TimestampFlag{Name: "since", Usage: "show only events from this time on (RFC 3339)", Config: cli.TimestampConfig{Layouts: []string{time.RFC3339}}},
			&cli.TimestampFlag{Name: "until", Usage: "show only events up to this time (RFC 3339)", Config: cli.TimestampConfig{Layouts: []string{time.RFC3339}}},
			&cli.StringFlag{Name: "html", Usage: "write an HTML page to this file instead of printing text"},
		},
		Action: run,
	}
	os.Exit(program.Run(cmd, os.Args, os.Stderr))
}

func run(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() == 0 {
		return program.Usagef("at least one folder of event files is required")
	}
	events, damagedLines, err := timeline.Load(cmd.Args().Slice()...)
	if err != nil {
		return err
	}
	for _, d := range damagedLines {
		fmt.Fprintf(os.Stderr, "kqtimeline: %s line %d is damaged: %s\n", d.File, d.Line, d.Err)
	}
	selected := timeline.Select(events, filter(cmd))
	if cmd.String("html") == "" {
		return timeline.WriteText(os.Stdout, selected)
	}
	out, err := os.Create(cmd.String("html"))
	if err != nil {
		return err
	}
	defer out.Close()
	return timeline.WriteHTML(out, selected)
}

func filter(cmd *cli.Command) timeline.Filter {
	return timeline.Filter{
		Task:        cmd.String("task"),
		Job:         cmd.String("job"),
		Request:     cmd.String("request"),
		Workspace:   cmd.String("workspace"),
		VM:          cmd.String("vm"),
		Worker:      cmd.String("worker"),
		Server:      cmd.String("server"),
		DC:          cmd.String("dc"),
		Process:     cmd.String("process"),
		Kind:        cmd.String("kind"),
		SinceMillis: unixMillis(cmd.Timestamp("since")),
		UntilMillis: unixMillis(cmd.Timestamp("until")),
	}
}

func unixMillis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}
