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

// drainPause is how long a stopping server goes on serving after it said that
// it is leaving.
const drainPause = 3 * time.Second

// backendCommand runs one fake backend server. Stopped by a signal, it says
// that it is leaving, waits, and prints what it ran as one line of JSON.
func backendCommand() *cli.Command {
	return &cli.Command{
		Name:  "backend",
		Usage: "run a backend server",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "server", Required: true, Usage: "name of the server", Sources: cli.EnvVars("KQ_FAKE_SERVER")},
			&cli.StringFlag{Name: "dc", Required: true, Usage: "data centre", Sources: cli.EnvVars("KQ_DC")},
			&cli.StringFlag{Name: "queue", Required: true, Usage: "queue that it serves", Sources: cli.EnvVars("KQ_FAKE_QUEUE")},
			&cli.StringFlag{Name: "listen", Required: true, Usage: "`IP:PORT`", Sources: cli.EnvVars("KQ_LISTEN")},
			&cli.StringSliceFlag{Name: "entry", Required: true, Usage: "`IP:PORT` of entry VMs", Sources: cli.EnvVars("KQ_FAKE_ENTRY")},
			&cli.IntFlag{Name: "slots", Value: 8, Usage: "requests at the same time"},
			&cli.IntFlag{Name: "connections", Value: 60, Usage: "connections at the same time"},
			&cli.DurationFlag{Name: "every", Value: 500 * time.Millisecond, Usage: "pause between announcements"},
			&cli.DurationFlag{Name: "delay", Usage: "time that each request takes"},
			&cli.StringFlag{Name: "mode", Value: string(backend.Echo), Usage: "how requests are answered"},
			&cli.StringFlag{Name: "runs", Usage: "file to write the runs of each request to at the end"},
			&cli.DurationFlag{Name: "drain", Value: drainPause, Usage: "time to serve on after leaving was announced"},
		},
		Action: runBackend,
	}
}

func runBackend(ctx context.Context, cmd *cli.Command) error {
	s, err := backend.Start(backend.Config{
		Server:      model.ServerID(cmd.String("server")),
		DC:          model.DCID(cmd.String("dc")),
		Queue:       model.QueueName(cmd.String("queue")),
		Listen:      cmd.String("listen"),
		Slots:       cmd.Int("slots"),
		Connections: cmd.Int("connections"),
		Incarnation: uuid.NewString(),
		Entries:     cmd.StringSlice("entry"),
		Every:       cmd.Duration("every"),
		Delay:       cmd.Duration("delay"),
	})
	if err != nil {
		return err
	}
	defer s.Close()
	if cmd.IsSet("mode") {
		s.SetMode(backend.Mode(cmd.String("mode")))
	}
	announcing, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go s.Run(announcing)
	<-ctx.Done()
	s.Leave()
	time.Sleep(cmd.Duration("drain"))
	counts := s.Counts()
	if err := writeRuns(cmd.String("runs"), &counts); err != nil {
		return err
	}
	return report(cmd.String("server"), counts)
}

// writeRuns writes a line per request id with the number of its runs.
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

// backendReport is what a stopped server prints.
type backendReport struct {
	Server   string `json:"server"`
	Requests int    `json:"requests"`
	Doubled  int    `json:"doubled"`
	Peak     int    `json:"peak"`
}

func report(server string, c backend.Counts) error {
	line, err := json.Marshal(backendReport{server, len(c.Runs), c.Doubled(), c.Peak})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(os.Stdout, string(line))
	return err
}
