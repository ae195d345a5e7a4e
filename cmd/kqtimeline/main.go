// Command kqtimeline merges the event files of all processes into one time
// line, as text or as a page.
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
		Usage:     "merge event files into one time line",
		ArgsUsage: "FOLDER...",
		Version:   version.Version,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "task", Usage: "only this task"},
			&cli.StringFlag{Name: "job", Usage: "only this job"},
			&cli.StringFlag{Name: "request", Usage: "only this request"},
			&cli.StringFlag{Name: "workspace", Usage: "only this workspace"},
			&cli.StringFlag{Name: "vm", Usage: "only this VM"},
			&cli.StringFlag{Name: "worker", Usage: "only this worker"},
			&cli.StringFlag{Name: "server", Usage: "only this backend server"},
			&cli.StringFlag{Name: "dc", Aliases: []string{"data-centre"}, Usage: "only this data centre"},
			&cli.StringFlag{Name: "process", Usage: "only this binary, such as kqcontrol"},
			&cli.StringFlag{Name: "kind", Usage: "only this kind of event; with a trailing dot all of a part"},
			&cli.TimestampFlag{Name: "since", Usage: "only from this time on (RFC 3339)", Config: cli.TimestampConfig{Layouts: []string{time.RFC3339}}},
			&cli.TimestampFlag{Name: "until", Usage: "only up to this time (RFC 3339)", Config: cli.TimestampConfig{Layouts: []string{time.RFC3339}}},
			&cli.StringFlag{Name: "html", Usage: "write a page to this file instead of text"},
		},
		Action: run,
	}
	os.Exit(program.Run(cmd, os.Args, os.Stderr))
}

func run(_ context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return program.Usagef("name at least one folder of event files")
	}
	events, damage, err := timeline.Load(c.Args().Slice()...)
	if err != nil {
		return err
	}
	for _, d := range damage {
		fmt.Fprintf(os.Stderr, "kqtimeline: %s line %d is damaged: %s\n", d.File, d.Line, d.Err)
	}
	selected := timeline.Select(events, filter(c))
	if c.String("html") == "" {
		return timeline.WriteText(os.Stdout, selected)
	}
	out, err := os.Create(c.String("html"))
	if err != nil {
		return err
	}
	defer out.Close()
	return timeline.WriteHTML(out, selected)
}

func filter(c *cli.Command) timeline.Filter {
	return timeline.Filter{
		Task:        c.String("task"),
		Job:         c.String("job"),
		Request:     c.String("request"),
		Workspace:   c.String("workspace"),
		VM:          c.String("vm"),
		Worker:      c.String("worker"),
		Server:      c.String("server"),
		DC:          c.String("dc"),
		Process:     c.String("process"),
		Kind:        c.String("kind"),
		SinceMillis: millis(c.Timestamp("since")),
		UntilMillis: millis(c.Timestamp("until")),
	}
}

func millis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}
