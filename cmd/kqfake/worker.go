package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"kumquatwing/internal/clock"
	"kumquatwing/internal/eventlog"
	"kumquatwing/internal/fake/worker"
	"kumquatwing/internal/logx"
	"kumquatwing/internal/model"
	"kumquatwing/internal/program"
)

// workersPerRack is the number of fake workers that share a rack.
const workersPerRack = 8

// workerCommand returns the command that runs fake workers in one process.
func workerCommand() *cli.Command {
	return &cli.Command{
		Name:  "worker",
		Usage: "run fake workers",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "control", Required: true, Usage: "base `URL` of kqcontrol or kqentry; after a failure the next one is used", Sources: cli.EnvVars("KQ_CONTROL")},
			&cli.StringFlag{Name: "dc", Required: true, Usage: "data centre `ID`", Sources: cli.EnvVars("KQ_DC")},
			&cli.StringFlag{Name: "name", Value: "w", Usage: "prefix of the workers' ids"},
			&cli.IntFlag{Name: "count", Value: 1, Usage: "number of workers in this process"},
			&cli.Int64Flag{Name: "milli-cpu", Value: 16_000, Usage: "CPU capacity of each worker, in thousandths of a core"},
			&cli.Int64Flag{Name: "memory-mb", Value: 32_768, Usage: "memory capacity of each worker, in MiB"},
			&cli.Int64Flag{Name: "accelerators", Usage: "number of accelerators of each worker"},
			&cli.StringFlag{Name: "mode", Value: string(worker.ModeHealthy), Usage: "fault mode: healthy, fails, overuses, silent or slow-stop"},
			&cli.Int64Flag{Name: "use-percent", Usage: "resource usage in percent of the tasks' sizes; 0 selects the default of the mode"},
			&cli.DurationFlag{Name: "lag", Value: 2 * time.Second, Usage: "time from a task's start until its usage is reported"},
			&cli.DurationFlag{Name: "stop-delay", Value: 100 * time.Millisecond, Usage: "time that a task takes to stop"},
			&cli.DurationFlag{Name: "silent-after", Value: 10 * time.Second, Usage: "in mode silent, time from the start until the worker stops reporting"},
			&cli.DurationFlag{Name: "silent-for", Value: 30 * time.Second, Usage: "in mode silent, time without reports"},
			&cli.StringFlag{Name: "events", Usage: "`FOLDER` to write the event file to; no events are recorded if empty", Sources: cli.EnvVars("KQ_EVENTS")},
		},
		Action: runWorkers,
	}
}

func runWorkers(ctx context.Context, cmd *cli.Command) error {
	mode := worker.Mode(cmd.String("mode"))
	if !slices.Contains(worker.Modes, mode) {
		return program.Usagef("unknown --mode %q, want one of %v", mode, worker.Modes)
	}
	log, err := logx.New(logx.DefaultLevel)
	if err != nil {
		return err
	}
	var events eventlog.Recorder = eventlog.Discard{}
	if dir := cmd.String("events"); dir != "" {
		name := "worker-" + cmd.String("dc") + "-" + cmd.String("name")
		file, err := eventlog.OpenFile(dir, name, "", eventlog.DefaultFileBytes)
		if err != nil {
			return err
		}
		defer file.Close()
		events = file
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: cmd.Int("count")}}
	group, ctx := errgroup.WithContext(ctx)
	for i := range cmd.Int("count") {
		p := worker.NewProcess(workerConfig(cmd, mode, i, events), cmd.StringSlice("control"), client, clock.Boot{}, log)
		p.SilentAfter, p.SilentFor = cmd.Duration("silent-after"), cmd.Duration("silent-for")
		group.Go(func() error { return p.Run(ctx) })
	}
	return group.Wait()
}

func workerConfig(cmd *cli.Command, mode worker.Mode, i int, events eventlog.Recorder) worker.Config {
	usePercent := cmd.Int64("use-percent")
	if usePercent == 0 && mode == worker.ModeOveruses {
		usePercent = 250
	}
	stopDelay := cmd.Duration("stop-delay")
	if mode == worker.ModeSlowStop {
		stopDelay = max(stopDelay, 5*time.Second)
	}
	return worker.Config{
		ID:   model.WorkerID(fmt.Sprintf("%s-%s%03d", cmd.String("dc"), cmd.String("name"), i)),
		DC:   model.DCID(cmd.String("dc")),
		Rack: fmt.Sprintf("%s-%srack%d", cmd.String("dc"), cmd.String("name"), i/workersPerRack),
		Size: model.Resources{
			MilliCPU: cmd.Int64("milli-cpu"), MemoryMB: cmd.Int64("memory-mb"), Accelerators: cmd.Int64("accelerators"),
		},
		Incarnation:     uuid.NewString(),
		Mode:            mode,
		Lag:             cmd.Duration("lag"),
		StopDelay:       stopDelay,
		FailAfter:       50 * time.Millisecond,
		UsePercent:      usePercent,
		CheckpointEvery: time.Second,
		Events:          events,
	}
}
