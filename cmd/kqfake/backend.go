package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"kumquatwing/internal/fake/backend"
	"kumquatwing/internal/model"
)

// defaultDrain is the default time for which a stopping server keeps serving
// requests after it has announced that it is leaving.
const defaultDrain = 3 * time.Second

// backendCommand returns the command that runs one fake backend server. On a
// signal the server announces that it is leaving, keeps serving for the drain
// time and prints its counters as one line of JSON.
func backendCommand() *cli.Command {
	return &cli.Command{
		Name:  "backend",
		Usage: "run a fake backend server",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "server", Required: true, Usage: "name of the server", Sources: cli.EnvVars("KQ_FAKE_SERVER")},
			&cli.StringFlag{Name: "dc", Required: true, Usage: "data centre", Sources: cli.EnvVars("KQ_DC")},
			&cli.StringFlag{Name: "queue", Required: true, Usage: "queue that the server serves", Sources: cli.EnvVars("KQ_FAKE_QUEUE")},
			&cli.StringFlag{Name: "listen", Required: true, Usage: "`IP:PORT`", Sources: cli.EnvVars("KQ_LISTEN")},
			&cli.StringSliceFlag{Name: "entry", Required: true, Usage: "`IP:PORT` of entry VMs", Sources: cli.EnvVars("KQ_FAKE_ENTRY")},
			&cli.IntFlag{Name: "slots", Value: 8, Usage: "maximum number of concurrent requests"},
			&cli.IntFlag{Name: "connections", Value: 60, Usage: "maximum number of concurrent connections"},
			&cli.DurationFlag{Name: "every", Value: 500 * time.Millisecond, Usage: "announcement interval"},
			&cli.DurationFlag{Name: "delay", Usage: "run time of each request"},
			&cli.StringFlag{Name: "mode", Value: string(backend.Echo), Usage: "response mode, such as echo, slow or error"},
			&cli.StringFlag{Name: "runs", Usage: "on exit, write the number of runs of each request id to this file"},
			&cli.DurationFlag{Name: "drain", Value: defaultDrain, Usage: "time to keep serving after announcing that the server is leaving"},
		},
		Action: runBackend,
	}
}

func runBackend(ctx context.Context, cmd *cli.Command) error {
	server, err := backend.Start(backend.Config{
		Server:           model.ServerID(cmd.String("server")),
		DC:               model.DCID(cmd.String("dc")),
		Queue:            model.QueueName(cmd.String("queue")),
		Listen:           cmd.String("listen"),
		Slots:            cmd.Int("slots"),
		Connections:      cmd.Int("connections"),
		Incarnation:      uuid.NewString(),
		Entries:          cmd.StringSlice("entry"),
		AnnounceInterval: cmd.Duration("every"),
		Delay:            cmd.Duration("delay"),
	})
	if err != nil {
		return err
	}
	defer server.Close()
	if cmd.IsSet("mode") {
		server.SetMode(backend.Mode(cmd.String("mode")))
	}
	announceCtx, stopAnnouncing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopAnnouncing()
	go server.Run(announceCtx)
	<-ctx.Done()
	server.Leave()
	time.Sleep(cmd.Duration("drain"))
	counts := server.Counts()
	if err := writeRuns(cmd.String("runs"), &counts); err != nil {
		return err
	}
	return printReport(cmd.String("server"), counts)
}

// writeRuns writes one line per request id to the file at path: the id and its
// number of runs. With an empty path it does nothing.
func writeRuns(path string, c *backend.Counts) error {
	if path == "" {
		return nil
	}
	var lines bytes.Buffer
	for _, id := range slices.Sorted(maps.Keys(c.Runs)) {
		fmt.Fprintln(&lines, id, c.Runs[id])
	}
	return os.WriteFile(path, lines.Bytes(), 0o644)
}

// backendReport is the line of JSON that a stopped server prints. Doubled is the
// number of request ids that ran more than once, Peak the maximum number of
// requests in progress.
type backendReport struct {
	Server   string `json:"server"`
	Requests int    `json:"requests"`
	Doubled  int    `json:"doubled"`
	Peak     int    `json:"peak"`
}

func printReport(server string, c backend.Counts) error {
	line, err := json.Marshal(backendReport{server, len(c.Runs), c.RepeatedIDs(), c.Peak})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(os.Stdout, string(line))
	return err
}
